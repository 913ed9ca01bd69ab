"""Daemons that read updates of the store from another daemon.

Guards against calls of the store that grow with the fleet, and against a
daemon that stays behind because the daemon before it is lost, cut off or slow.
"""

from collections.abc import Iterator
from typing import Any

import attrs
import eventlet
import pytest
import structlog
from daemon_builders_routes import (
    FollowingDaemon,
    member,
    server,
    table,
)
from daemon_builders_store import STORE_UNAVAILABLE
from returns.result import Failure as Bad

from fennelfork.routes import EncodedUpdate, StorePosition
from fennelfork_daemon._address import Address
from fennelfork_daemon.routes import (
    ConfigUpdate,
    HistoryCompacted,
    MemberUpdate,
    RelayedBatch,
    ServerRemoved,
    ServerUpdate,
    UpdateBatch,
)

_PEER = '10.0.0.9:7000'
_LISTED_REVISION = 5
_LISTED = StorePosition(revision=_LISTED_REVISION)


def _batch(*updates: Any, **changes: Any) -> RelayedBatch:
    """Create the reply of a relay, by default with current updates."""
    fields: dict[str, Any] = {
        'changes': UpdateBatch(
            updates=updates,
            revision=_LISTED_REVISION + len(updates),
            encoded=tuple(
                EncodedUpdate(revision=_LISTED_REVISION + 1 + index, text='{}')
                for index in range(len(updates))
            ),
        ),
        'age_ms': 40,
        'is_connected': True,
    }
    return RelayedBatch(**(fields | changes))


@pytest.fixture
def following() -> Iterator[FollowingDaemon]:
    """Yield a daemon that knows one relay."""
    new_daemon = FollowingDaemon()
    new_daemon.apply_listing(
        ConfigUpdate(table=table(3)),
        ServerUpdate(server=server('i-1')),
        MemberUpdate(member=member('vm-22', peer=_PEER)),
    )
    yield new_daemon
    structlog.reset_defaults()


class TestRelayedUpdates:
    """A relay responds."""

    def test_no_call_of_the_store(self, following: FollowingDaemon) -> None:
        """Updates are applied without a call of the store."""
        following.relays.replies[_PEER] = [_batch(ConfigUpdate(table=table(8)))]
        following.follower.step()
        assert following.blackboard.table.version == 8
        assert following.watch_count == 0
        assert following.relays.calls == [(_PEER, _LISTED_REVISION)]

    def test_next_request(self, following: FollowingDaemon) -> None:
        """The next request continues after the latest revision."""
        following.relays.replies[_PEER] = [
            _batch(ServerRemoved(instance='i-9'), ServerRemoved(instance='i-8'))
        ]
        following.follower.step()
        following.follower.step()
        assert following.relays.calls[-1] == (_PEER, _LISTED_REVISION + 2)

    def test_age(self, following: FollowingDaemon) -> None:
        """The age of the data counts from the time it was read."""
        following.relays.replies[_PEER] = [_batch(age_ms=700)]
        following.follower.step()
        assert following.availability.data_age_ms == 700

    def test_grace_period(self, following: FollowingDaemon) -> None:
        """A server that is missing after an outage has a grace period."""
        following.relays.replies[_PEER] = [
            _batch(ServerRemoved(instance='i-1'), outage_end_age_ms=200)
        ]
        following.follower.step()
        directory = following.blackboard.directory
        assert len(directory.usable_servers('archive')) == 1
        following.time.advance(2100)
        assert not directory.usable_servers('archive')

    def test_source_is_logged(self, following: FollowingDaemon) -> None:
        """The log shows where the updates come from, once."""
        following.relays.replies[_PEER] = [_batch(), _batch()]
        following.follower.step()
        following.follower.step()
        sources = [
            line['source'] for line in following.lines('update_source_changed')
        ]
        assert sources == ['the store', 'vm-22']


class TestFailedRelays:
    """A relay has no current updates."""

    def test_lost_relay(self, following: FollowingDaemon) -> None:
        """The store is read at once, and the relay is asked again later."""
        assert following.follower.step() == 0
        following.apply_updates(ConfigUpdate(table=table(8)))
        assert following.blackboard.table.version == 8
        assert following.watch_count == 1
        following.time.advance(3000)
        following.follower.step()
        assert len(following.relays.calls) == 2
        assert following.events().count('relay_failed') == 2

    @pytest.mark.parametrize(
        'reply',
        [
            _batch(is_connected=False),
            _batch(age_ms=3001),
            _batch(changes=UpdateBatch(updates=(), revision=4)),
            HistoryCompacted(),
        ],
        ids=['cut off', 'stale', 'behind', 'compacted'],
    )
    def test_relay_without_updates(
        self, following: FollowingDaemon, reply: Any
    ) -> None:
        """The store is read instead, and the revision does not fall."""
        following.relays.replies[_PEER] = [reply]
        assert following.follower.step() == 0
        following.apply_updates(ConfigUpdate(table=table(8)))
        assert following.blackboard.table.version == 8
        assert following.store.calls[-1][:2] == ('watch', _LISTED_REVISION)

    def test_outage_of_the_store(self, following: FollowingDaemon) -> None:
        """During an outage the relay is asked, and the store is spared."""
        following.registration.step()
        following.store.renewals = [Bad(STORE_UNAVAILABLE)]
        following.registration.step()
        following.relays.replies[_PEER] = [
            _batch(is_connected=False) for _ in range(3)
        ]
        delays = [following.follower.step() for _ in range(3)]
        assert min(delays) >= 500
        assert following.watch_count == 0

    def test_cut_from_the_store(self, following: FollowingDaemon) -> None:
        """A daemon that the store turns away still learns of a change."""
        following.registration.step()
        following.store.renewals = [Bad(STORE_UNAVAILABLE)]
        following.registration.step()
        following.relays.replies[_PEER] = [_batch(ConfigUpdate(table=table(8)))]
        following.follower.step()
        assert following.blackboard.table.version == 8


class TestStart:
    """First calls of a daemon."""

    def test_stale_listing(self) -> None:
        """The first listing may be stale, one after compaction may not."""
        new_daemon = FollowingDaemon()
        new_daemon.apply_listing(ConfigUpdate(table=table(3)))
        new_daemon.store.watch_results.append(HistoryCompacted())
        new_daemon.follower.step()
        new_daemon.apply_listing(ConfigUpdate(table=table(3)))
        assert new_daemon.store.stale_listings == [True, False]
        structlog.reset_defaults()

    def test_start_of_the_fleet(self) -> None:
        """A daemon that knows no other waits for their registrations."""
        new_daemon = FollowingDaemon()
        new_daemon.store.listings.append([ConfigUpdate(table=table(3))])
        assert new_daemon.follower.step() >= 500
        structlog.reset_defaults()

    def test_restart(self) -> None:
        """A daemon that knows others reads updates at once."""
        new_daemon = FollowingDaemon()
        new_daemon.store.listings.append(
            [
                ConfigUpdate(table=table(3)),
                MemberUpdate(member=member('vm-22', peer=_PEER)),
            ]
        )
        assert new_daemon.follower.step() == 0
        structlog.reset_defaults()


class TestRelay:
    """The daemon passes on updates."""

    @pytest.fixture
    def reader(self) -> Iterator[FollowingDaemon]:
        """Yield a daemon that reads the store."""
        new_daemon = FollowingDaemon(peer=Address(host='10.0.0.1', port=7000))
        new_daemon.apply_listing(ConfigUpdate(table=table(3)))
        yield new_daemon
        structlog.reset_defaults()

    def test_updates_are_passed_on(self, reader: FollowingDaemon) -> None:
        """An update that arrives while another daemon waits is returned."""
        waiting = eventlet.spawn(
            reader.follower.store_copy.relay.updates_after,
            _LISTED,
            1000,
        )
        eventlet.sleep(0)
        _apply_encoded(reader, _LISTED_REVISION + 1)
        batch = waiting.wait()
        assert [each.revision for each in batch.changes.encoded] == [6]
        assert batch.changes.revision == _LISTED_REVISION + 1
        assert batch.is_connected

    def test_started_together(self, reader: FollowingDaemon) -> None:
        """All daemons lost power and listed the store at other revisions.

        A daemon with the older listing gets the rest from the reader, without
        a call of the store.
        """
        reader.time.advance(2000)
        _apply_encoded(reader, _LISTED_REVISION + 1)
        reply = reader.follower.store_copy.relay.updates_after(_LISTED, 0)
        assert isinstance(reply, RelayedBatch)
        assert [each.revision for each in reply.changes.encoded] == [6]

    def test_no_request_no_memory(self, reader: FollowingDaemon) -> None:
        """Later, updates are kept only while other daemons ask for them."""
        reader.time.advance(10_000)
        _apply_encoded(reader, _LISTED_REVISION + 1)
        reply = reader.follower.store_copy.relay.updates_after(_LISTED, 0)
        assert isinstance(reply, HistoryCompacted)
        _apply_encoded(reader, _LISTED_REVISION + 2)
        reply = reader.follower.store_copy.relay.updates_after(
            attrs.evolve(_LISTED, revision=_LISTED_REVISION + 1), 0
        )
        assert isinstance(reply, RelayedBatch)
        assert len(reply.changes.encoded) == 1

    def test_listing_wakes_waiting_daemons(
        self, reader: FollowingDaemon
    ) -> None:
        """A daemon that waits during a listing reads the store itself."""
        waiting = eventlet.spawn(
            reader.follower.store_copy.relay.updates_after,
            _LISTED,
            1000,
        )
        eventlet.sleep(0)
        reader.store.watch_results.append(HistoryCompacted())
        reader.follower.step()
        reader.apply_listing(ConfigUpdate(table=table(3)))
        assert isinstance(waiting.wait(), HistoryCompacted)

    def test_lost_store(self, reader: FollowingDaemon) -> None:
        """A daemon that cannot read the store says so at once."""
        reader.follower.step()
        batch = reader.follower.store_copy.relay.updates_after(_LISTED, 1000)
        assert isinstance(batch, RelayedBatch)
        assert not batch.is_connected

    def test_short_batch_delay(self, reader: FollowingDaemon) -> None:
        """The batch delay of the only reader does not grow with the fleet."""
        others = [
            MemberUpdate(member=member(f'far-{index}', 'far'))
            for index in range(100)
        ]
        reader.apply_updates(*others)
        assert reader.apply_updates(*others) == 375


def _apply_encoded(reader: FollowingDaemon, revision: int) -> None:
    """Apply one update of the store."""
    changes = UpdateBatch(
        updates=(ConfigUpdate(table=table(revision)),),
        revision=revision,
        encoded=(EncodedUpdate(revision=revision, text='{}'),),
    )
    reader.follower.apply_changes(changes)

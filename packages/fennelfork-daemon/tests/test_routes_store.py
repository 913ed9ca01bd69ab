"""Tests of the synchronisation of a route daemon with the store."""

import eventlet
import pytest
import structlog
from daemon_builders_routes import (
    FollowingDaemon,
    entry_addresses,
    member,
    server,
    table,
)
from daemon_builders_store import NO_RESPONSE, STORE_UNAVAILABLE
from returns.result import Failure as Bad
from returns.result import Success

from fennelfork_daemon.routes import (
    ConfigUpdate,
    EvacuationRemoved,
    EvacuationUpdate,
    HistoryCompacted,
    InvalidEntry,
    MemberUpdate,
    ServerRemoved,
    ServerUpdate,
)
from fennelfork_daemon.routes._availability import StoreCall

# Lets other green threads run.
_SWITCH_S = 0.01


@pytest.fixture
def following() -> FollowingDaemon:
    """Yield a daemon that has read the store once."""
    new_daemon = FollowingDaemon()
    new_daemon.apply_listing(
        ConfigUpdate(table=table(3)),
        ServerUpdate(server=server('i-1')),
        ServerUpdate(server=server('i-2')),
    )
    yield new_daemon
    structlog.reset_defaults()


class TestConfiguration:
    """Only newer versions replace the active configuration."""

    def test_newer_version(self, following: FollowingDaemon) -> None:
        """A newer version and its limits become active at once."""
        following.apply_updates(ConfigUpdate(table=table(8)))
        assert following.blackboard.table.version == 8
        assert following.blackboard.limits.idle_ms == 9000

    def test_older_version(self, following: FollowingDaemon) -> None:
        """An older version is ignored."""
        following.apply_updates(ConfigUpdate(table=table(2)))
        assert following.blackboard.table.version == 3

    def test_invalid_configuration(self, following: FollowingDaemon) -> None:
        """An invalid entry is logged and the active version stays."""
        following.apply_updates(
            InvalidEntry(key='op/config', problem='no JSON')
        )
        assert following.blackboard.table.version == 3
        assert 'item_refused' in following.events()


class TestServers:
    """The server directory follows the entries of backend servers."""

    def test_draining_server(self, following: FollowingDaemon) -> None:
        """A draining server is not selected."""
        following.apply_updates(
            ServerUpdate(server=server('i-1', draining=True))
        )
        usable = following.blackboard.directory.usable_servers('archive')
        assert [each.instance for each in usable] == ['i-2']

    def test_removed_server(self, following: FollowingDaemon) -> None:
        """A removed server is not selected and its removal is logged once."""
        following.apply_updates(ServerRemoved(instance='i-1'))
        assert (
            len(following.blackboard.directory.usable_servers('archive')) == 1
        )
        assert following.events().count('server_gone') == 1

    def test_expired_during_outage(
        self,
        following: FollowingDaemon,
    ) -> None:
        """A server that is missing after an outage has a grace period."""
        following.follower.step()
        following.time.advance(4000)
        following.apply_updates()
        following.apply_updates(ServerRemoved(instance='i-1'))
        assert (
            len(following.blackboard.directory.usable_servers('archive')) == 2
        )
        following.time.advance(2300)
        assert (
            len(following.blackboard.directory.usable_servers('archive')) == 1
        )

    def test_failed_watch_is_no_outage(
        self, following: FollowingDaemon
    ) -> None:
        """A failed watch grants no grace period if renewals succeed."""
        following.registration.step()
        following.store.renewals = [Success(True) for _ in range(9)]
        for _ in range(6):
            following.time.advance(700)
            following.registration.step()
        following.follower.step()
        following.apply_updates()
        following.apply_updates(ServerRemoved(instance='i-1'))
        assert (
            len(following.blackboard.directory.usable_servers('archive')) == 1
        )

    def test_evacuation(self, following: FollowingDaemon) -> None:
        """An evacuation lasts until its removal or a listing without it."""
        usable = following.blackboard.directory.usable_servers
        following.apply_updates(EvacuationUpdate(data_centre='here'))
        assert not usable('archive')
        following.apply_updates(EvacuationRemoved(data_centre='here'))
        assert len(usable('archive')) == 2
        following.apply_updates(EvacuationUpdate(data_centre='here'))
        following.store.watch_results.append(HistoryCompacted())
        following.follower.step()
        following.apply_listing(
            ConfigUpdate(table=table(3)), ServerUpdate(server=server('i-1'))
        )
        assert len(usable('archive')) == 1
        logged = following.lines('evacuation_started', 'evacuation_ended')
        assert [line.get('servers') for line in logged] == [2, None, 2, None]

    def test_compacted_history(self, following: FollowingDaemon) -> None:
        """A new listing replaces the servers after compaction."""
        following.store.watch_results.append(HistoryCompacted())
        following.follower.step()
        following.apply_listing(
            ConfigUpdate(table=table(3)),
            ServerUpdate(server=server('i-2')),
        )
        usable = following.blackboard.directory.usable_servers('archive')
        assert [each.instance for each in usable] == ['i-2']


class TestIncarnations:
    """A backend server restarts under the same name."""

    def test_new_incarnation(self, following: FollowingDaemon) -> None:
        """Late updates of the previous incarnation are ignored."""
        following.apply_updates(
            ServerUpdate(server=server('i-1', started_ms=2000))
        )
        outdated = server('i-1', started_ms=1000, draining=True)
        following.apply_updates(ServerUpdate(server=outdated))
        runs = [
            each.incarnation
            for each in following.blackboard.directory.usable_servers('archive')
        ]
        assert 'i-1@2000' in runs
        assert following.events().count('server_seen') == 3

    def test_state_is_reset(self, following: FollowingDaemon) -> None:
        """The ejection of the previous incarnation does not apply."""
        states = following.blackboard.states
        states.for_incarnation(server('i-1').incarnation).ejection.eject(0)
        again = server('i-1', started_ms=2000)
        following.apply_updates(ServerUpdate(server=again))
        assert not states.for_incarnation(
            again.incarnation
        ).ejection.is_ejected(1)


class TestInvalidEntries:
    """Invalid content replaces a valid entry."""

    def test_invalid_server(self, following: FollowingDaemon) -> None:
        """The server of the entry is removed and the others stay."""
        following.apply_updates(
            InvalidEntry(key='k', problem='no JSON', instance='i-1'),
        )
        usable = following.blackboard.directory.usable_servers('archive')
        assert [each.instance for each in usable] == ['i-2']
        assert following.events().count('item_refused') == 1

    def test_invalid_server_after_outage(
        self, following: FollowingDaemon
    ) -> None:
        """The grace period does not apply to an invalid entry."""
        following.blackboard.directory.registry.start_grace_period()
        following.apply_updates(
            InvalidEntry(key='k', problem='no JSON', instance='i-1'),
        )
        assert (
            len(following.blackboard.directory.usable_servers('archive')) == 1
        )

    def test_invalid_server_in_listing(
        self, following: FollowingDaemon
    ) -> None:
        """An invalid entry in a listing removes its server."""
        following.store.watch_results.append(HistoryCompacted())
        following.follower.step()
        following.apply_listing(
            ConfigUpdate(table=table(3)),
            InvalidEntry(key='k', problem='no JSON', instance='i-1'),
            ServerUpdate(server=server('i-2')),
        )
        usable = following.blackboard.directory.usable_servers('archive')
        assert [each.instance for each in usable] == ['i-2']

    def test_invalid_daemon(self, following: FollowingDaemon) -> None:
        """A daemon with an invalid entry is not returned to callers."""
        following.apply_updates(MemberUpdate(member=member('vm-22')))
        following.apply_updates(
            InvalidEntry(key='k', problem='no JSON', member='vm-22'),
        )
        assert entry_addresses(following) == (
            following.blackboard.local.caller,
        )


class TestUnresponsiveStore:
    """The store loses a pending call during an outage.

    Guards against a daemon that waits for the lost call after the outage and
    keeps an outdated configuration.
    """

    @pytest.mark.parametrize('failed_renewals', [1, 6])
    def test_watch_is_repeated(
        self,
        following: FollowingDaemon,
        failed_renewals: int,
    ) -> None:
        """A lost watch is repeated once renewals succeed again."""
        following.registration.step()
        following.store.watch_results = [
            NO_RESPONSE,
            (ConfigUpdate(table=table(8)),),
        ]
        watch = eventlet.spawn(_run_two_steps, following)
        eventlet.sleep(_SWITCH_S)
        failures = [Bad(STORE_UNAVAILABLE) for _ in range(failed_renewals)]
        following.store.renewals = [*failures, Success(True)]
        for _ in range(failed_renewals + 1):
            following.registration.step()
        with eventlet.Timeout(1):
            watch.wait()
        assert following.blackboard.table.version == 8

    def test_listing_is_repeated(self) -> None:
        """A lost listing is repeated once calls succeed again."""
        new_daemon = FollowingDaemon()
        new_daemon.store.listings = [
            NO_RESPONSE,
            (ConfigUpdate(table=table(8)),),
        ]
        watch = eventlet.spawn(_run_two_steps, new_daemon)
        eventlet.sleep(_SWITCH_S)
        new_daemon.availability.record_failure(
            StoreCall.CHANGES, STORE_UNAVAILABLE
        )
        new_daemon.availability.record_response()
        with eventlet.Timeout(1):
            watch.wait()
        assert new_daemon.blackboard.table.version == 8
        structlog.reset_defaults()

    def test_watch_is_repeated_once(self, following: FollowingDaemon) -> None:
        """A watch is repeated once after an outage and not without one."""
        following.store.watch_results = [NO_RESPONSE, NO_RESPONSE]
        watch = eventlet.spawn(_run_two_steps, following)
        eventlet.sleep(_SWITCH_S)
        following.availability.record_response()
        eventlet.sleep(_SWITCH_S)
        assert following.watch_count == 1
        following.availability.record_failure(
            StoreCall.CHANGES, STORE_UNAVAILABLE
        )
        for _ in range(5):
            following.availability.record_response()
            eventlet.sleep(_SWITCH_S)
        assert following.watch_count == 2
        watch.kill()


class TestPolling:
    """Timeouts, delays and log lines of the calls of the store."""

    def test_updates_are_batched(self, following: FollowingDaemon) -> None:
        """The next watch is delayed after an update only."""
        assert following.apply_updates(ServerRemoved(instance='i-1')) > 100
        assert following.apply_updates() == 0

    @pytest.mark.parametrize(
        ('daemons', 'batch_delay_ms'),
        [(1, 300), (9, 300), (40, 600), (67, 1000), (460, 1000)],
    )
    def test_batch_delay_grows_with_fleet(
        self,
        following: FollowingDaemon,
        daemons: int,
        batch_delay_ms: float,
    ) -> None:
        """A large fleet fetches updates less often.

        Guards against overload of the store during a rolling restart.
        """
        members = [member(f'vm-{number}') for number in range(2, daemons + 1)]
        following.apply_updates(
            *(MemberUpdate(member=each) for each in members)
        )
        following.apply_updates(MemberUpdate(member=member('vm-1')))
        assert (
            following.apply_updates(ServerRemoved(instance='i-1'))
            == batch_delay_ms
        )
        # A stopping daemon also waits for the reader of each data centre.
        polling = following.follower.polling
        longest_ms = max(batch_delay_ms, polling.reader_batch_delay_ms)
        assert polling.extra_batch_delay_ms == longest_ms - 300

    def test_listing_times_out(self) -> None:
        """Failed listings are repeated with growing but bounded timeouts."""
        new_daemon = FollowingDaemon()
        delays_ms = [new_daemon.follower.step() for _ in range(6)]
        timeouts_ms = [call[1] for call in new_daemon.store.calls]
        assert timeouts_ms == [400, 800, 1600, 1600, 1600, 1600]
        assert all(100 < wait < 900 for wait in delays_ms)
        structlog.reset_defaults()

    def test_outage_is_logged_once(self, following: FollowingDaemon) -> None:
        """The start and the end of an outage are logged once each."""
        for _ in range(5):
            following.follower.step()
        following.apply_updates()
        events = following.events()
        assert events.count('store_lost') == 1
        assert events.count('store_regained') == 1

    def test_outage_log_attributes(
        self,
        following: FollowingDaemon,
    ) -> None:
        """A renewal ends an outage but does not reset the age of the data."""
        following.registration.step()
        following.time.advance(700)
        following.follower.step()
        following.time.advance(700)
        following.store.renewals = [Success(True)]
        following.registration.step()
        lost, regained = following.lines('store_lost', 'store_regained')
        assert lost['call'] == 'changes'
        assert (regained['away_ms'], regained['told_ms']) == (1400, 1400)
        assert following.availability.data_age_ms == 1400
        following.apply_updates()
        assert following.availability.data_age_ms == 0

    def test_compacted_history_is_no_data(
        self, following: FollowingDaemon
    ) -> None:
        """A compacted history does not reset the age of the data."""
        following.time.advance(700)
        following.store.watch_results.append(HistoryCompacted())
        following.follower.step()
        assert following.availability.data_age_ms == 700
        following.apply_listing(ConfigUpdate(table=table(3)))
        assert following.availability.data_age_ms == 0


def _run_two_steps(following: FollowingDaemon) -> None:
    """Make two consecutive calls of the store."""
    following.follower.step()
    following.follower.step()

"""What a daemon that serves routes takes from the store, and when."""

import random

import eventlet
import pytest
import structlog
from daemon_builders_routes import (
    AWAY,
    SILENCE,
    Following,
    member,
    server,
    table,
)
from returns.result import Failure as Bad
from returns.result import Success

from fennelfork_daemon.routes import (
    ConfigFact,
    EntryAsk,
    HistoryGone,
    MemberFact,
    MemberGoneFact,
    RouteEntries,
    ServerFact,
    ServerGoneFact,
    UnreadableFact,
)
from fennelfork_daemon.routes._contact import StoreCall

# For green threads that are about to run.
_LET_RUN_S = 0.01


@pytest.fixture
def following() -> Following:
    """Give a daemon that has read the store once."""
    built = Following()
    built.take_list(
        ConfigFact(table=table(3)),
        ServerFact(server=server('i-1')),
        ServerFact(server=server('i-2')),
    )
    yield built
    structlog.reset_defaults()


class TestConfiguration:
    """Versions only rise."""

    def test_newer(self, following: Following) -> None:
        """A newer version is in force at once, with its limits."""
        following.change(ConfigFact(table=table(8)))
        assert following.board.table.version == 8
        assert following.board.limits.idle_ms == 9000

    def test_older(self, following: Following) -> None:
        """An older one that comes late is left alone."""
        following.change(ConfigFact(table=table(2)))
        assert following.board.table.version == 3

    def test_unreadable(self, following: Following) -> None:
        """What cannot be read is logged, and what was known stays."""
        following.change(UnreadableFact(key='op/config', problem='no JSON'))
        assert following.board.table.version == 3
        assert 'item_refused' in following.events()


class TestServers:
    """Backend servers come and go by themselves."""

    def test_draining(self, following: Following) -> None:
        """One that drains gets no new work."""
        following.change(ServerFact(server=server('i-1', draining=True)))
        usable = following.board.directory.usable('archive')
        assert [one.instance for one in usable] == ['i-2']

    def test_gone(self, following: Following) -> None:
        """So does one that is gone."""
        following.change(ServerGoneFact(instance='i-1'))
        assert len(following.board.directory.usable('archive')) == 1
        assert following.events().count('server_gone') == 1

    def test_lapsed_while_the_store_was_away(
        self,
        following: Following,
    ) -> None:
        """One that goes missing right after is kept for a while."""
        following.follower.step()
        following.time.advance(4000)
        following.change()
        following.change(ServerGoneFact(instance='i-1'))
        assert len(following.board.directory.usable('archive')) == 2
        following.time.advance(2300)
        assert len(following.board.directory.usable('archive')) == 1

    def test_broken_watch_is_no_absence(self, following: Following) -> None:
        """While renewals reach the store, a missing entry is gone."""
        following.registration.step()
        following.store.renewals = [Success(True) for _ in range(9)]
        for _ in range(6):
            following.time.advance(700)
            following.registration.step()
        following.follower.step()
        following.change()
        following.change(ServerGoneFact(instance='i-1'))
        assert len(following.board.directory.usable('archive')) == 1

    def test_history_gone(self, following: Following) -> None:
        """All is read again; what is not listed is gone."""
        following.store.changed.append(HistoryGone())
        following.follower.step()
        following.take_list(
            ConfigFact(table=table(3)),
            ServerFact(server=server('i-2')),
        )
        usable = following.board.directory.usable('archive')
        assert [one.instance for one in usable] == ['i-2']


class TestStartedAgain:
    """A backend server starts again under its name."""

    def test_is_told(self, following: Following) -> None:
        """Its new run is used and logged, late news of the former are not."""
        following.change(ServerFact(server=server('i-1', started_ms=2000)))
        late = server('i-1', started_ms=1000, draining=True)
        following.change(ServerFact(server=late))
        runs = [
            one.incarnation
            for one in following.board.directory.usable('archive')
        ]
        assert 'i-1@2000' in runs
        assert following.events().count('server_seen') == 3

    def test_is_seen_afresh(self, following: Following) -> None:
        """What was seen of the former run is gone."""
        states = following.board.states
        states.of(server('i-1').incarnation).ejection.eject(0)
        again = server('i-1', started_ms=2000)
        following.change(ServerFact(server=again))
        assert not states.of(again.incarnation).ejection.is_ejected(1)


class TestForeignEntries:
    """Another writer put something else under a key that was good before."""

    def test_server(self, following: Following) -> None:
        """Its server gets no more work, the others hold."""
        following.change(
            UnreadableFact(key='k', problem='no JSON', instance='i-1'),
        )
        usable = following.board.directory.usable('archive')
        assert [one.instance for one in usable] == ['i-2']
        assert following.events().count('item_refused') == 1

    def test_server_after_an_absence(self, following: Following) -> None:
        """It is not kept like one that only lapsed."""
        following.board.directory.registry.start_grace_period()
        following.change(
            UnreadableFact(key='k', problem='no JSON', instance='i-1'),
        )
        assert len(following.board.directory.usable('archive')) == 1

    def test_listed(self, following: Following) -> None:
        """So with a whole list."""
        following.store.changed.append(HistoryGone())
        following.follower.step()
        following.take_list(
            ConfigFact(table=table(3)),
            UnreadableFact(key='k', problem='no JSON', instance='i-1'),
            ServerFact(server=server('i-2')),
        )
        usable = following.board.directory.usable('archive')
        assert [one.instance for one in usable] == ['i-2']

    def test_daemon(self, following: Following) -> None:
        """A daemon under such a key is not named to callers."""
        following.change(MemberFact(member=member('vm-22')))
        following.change(
            UnreadableFact(key='k', problem='no JSON', member='vm-22'),
        )
        assert _addresses(following) == (following.board.local.caller,)


class TestSilentStore:
    """The store falls silent while a watch waits for its answer.

    The watch is not answered any more, but the next renewals are: first they
    tell that the store is away, then that it is back. Waiting on would leave
    the daemon with an old configuration for the half minute of a watch.
    """

    @pytest.mark.parametrize('missed', [1, 6])
    def test_change_right_after(
        self,
        following: Following,
        missed: int,
    ) -> None:
        """A change after the return is in force at once."""
        following.registration.step()
        following.store.changed = [SILENCE, (ConfigFact(table=table(8)),)]
        watch = eventlet.spawn(_two_steps, following)
        eventlet.sleep(_LET_RUN_S)
        failures = [Bad(AWAY) for _ in range(missed)]
        following.store.renewals = [*failures, Success(True)]
        for _ in range(missed + 1):
            following.registration.step()
        with eventlet.Timeout(1):
            watch.wait()
        assert following.board.table.version == 8

    def test_silent_listing(self) -> None:
        """So is a listing that was asked for while the store was silent."""
        built = Following()
        built.store.listed = [SILENCE, (ConfigFact(table=table(8)),)]
        watch = eventlet.spawn(_two_steps, built)
        eventlet.sleep(_LET_RUN_S)
        built.contact.record_failure(StoreCall.CHANGES, AWAY)
        built.contact.record_response()
        with eventlet.Timeout(1):
            watch.wait()
        assert built.board.table.version == 8
        structlog.reset_defaults()

    def test_no_stampede(self, following: Following) -> None:
        """A watch is asked again once, and not while all is well."""
        following.store.changed = [SILENCE, SILENCE]
        watch = eventlet.spawn(_two_steps, following)
        eventlet.sleep(_LET_RUN_S)
        following.contact.record_response()
        eventlet.sleep(_LET_RUN_S)
        assert following.watches == 1
        following.contact.record_failure(StoreCall.CHANGES, AWAY)
        for _ in range(5):
            following.contact.record_response()
            eventlet.sleep(_LET_RUN_S)
        assert following.watches == 2
        watch.kill()


class TestPace:
    """How often, and how patiently, the store is asked."""

    def test_changes_are_gathered(self, following: Following) -> None:
        """Changes that come together cost one call."""
        assert following.change(ServerGoneFact(instance='i-1')) > 100
        assert following.change() == 0

    @pytest.mark.parametrize(
        ('daemons', 'gather_ms'),
        [(1, 300), (9, 300), (40, 600), (67, 1000), (460, 1000)],
    )
    def test_gathers_longer_in_a_large_fleet(
        self,
        following: Following,
        daemons: int,
        gather_ms: float,
    ) -> None:
        """All daemons ask for a change, so each of many asks less often.

        The pattern: a rolling stop of 67 daemons, where each leave and each
        return is a change that all others fetch.
        """
        members = [member(f'vm-{number}') for number in range(2, daemons + 1)]
        following.change(*(MemberFact(member=one) for one in members))
        following.change(MemberFact(member=member('vm-1')))
        assert following.change(ServerGoneFact(instance='i-1')) == gather_ms
        polling = following.follower.polling
        assert polling.extra_batch_delay_ms == gather_ms - 300

    def test_first_read_is_not_waited_for(self) -> None:
        """A read that began while the store was silent is soon given up."""
        built = Following()
        waits = [built.follower.step() for _ in range(6)]
        patience = [call[1] for call in built.store.calls]
        assert patience == [400, 800, 1600, 1600, 1600, 1600]
        assert all(100 < wait < 900 for wait in waits)
        structlog.reset_defaults()

    def test_told_once(self, following: Following) -> None:
        """An outage is one line, and its end another."""
        for _ in range(5):
            following.follower.step()
        following.change()
        events = following.events()
        assert events.count('store_lost') == 1
        assert events.count('store_regained') == 1

    def test_says_what_waited_and_how_old_it_is(
        self,
        following: Following,
    ) -> None:
        """A renewal that is answered does not make what is known younger."""
        following.registration.step()
        following.time.advance(700)
        following.follower.step()
        following.time.advance(700)
        following.store.renewals = [Success(True)]
        following.registration.step()
        lost, regained = following.lines('store_lost', 'store_regained')
        assert lost['call'] == 'changes'
        assert (regained['away_ms'], regained['told_ms']) == (1400, 1400)
        assert following.contact.data_age_ms == 1400
        following.change()
        assert following.contact.data_age_ms == 0

    def test_gap_tells_nothing(self, following: Following) -> None:
        """Nor does an answer that the history is gone."""
        following.time.advance(700)
        following.store.changed.append(HistoryGone())
        following.follower.step()
        assert following.contact.data_age_ms == 700
        following.take_list(ConfigFact(table=table(3)))
        assert following.contact.data_age_ms == 0


class TestRegistration:
    """This daemon's own entry."""

    def test_only_when_ready(self) -> None:
        """A daemon without routes is named to nobody."""
        built = Following()
        built.registration.step()
        assert not built.store.calls
        assert built.registration.delay_ms < 100
        built.take_list(ConfigFact(table=table(3)))
        assert built.registration.delay_ms == 700
        structlog.reset_defaults()

    def test_lapsed(self, following: Following) -> None:
        """A lease that ended is opened anew; a lost reply changes nothing."""
        following.registration.step()
        following.store.renewals = [Bad(AWAY), Success(False), Success(True)]
        for _ in range(3):
            following.registration.step()
        kinds = [
            call[0] for call in following.store.calls if call[0] != 'read_all'
        ]
        assert kinds == [
            'open_lease',
            'register',
            'renew',
            'renew',
            'open_lease',
            'register',
            'renew',
        ]

    def test_leave(self, following: Following) -> None:
        """A daemon that leaves is not ready and does not register again."""
        following.registration.leave()
        following.registration.step()
        assert not following.board.is_ready
        assert following.store.calls == [('read_all', 400)]


class TestEntries:
    """Which daemons callers are told to use."""

    def test_nearest(self, following: Following) -> None:
        """Those of the caller's data centre, this one among them."""
        following.change(
            MemberFact(member=member('vm-22')),
            MemberFact(member=member('vm-333', 'far')),
        )
        own = following.board.local.caller
        assert set(_addresses(following)) == {own, '10.0.0.1:5'}

    def test_one_daemon_left_nearby(self, following: Following) -> None:
        """Farther ones are named as well, so that its loss leaves some."""
        following.change(MemberFact(member=member('vm-333', 'far')))
        own = following.board.local.caller
        assert set(_addresses(following)) == {own, '10.0.0.1:6'}

    def test_leaving(self, following: Following) -> None:
        """A daemon that leaves does not name itself."""
        following.change(
            MemberFact(member=member('vm-1')),
            MemberFact(member=member('vm-22')),
        )
        following.board.is_leaving = True
        assert _addresses(following) == ('10.0.0.1:5',)

    def test_gone(self, following: Following) -> None:
        """One whose lease ended is not named any more."""
        following.change(MemberFact(member=member('vm-22')))
        following.change(MemberGoneFact(name='vm-22'))
        assert _addresses(following) == (following.board.local.caller,)

    def test_nobody(self) -> None:
        """Without a ready daemon there is no answer."""
        built = Following()
        entries = RouteEntries(board=built.board, rng=random.Random(1))
        assert entries.answer(EntryAsk(region='', data_centre='')) is None
        structlog.reset_defaults()


def _two_steps(following: Following) -> None:
    """Make two calls of the store one after the other, as a daemon does."""
    following.follower.step()
    following.follower.step()


def _addresses(following: Following) -> tuple[str, ...]:
    entries = RouteEntries(board=following.board, rng=random.Random(1))
    found = entries.answer(EntryAsk(region='east', data_centre='here'))
    assert found is not None
    return found.addresses

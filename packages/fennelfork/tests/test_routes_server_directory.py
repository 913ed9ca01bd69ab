"""Tests of servers that register, drain, expire and restart."""

import attrs
from core_builders_routes import LATENCY_TARGET_MS, RoutingDaemon, server

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import (
    Registry,
    SelectionCriteria,
    ServerDirectory,
    ServerStates,
    latency_baseline,
)


class TestServerDirectory:
    """Registrations, and the grace period after a store outage."""

    def setup_method(self) -> None:
        """Register one server."""
        self.time = ManualTime()
        self.directory = ServerDirectory(
            registry=Registry(clock=manual_clock(self.time))
        )
        self.directory.put(server('archive', 'a'))

    def test_removed(self) -> None:
        """A server without registration gets no work."""
        assert self.directory.remove('archive/a')
        assert not self.directory.usable_servers('archive')
        assert not self.directory.remove('archive/a')

    def test_draining(self) -> None:
        """A draining server gets no new work but stays registered."""
        before = self.directory.put(server('archive', 'a', draining=True))
        assert before == server('archive', 'a')
        assert not self.directory.usable_servers('archive')

    def test_change_of_service(self) -> None:
        """The last registration of an instance applies."""
        moved = attrs.evolve(server('archive', 'a'), service='notices')
        self.directory.put(moved)
        assert not self.directory.usable_servers('archive')
        assert self.directory.usable_servers('notices') == [moved]

    def test_registers_again_in_grace_period(self) -> None:
        """A server that registers again in the grace period stays in use."""
        self.directory.registry.start_grace_period()
        assert not self.directory.remove('archive/a')
        assert self.directory.usable_servers('archive')
        self.time.advance(1500)
        self.directory.put(server('archive', 'a'))
        self.time.advance(5000)
        assert self.directory.usable_servers('archive')

    def test_expires_after_grace_period(self) -> None:
        """A server that does not register again is removed."""
        self.directory.registry.start_grace_period()
        self.directory.remove('archive/a')
        self.time.advance(2201)
        assert not self.directory.usable_servers('archive')

    def test_listing_replaces(self) -> None:
        """Servers that are missing from a listing are removed."""
        self.directory.put(server('archive', 'b'))
        assert self.directory.retain(['archive/b']) == ['archive/a']
        assert self.directory.usable_servers('archive') == [
            server('archive', 'b')
        ]


class TestRestart:
    """A restarted server does not inherit observations."""

    def setup_method(self) -> None:
        """Register the first incarnation of a server."""
        clock = manual_clock(ManualTime())
        self.directory = ServerDirectory(registry=Registry(clock=clock))
        self.first = server('archive', 'a', started_ms=1000)
        self.second = server('archive', 'a', started_ms=2000)
        self.directory.put(self.first)

    def test_incarnations_differ(self) -> None:
        """Incarnations of a server share the name only."""
        assert self.first.instance == self.second.instance
        assert self.first.incarnation != self.second.incarnation
        self.directory.put(self.second)
        assert self.directory.incarnations == {self.second.incarnation}

    def test_observations_are_reset(self) -> None:
        """Latency, ejection and attempts in flight are reset."""
        states = ServerStates()
        previous = states.for_incarnation(self.first.incarnation)
        previous.record_latency(30, 0)
        previous.ejection.eject(0)
        previous.record_sent(1, 0)
        self.directory.put(self.second)
        states.retain(self.directory.incarnations)
        fresh = states.for_incarnation(self.second.incarnation)
        assert fresh.latency_ratio(0) == 1
        assert not fresh.ejection.is_ejected(1)
        assert fresh.outstanding == 0

    def test_attempt_of_previous_incarnation(self) -> None:
        """Failures of the previous incarnation do not affect the new one."""
        states = ServerStates()
        states.for_incarnation(self.first.incarnation).record_sent(1, 0)
        self.directory.put(self.second)
        states.retain(self.directory.incarnations)
        states.for_incarnation(self.first.incarnation).record_abandoned(1)
        states.for_incarnation(self.first.incarnation).ejection.eject(0)
        assert not states.for_incarnation(
            self.second.incarnation
        ).ejection.is_ejected(1)

    def test_outdated_registration(self) -> None:
        """A late write of the previous incarnation is outdated."""
        self.directory.put(self.second)
        draining = server('archive', 'a', started_ms=1000, draining=True)
        assert self.directory.is_outdated(draining)
        assert not self.directory.is_outdated(self.second)
        assert not self.directory.is_outdated(server('archive', 'b'))

    def test_restart_ends_draining(self) -> None:
        """A new incarnation serves after the previous one has drained."""
        self.directory.put(
            server('archive', 'a', started_ms=1000, draining=True)
        )
        assert not self.directory.usable_servers('archive')
        self.directory.put(self.second)
        assert self.directory.usable_servers('archive') == [self.second]

    def test_retry_on_new_incarnation(self) -> None:
        """A request may be retried on a new incarnation of the server."""
        daemon = RoutingDaemon()
        daemon.directory.put(server('archive', 'a', started_ms=1000))
        chosen = daemon.parts.selector.choose(
            SelectionCriteria(
                service='archive',
                tried={server('archive', 'a').incarnation},
                latency_baseline=latency_baseline(LATENCY_TARGET_MS),
            ),
        )
        assert chosen is not None


class TestDiscard:
    """Discarded entries, whose value is no longer a registration."""

    def test_no_grace_period(self) -> None:
        """A server is discarded at once, even during a grace period."""
        directory = ServerDirectory(
            registry=Registry(clock=manual_clock(ManualTime()))
        )
        directory.put(server('archive', 'a'))
        directory.registry.start_grace_period()
        assert directory.discard('archive/a')
        assert not directory.usable_servers('archive')
        assert not directory.discard('archive/a')

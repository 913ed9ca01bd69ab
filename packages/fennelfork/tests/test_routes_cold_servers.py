"""Load on backend servers that have just started, in a burst of requests.

Guards against daemons that together send a cold server more than it tolerates,
also while some of them do not know the others yet.
"""

import math
from collections import Counter
from collections.abc import Iterable
from typing import Final

import pytest
from core_builders_routes import (
    MAX_AGE_MS,
    RoutingDaemon,
    daemon_member,
    fan_out,
    route,
    server,
)
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fennelfork import ManualTime
from fennelfork.routes import BackendServer, ColdPolicy, Service

_RATE_PER_S: Final = 10
_WINDOW_MS: Final = 1000
_SETTLED_MS: Final = 2 * MAX_AGE_MS
_WARM_UP_MS: Final = 60_000
_POLICY: Final = ColdPolicy(rate_factor=1.5, slack=5)


def _service(rate_per_s: float = _RATE_PER_S) -> Service:
    return Service(
        name='archive',
        connections=450,
        warm_up_ms=_WARM_UP_MS,
        cold_rate_per_s=rate_per_s,
    )


def _cold_server(name: str = 'cold') -> BackendServer:
    return server('archive', name, warm_from_ms=_WARM_UP_MS)


def _daemon(
    number: int, time: ManualTime, names: Iterable[str], rate: float
) -> RoutingDaemon:
    """Return a daemon that knows some daemons since its start."""
    daemon = RoutingDaemon(time=time, local=daemon_member(f'vm-{number}'))
    daemon.cold_limits.services = {'archive': _service(rate)}
    daemon.lease.since_ms = time.at_ms
    _learn(daemon, names)
    return daemon


def _learn(daemon: RoutingDaemon, names: Iterable[str]) -> None:
    """Let a daemon read the registrations and renew its own."""
    daemon.lease.confirmed_ms = daemon.time.at_ms
    known = {*names, daemon.local.name}
    daemon.cold_share.record_view(map(daemon_member, known))


def _settle(time: ManualTime, *daemons: RoutingDaemon) -> None:
    """Let the time pass after which daemons use their parts."""
    names = [daemon.local.name for daemon in daemons]
    for _ in range(2):
        time.advance(_SETTLED_MS / 2)
        for daemon in daemons:
            _learn(daemon, names)


def _try_to_send(daemon: RoutingDaemon, cold: BackendServer) -> bool:
    state = daemon.states.for_incarnation(cold.incarnation)
    if not daemon.cold_limits.may_send(cold, state):
        return False
    daemon.cold_limits.record_sent(cold, state)
    return True


class TestPart:
    """Part of one daemon in the limit of a cold server."""

    @pytest.mark.parametrize('size', [1, 4, 65, 195])
    @pytest.mark.parametrize('rate', [1, 10, 200])
    def test_burst(self, size: int, rate: float) -> None:
        """All daemons together use some of the limit, and stay below it."""
        time = ManualTime()
        names = [f'vm-{number}' for number in range(size)]
        daemons = [_daemon(each, time, names, rate) for each in range(size)]
        _settle(time, *daemons)
        sent = 0
        for daemon in daemons:
            while _try_to_send(daemon, _cold_server()):
                sent += 1
        bound = _POLICY.max_per_second(_service(rate))
        assert 0 < sent <= bound

    @pytest.mark.parametrize('size', [9, 60, 117])
    @pytest.mark.parametrize('ratio', [0.25, 0.35, 0.45])
    @pytest.mark.parametrize('rate', [5, 10, 40, 200])
    def test_turned_away_in_series(
        self, size: int, ratio: float, rate: float
    ) -> None:
        """Daemons that the store turns away do not use their parts again."""
        time = ManualTime()
        names = [f'vm-{number}' for number in range(size)]
        daemons = [_daemon(each, time, names, rate) for each in range(size)]
        left = daemons
        for _ in range(4):
            _settle(time, *left)
            _settle(time, *left)
            left = left[round(len(left) * ratio) :]
        _settle(time, *left)
        cold = _cold_server()
        sent = 0
        for daemon in daemons:
            while _try_to_send(daemon, cold):
                sent += 1
        assert 0 < sent <= _POLICY.max_per_second(_service(rate))

    def test_new_daemon(self) -> None:
        """A daemon that has just started sends nothing to a cold server."""
        daemon = _daemon(0, ManualTime(), ['vm-0'], _RATE_PER_S)
        assert not _try_to_send(daemon, _cold_server())

    def test_next_second(self) -> None:
        """The part is available again after a second."""
        time = ManualTime()
        daemon = _daemon(0, time, ['vm-0'], _RATE_PER_S)
        _settle(time, daemon)
        cold = _cold_server()
        sent = sum(_try_to_send(daemon, cold) for _ in range(100))
        time.advance(_WINDOW_MS + 1)
        assert sum(_try_to_send(daemon, cold) for _ in range(100)) == sent

    def test_no_rate(self) -> None:
        """A service that states no rate has no limit."""
        daemon = _daemon(0, ManualTime(), ['vm-0'], 0)
        assert _POLICY.max_per_second(_service(0)) == math.inf
        cold = _cold_server()
        assert all(_try_to_send(daemon, cold) for _ in range(500))
        state = daemon.states.for_incarnation(cold.incarnation)
        assert not state.cold_sends_ms

    def test_after_an_evacuation(self) -> None:
        """Servers are taken for cold after the evacuation has ended."""
        time = ManualTime()
        daemon = _daemon(0, time, ['vm-0'], _RATE_PER_S)
        _settle(time, daemon)
        daemon.directory.evacuations.start('here')
        daemon.directory.evacuations.end('here')
        returned = server('archive', 'warm')
        assert daemon.cold_limits.is_cold(returned)
        sent = sum(_try_to_send(daemon, returned) for _ in range(500))
        assert sent <= _POLICY.max_per_second(_service())
        time.advance(_WARM_UP_MS)
        assert not daemon.cold_limits.is_cold(returned)


class TestRequests:
    """Requests while servers are cold."""

    def test_other_replicas_bear_the_load(self) -> None:
        """Requests beyond the limit go to the replicas that are warm."""
        time = ManualTime()
        daemon = _daemon(0, time, ['vm-0'], _RATE_PER_S)
        _settle(time, daemon)
        requests = [daemon.dispatch(route()) for _ in range(30)]
        daemon.directory.put(_cold_server('here'))
        daemon.directory.remove('archive/near')
        sends = [send for request in requests for send in request.start(0)]
        places = Counter(send.server.data_centre for send in sends)
        assert len(sends) == 30
        assert 0 < places['here'] <= _POLICY.max_per_second(_service())

    def test_whole_shard_is_cold(self) -> None:
        """A part whose servers may get nothing is left out at once."""
        daemon = _daemon(0, ManualTime(), ['vm-0'], _RATE_PER_S)
        target = fan_out(4)
        daemon.cold_limits.services = {'shard-0': _service()}
        dispatched = daemon.dispatch(route(target=target))
        for place in ('here', 'near', 'far'):
            daemon.directory.put(
                server(
                    'shard-0',
                    place,
                    data_centre=place,
                    warm_from_ms=_WARM_UP_MS,
                ),
            )
        for send in dispatched.start(0):
            dispatched.on_response(send.attempt, 'part', 20)
        assert dispatched.finish_reason(20) is not None
        assert dispatched.response_count == 3


class ColdServerMachine(RuleBasedStateMachine):
    """Daemons that join, leave, learn late and send to one cold server."""

    def __init__(self) -> None:
        """Start a settled fleet of four daemons."""
        super().__init__()
        self.time = ManualTime()
        self.server = _cold_server()
        self._away: list[RoutingDaemon] = []
        self.started = 4
        names = [f'vm-{number}' for number in range(self.started)]
        self.daemons = {
            name: _daemon(number, self.time, names, _RATE_PER_S)
            for number, name in enumerate(names)
        }
        self.sent_ms: list[float] = []
        _settle(self.time, *self.daemons.values())
        self.learned_ms = dict.fromkeys(names, self.time.at_ms)

    @rule()
    def join(self) -> None:
        """Start a daemon, which knows the daemons that are registered."""
        if len(self.daemons) >= 12:
            return
        name = f'vm-{self.started}'
        self.daemons[name] = _daemon(
            self.started, self.time, self.daemons, _RATE_PER_S
        )
        self.learned_ms[name] = self.time.at_ms
        self.started += 1

    @rule(index=st.integers(min_value=0))
    def leave(self, index: int) -> None:
        """Stop a daemon."""
        if len(self.daemons) > 1:
            name = sorted(self.daemons)[index % len(self.daemons)]
            self.daemons.pop(name)
            self.learned_ms.pop(name)

    @rule(index=st.integers(min_value=0))
    def turn_away(self, index: int) -> None:
        """Let the store turn a daemon away, which still has requests."""
        if len(self.daemons) > 1:
            name = sorted(self.daemons)[index % len(self.daemons)]
            self._away.append(self.daemons.pop(name))
            self.learned_ms.pop(name)

    @rule(index=st.integers(min_value=0))
    def learn(self, index: int) -> None:
        """Let a daemon read the registrations."""
        name = sorted(self.daemons)[index % len(self.daemons)]
        _learn(self.daemons[name], self.daemons)
        self.learned_ms[name] = self.time.at_ms

    @rule()
    def burst(self) -> None:
        """Let every daemon send all that it may."""
        for daemon in (*self.daemons.values(), *self._away):
            while _try_to_send(daemon, self.server):
                self.sent_ms.append(self.time.at_ms)

    @rule(by_ms=st.integers(min_value=1, max_value=1500))
    def wait(self, by_ms: int) -> None:
        """Advance the clock; no daemon in touch learns later than 3 s."""
        self.time.advance(by_ms)
        self.sent_ms = [
            sent_ms
            for sent_ms in self.sent_ms
            if sent_ms > self.time.at_ms - _WINDOW_MS
        ]
        for name, daemon in self.daemons.items():
            if self.time.at_ms - self.learned_ms[name] >= MAX_AGE_MS:
                _learn(daemon, self.daemons)
                self.learned_ms[name] = self.time.at_ms

    @invariant()
    def bound_holds(self) -> None:
        """The last second has no more requests than the server tolerates."""
        assert len(self.sent_ms) <= _POLICY.max_per_second(_service())


TestColdServerMachine = ColdServerMachine.TestCase

"""Servers that are gone while another one uses their address.

Guards against requests that keep arriving at a server of another service, where
no daemon counts them, while the store does not tell that the address changed.
"""

from collections import Counter

import attrs
import pytest
from core_builders_routes import (
    MISDIRECTED,
    REFUSED,
    RoutingDaemon,
    fan_out,
    route,
    server,
)

from fennelfork.routes import (
    AttemptRecord,
    Send,
    Succeeded,
    classify_failure,
    latency_baseline,
    record_outcome,
)

_WAIT_MS = 400.0
_TOOK_MS = 5.0
_OUTAGE_MS = 9000.0


@attrs.define(kw_only=True)
class _Fleet:
    """Daemons of which each sends a request now and then.

    Attributes:
        replaced: servers whose address another one has; it answers 421.
        arrivals: number of requests that arrived at the address of a server,
            for each daemon and server.
    """

    count: int
    replaced: frozenset[str]
    arrivals: Counter[tuple[int, str]] = attrs.field(factory=Counter)
    daemons: list[RoutingDaemon] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.daemons = [RoutingDaemon() for _ in range(self.count)]

    def play(self, outage_ms: float) -> None:
        """Let each daemon send a gathered request after each wait."""
        for _ in range(int(outage_ms / _WAIT_MS)):
            for number, daemon in enumerate(self.daemons):
                daemon.time.advance(_WAIT_MS)
                self._request(number, daemon)

    def _request(self, number: int, daemon: RoutingDaemon) -> None:
        request = daemon.dispatch(route(target=fan_out(3)))
        waiting = request.start(daemon.time.at_ms)
        while waiting:
            send = waiting.pop()
            daemon.mark_sent([send])
            daemon.time.advance(_TOOK_MS)
            self.arrivals[number, send.server.instance] += 1
            waiting += self._answer(daemon, request, send)

    def _answer(
        self, daemon: RoutingDaemon, request: object, send: Send
    ) -> list[Send]:
        now_ms = daemon.time.at_ms
        is_replaced = send.server.instance in self.replaced
        outcome = (
            classify_failure(MISDIRECTED, 1000) if is_replaced else Succeeded()
        )
        record_outcome(
            outcome,
            AttemptRecord(
                send=send,
                now_ms=now_ms,
                latency_baseline=request.latency_baseline,
                nearby=True,
            ),
            daemon.states.for_incarnation(send.server.incarnation),
        )
        if is_replaced:
            return request.on_failure(send.attempt, MISDIRECTED, now_ms)
        return request.on_response(send.attempt, 'part', now_ms)


@pytest.mark.parametrize(
    'replaced',
    [
        ['shard-0/here'],
        ['shard-0/here', 'shard-1/here', 'shard-2/near'],
        ['shard-0/here', 'shard-0/far'],
    ],
)
def test_each_daemon_learns_it_once(replaced: list[str]) -> None:
    """During an outage each daemon sends one request to a reused address."""
    fleet = _Fleet(count=20, replaced=frozenset(replaced))
    fleet.play(_OUTAGE_MS)
    misdirected = {
        key: count
        for key, count in fleet.arrivals.items()
        if key[1] in fleet.replaced
    }
    assert misdirected
    assert max(misdirected.values()) == 1


def test_last_server_is_replaced() -> None:
    """A request is refused rather than sent to a server that is gone."""
    servers = (f'shard-0/{place}' for place in ('here', 'near', 'far'))
    fleet = _Fleet(count=1, replaced=frozenset(servers))
    fleet.play(_OUTAGE_MS)
    reached = [fleet.arrivals[0, instance] for instance in fleet.replaced]
    assert reached == [1, 1, 1]


def test_refused_connection() -> None:
    """A server whose process has ended gets no further connection."""
    daemon = RoutingDaemon()
    daemon.add_servers(['archive'])
    sends = daemon.dispatch(route()).start(0)
    daemon.mark_sent(sends)
    record_outcome(
        classify_failure(REFUSED, 100),
        AttemptRecord(
            send=sends[0],
            now_ms=0,
            latency_baseline=latency_baseline(300),
            nearby=True,
        ),
        daemon.states.for_incarnation(sends[0].server.incarnation),
    )
    chosen = set()
    for _ in range(20):
        daemon.time.advance(_WAIT_MS)
        again = daemon.dispatch(route()).start(daemon.time.at_ms)
        chosen.add(again[0].server.instance)
    assert sends[0].server.instance not in chosen


def test_misdirected_arrival_is_counted() -> None:
    """It leaves less for the extra attempts to the service that got it."""
    daemon = RoutingDaemon(ratio=1)
    for service in ('first', 'second'):
        daemon.budgets.record_request(service)
    daemon.budgets.record_misdirected('second')
    assert daemon.budgets.try_spend('first')
    assert not daemon.budgets.try_spend('second')


def test_service_at_an_address() -> None:
    """The service of the server that started last is the one at the address."""
    daemon = RoutingDaemon()
    gone = server('first', 'here')
    daemon.directory.put(gone)
    assert daemon.directory.find_other_service(gone) is None
    for started_ms, service in enumerate(('second', 'third'), start=1):
        daemon.directory.put(server(service, 'here', started_ms=started_ms))
    assert daemon.directory.find_other_service(gone) == 'third'

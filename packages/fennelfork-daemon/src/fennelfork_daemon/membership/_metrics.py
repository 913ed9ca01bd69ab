"""Metrics of membership: states, probes and cost."""

import time
from collections import Counter as Tally
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, Final

import attrs
from prometheus_client import Counter, Gauge
from returns.pipeline import is_successful
from returns.result import Result

from fennelfork.membership import MemberChange, MemberStatus, MemberTable
from fennelfork_daemon.membership._probe_client import ProbeFailure
from fennelfork_daemon.membership._probe_codec import wire_size_bytes
from fennelfork_daemon.metrics._metrics import (
    Channel,
    ControlCost,
    DaemonMetrics,
)

_NS_PER_MS: Final = 1_000_000
_ANSWERED: Final = 'answered'


@attrs.frozen(kw_only=True)
class MembershipMetrics:
    """Counts members by state, probes by outcome, and the cost of probes."""

    _daemon: DaemonMetrics
    _probes: Counter
    _changes: Counter
    _members: Gauge
    _score: Gauge
    _refutations: Gauge

    @contextmanager
    def measure_processor_time(self) -> Iterator[None]:
        """Count the processor time of a block without network I/O."""
        start_ns = time.thread_time_ns()
        yield
        spent_ms = (time.thread_time_ns() - start_ns) / _NS_PER_MS
        self._daemon.count_control(
            ControlCost(channel=Channel.PEER, processor_ms=spent_ms),
        )

    def count_outbound(
        self,
        request: Any,
        reply: Result[Any, ProbeFailure],
    ) -> None:
        """Count a probe that this daemon sent."""
        outcome = _ANSWERED
        received = 0
        if is_successful(reply):
            received = wire_size_bytes(reply.unwrap())
        else:
            outcome = reply.failure().value
        self._probes.labels(outcome).inc()
        self._count_bytes(wire_size_bytes(request), received)

    def count_inbound(self, request: Any, reply: Any) -> None:
        """Count a probe that this daemon answered."""
        self._probes.labels('received').inc()
        self._count_bytes(wire_size_bytes(reply), wire_size_bytes(request))

    def count_change(self, change: MemberChange) -> None:
        """Count a change of the membership state of another daemon."""
        self._changes.labels(change.after.state.value).inc()

    def update_members(self, table: MemberTable) -> None:
        """Set the number of members in each state."""
        tally = Tally(member.state for member in table)
        for state in MemberStatus:
            self._members.labels(state.value).set(tally[state])

    def update_health(self, refutations: int, score: int) -> None:
        """Set the number of refutations and the health score of this daemon."""
        self._refutations.set(refutations)
        self._score.set(score)

    def _count_bytes(self, sent: int, received: int) -> None:
        self._daemon.count_control(
            ControlCost(channel=Channel.PEER, sent=sent, received=received),
        )


def membership_metrics(daemon: DaemonMetrics) -> MembershipMetrics:
    """Build the metrics in the registry of the daemon's metrics."""
    registry = daemon.registry
    return MembershipMetrics(
        daemon=daemon,
        probes=Counter(
            'fennelfork_membership_probes',
            'Probes made, by outcome, and received.',
            ('outcome',),
            registry=registry,
        ),
        changes=Counter(
            'fennelfork_membership_changes',
            'Changes of belief about other daemons, by the new state.',
            ('state',),
            registry=registry,
        ),
        members=Gauge(
            'fennelfork_members',
            'Daemons known, by state.',
            ('state',),
            registry=registry,
        ),
        score=Gauge(
            'fennelfork_membership_health_score',
            'How slow this daemon takes itself to be, 0 when healthy.',
            registry=registry,
        ),
        refutations=Gauge(
            'fennelfork_membership_refutations',
            'Claims about itself that this daemon denied in this run.',
            registry=registry,
        ),
    )

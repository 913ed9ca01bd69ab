"""Counters of membership: what it found and what it cost."""

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
from fennelfork_daemon.membership._probe_codec import wire_bytes
from fennelfork_daemon.metrics._metrics import (
    Channel,
    ControlCost,
    DaemonMetrics,
)

_NS_PER_MS: Final = 1_000_000
_ANSWERED: Final = 'answered'


@attrs.frozen(kw_only=True)
class MembershipMetrics:
    """Counts beliefs by state, probes by outcome, and the cost of both."""

    _daemon: DaemonMetrics
    _probes: Counter
    _changes: Counter
    _members: Gauge
    _score: Gauge
    _refutations: Gauge

    @contextmanager
    def processor(self) -> Iterator[None]:
        """Count the processor time of a block that makes no call."""
        begun_ns = time.thread_time_ns()
        yield
        spent_ms = (time.thread_time_ns() - begun_ns) / _NS_PER_MS
        self._daemon.count_control(
            ControlCost(channel=Channel.PEER, processor_ms=spent_ms),
        )

    def count_outbound(
        self,
        request: Any,
        reply: Result[Any, ProbeFailure],
    ) -> None:
        """Count a probe that this daemon made."""
        outcome = _ANSWERED
        received = 0
        if is_successful(reply):
            received = wire_bytes(reply.unwrap())
        else:
            outcome = reply.failure().value
        self._probes.labels(outcome).inc()
        self._count_bytes(wire_bytes(request), received)

    def count_inbound(self, request: Any, reply: Any) -> None:
        """Count a probe that this daemon answered."""
        self._probes.labels('received').inc()
        self._count_bytes(wire_bytes(reply), wire_bytes(request))

    def count_change(self, change: MemberChange) -> None:
        """Count a change of belief about another daemon."""
        self._changes.labels(change.after.state.value).inc()

    def show_members(self, table: MemberTable) -> None:
        """Show how many members are in which state."""
        tally = Tally(member.state for member in table)
        for state in MemberStatus:
            self._members.labels(state.value).set(tally[state])

    def show_health(self, refutations: int, score: int) -> None:
        """Show how this daemon stands itself."""
        self._refutations.set(refutations)
        self._score.set(score)

    def _count_bytes(self, sent: int, received: int) -> None:
        self._daemon.count_control(
            ControlCost(channel=Channel.PEER, sent=sent, received=received),
        )


def membership_metrics(daemon: DaemonMetrics) -> MembershipMetrics:
    """Build the counters in the registry of the daemon's metrics."""
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

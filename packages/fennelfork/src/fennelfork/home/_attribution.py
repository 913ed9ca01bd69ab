"""Attribution of the outcomes of attempts to backend servers."""

import functools
from typing import Final

from fennelfork._verdict import Failure, FailureCode, Verdict
from fennelfork.home._blackboard import (
    Attempt,
    ServerState,
    ShardBlackboard,
    Timer,
)
from fennelfork.servers._ejection import may_eject

_TAIL: Final = 0.99
_SUSPECT_CODES: Final = frozenset(
    (
        FailureCode.UNREACHABLE,
        FailureCode.BAD_REPLY,
        FailureCode.DEADLINE,
        FailureCode.INTERNAL,
    )
)


def record_success(blackboard: ShardBlackboard, attempt: Attempt) -> None:
    """Record a valid response of a server."""
    record_latency(blackboard, attempt)
    server = blackboard.servers.get(attempt.server)
    if server is not None:
        server.ejection.record_success(server.config.slots)
        server.consecutive_sheds = 0


def record_failure(
    blackboard: ShardBlackboard, attempt: Attempt, failure: Failure
) -> None:
    """Record the failure of an attempt for its server."""
    server = blackboard.servers.get(attempt.server)
    if server is None:
        return
    if failure.code is FailureCode.DRAINING:
        # Also counts if the attempt has been cancelled.
        server.drain.record_refusal()
    if attempt.cancelled:
        return
    if failure.code in _SUSPECT_CODES:
        _count_failure(blackboard, server)
        if failure.verdict is Verdict.NOT_RUN:
            # The server accepts no connections.
            _eject(blackboard, server)
        return
    _apply_refusal(blackboard, server, attempt, failure.code)


def record_slow_attempt(blackboard: ShardBlackboard, attempt: Attempt) -> None:
    """Record an attempt that was cancelled because it was slow.

    The elapsed time is recorded as a latency sample; otherwise the quantile
    would decrease with each hedge.
    """
    record_latency(blackboard, attempt)
    server = blackboard.servers.get(attempt.server)
    if server is not None:
        _count_failure(blackboard, server)


def is_slow(blackboard: ShardBlackboard, attempt: Attempt) -> bool:
    """Return whether an unanswered attempt exceeds the tail latency."""
    if not blackboard.shard_latencies.has_enough_samples:
        return False
    elapsed_ms = blackboard.clock.now_ms() - attempt.sent_ms
    return elapsed_ms > blackboard.shard_latencies.quantile_ms(_TAIL)


def record_latency(blackboard: ShardBlackboard, attempt: Attempt) -> None:
    """Record the time since an attempt was sent as a latency sample."""
    elapsed_ms = blackboard.clock.now_ms() - attempt.sent_ms
    blackboard.shard_latencies.record(elapsed_ms)
    server = blackboard.servers.get(attempt.server)
    if server is not None:
        server.latency.record(elapsed_ms)


def _apply_refusal(
    blackboard: ShardBlackboard,
    server: ServerState,
    attempt: Attempt,
    code: FailureCode,
) -> None:
    """Update the state of a server that refused an attempt."""
    if code is FailureCode.SHED:
        server.record_shed(
            blackboard.clock.now_ms(), blackboard.admission.service_ms
        )
        blackboard.set_timer(Timer(at_ms=server.overloaded_until_ms))
    elif code is FailureCode.SNAPSHOT_GONE:
        server.record_lost_snapshot(attempt.task.snapshot)
    elif code is FailureCode.NOT_HELD:
        # The next health report may add the snapshot again.
        server.snapshots = tuple(
            held
            for held in server.snapshots
            if held.version != attempt.task.snapshot
        )


def _count_failure(blackboard: ShardBlackboard, server: ServerState) -> None:
    server.ejection.record_failure()
    is_ejected = functools.partial(
        _is_server_ejected, blackboard.clock.now_ms()
    )
    ejected = sum(map(is_ejected, blackboard.servers.values()))
    if server.ejection.should_eject and may_eject(
        ejected, len(blackboard.servers)
    ):
        _eject(blackboard, server)


def _eject(blackboard: ShardBlackboard, server: ServerState) -> None:
    server.ejection.eject(blackboard.clock.now_ms())
    blackboard.set_timer(Timer(at_ms=server.ejection.ejected_until_ms))


def _is_server_ejected(now_ms: float, server: ServerState) -> bool:
    return server.ejection.is_ejected(now_ms)

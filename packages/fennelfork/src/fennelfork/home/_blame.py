"""What outcomes say of a server, whatever its endpoints say."""

import functools
from typing import Final

from fennelfork._verdict import Failure, FailureCode, Verdict
from fennelfork.home._board import Attempt, Board, ServerState, Timer
from fennelfork.servers._ejection import may_eject

_TAIL: Final = 0.99
# A health endpoint that lags does not undo a server's own refusal.
_DRAIN_TRUSTED_MS: Final = 5000.0
_SUSPECT_CODES: Final = frozenset(
    (
        FailureCode.UNREACHABLE,
        FailureCode.BAD_REPLY,
        FailureCode.DEADLINE,
        FailureCode.INTERNAL,
    )
)


def praise(board: Board, attempt: Attempt) -> None:
    """Note a good reply."""
    note_latency(board, attempt)
    server = board.servers.get(attempt.server)
    if server is not None:
        server.standing.note_good(server.facts.slots)
        server.sheds_in_row = 0


def blame(board: Board, attempt: Attempt, failure: Failure) -> None:
    """Draw from a failure what it says of the server."""
    server = board.servers.get(attempt.server)
    if server is None or attempt.cancelled:
        return
    if failure.code in _SUSPECT_CODES:
        _note_bad(board, server)
        if failure.verdict is Verdict.NOT_RUN:
            # It took no connection: a fact, no matter of comparison.
            _eject(board, server)
        return
    _believe(board, server, attempt, failure.code)


def note_slow(board: Board, attempt: Attempt) -> None:
    """Note a copy that was cancelled because it took too long.

    It took at least this long: without such samples the quantile would
    drift down, hedge by hedge.
    """
    note_latency(board, attempt)
    server = board.servers.get(attempt.server)
    if server is not None:
        _note_bad(board, server)


def is_slow(board: Board, attempt: Attempt) -> bool:
    """Tell whether a copy without a reply is far behind its shard."""
    if not board.seen.known:
        return False
    elapsed_ms = board.clock.now_ms() - attempt.sent_ms
    return elapsed_ms > board.seen.quantile_ms(_TAIL)


def note_latency(board: Board, attempt: Attempt) -> None:
    """Record how long an attempt took, or has taken up to now."""
    elapsed_ms = board.clock.now_ms() - attempt.sent_ms
    board.seen.record(elapsed_ms)
    server = board.servers.get(attempt.server)
    if server is not None:
        server.latency.record(elapsed_ms)


def _believe(
    board: Board,
    server: ServerState,
    attempt: Attempt,
    code: FailureCode,
) -> None:
    """Take a refusing server at its word."""
    if code is FailureCode.SHED:
        server.shed(board.clock.now_ms(), board.admission.service_ms)
        board.set_timer(Timer(at_ms=server.full_until_ms))
    elif code is FailureCode.DRAINING:
        server.refuse_until(board.clock.now_ms() + _DRAIN_TRUSTED_MS)
    elif code is FailureCode.SNAPSHOT_GONE:
        server.lose(attempt.task.snapshot)
    elif code is FailureCode.NOT_HELD:
        # Until its health endpoint says again that it holds them.
        server.snapshots = tuple(
            held
            for held in server.snapshots
            if held.version != attempt.task.snapshot
        )


def _note_bad(board: Board, server: ServerState) -> None:
    server.standing.note_bad()
    is_ejected = functools.partial(_is_ejected, board.clock.now_ms())
    ejected = sum(map(is_ejected, board.servers.values()))
    if server.standing.doubted and may_eject(ejected, len(board.servers)):
        _eject(board, server)


def _eject(board: Board, server: ServerState) -> None:
    server.standing.eject(board.clock.now_ms())
    board.set_timer(Timer(at_ms=server.standing.ejected_until_ms))


def _is_ejected(now_ms: float, server: ServerState) -> bool:
    return server.standing.ejected(now_ms)

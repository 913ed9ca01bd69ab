"""The root of a query: pins a snapshot, scatters, merges, answers."""

import json
from typing import Final

import attrs
import eventlet
from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import (
    Answer,
    Blackboard,
    Clock,
    Failure,
    FailureCode,
    Front,
    HomeGroup,
    KeyRange,
    Merge,
    PeerHealth,
    QueryAnswer,
    QueryRequest,
    Verdict,
    allows,
    merge_of,
    not_run,
    pin,
    route_homes,
)
from fennelfork_daemon._home_calls import HomeCalls
from fennelfork_daemon._root_scatter import RootScatter
from fennelfork_daemon._view_cache import ViewCache

_RETRY_PARTIAL_MS: Final = 1000
_RETRY_SHED_MS: Final = 200
_DESCRIBE_SHARE: Final = 0.5
_LONGEST_DESCRIBE_MS: Final = 1000
_MOST_RERUNS: Final = 1


@attrs.define(kw_only=True)
class RootService:
    """Answers queries that callers sent to this daemon."""

    _board: Blackboard
    _calls: HomeCalls
    _health: PeerHealth
    _views: ViewCache
    _clock: Clock

    def answer(self, request: QueryRequest) -> Result[QueryAnswer, Failure]:
        """Answer one query, before its deadline.

        Returns:
            The answer with its coverage, or a failure whose verdict says
            whether any part of the query may have run.
        """
        front = self._board.front(request.front)
        if front is None:
            detail = f'there is no front {request.front!r}'
            return Bad(not_run(FailureCode.UNKNOWN_FRONT, detail))
        self._learn_views(request, front)
        scatter = RootScatter(
            request=request,
            query_text=json.dumps(request.query),
            board=self._board,
            calls=self._calls,
            health=self._health,
            views=self._views,
            clock=self._clock,
        )
        return self._rounds(request, front, scatter)

    def _rounds(
        self,
        request: QueryRequest,
        front: Front,
        scatter: RootScatter,
    ) -> Result[QueryAnswer, Failure]:
        config_version = self._board.config_version
        whole = KeyRange(lo=0, hi=front.keys)
        gone: frozenset[int] = frozenset()
        best: Merge | None = None
        for reruns in range(_MOST_RERUNS + 1):
            pinned = pin(self._views.known(request.front), whole, gone)
            if best is None and not _is_success(pinned):
                return Bad(pinned.failure())
            if not _is_success(pinned):
                break
            merge = merge_of(request.request_id, pinned.unwrap(), whole)
            scatter.run(merge)
            scatter.work = attrs.evolve(scatter.work, reruns=reruns)
            best = _better(best, merge)
            if not merge.snapshot_gone or scatter.left_ms <= 0:
                break
            gone |= {merge.snapshot}
        return self._finish(request, best, config_version, scatter)

    def _finish(
        self,
        request: QueryRequest,
        merge: Merge,
        config_version: int,
        scatter: RootScatter,
    ) -> Result[QueryAnswer, Failure]:
        answer = merge.answer()
        if allows(request.demand, answer.coverage):
            return Success(
                QueryAnswer(
                    answer=answer,
                    config_version=config_version,
                    work=scatter.work,
                ),
            )
        return Bad(_refusal(merge, answer))

    def _learn_views(self, request: QueryRequest, front: Front) -> None:
        """Have unknown shards described by their homes, or the next ones."""
        self._views.keep_only(request.front, front.shards)
        silent = self._health.avoided
        for _ in range(2):
            unknown = self._views.unknown(request.front, front.shards)
            groups = route_homes(self._board, request.front, unknown, silent)
            if not groups:
                return
            self._describe(request, groups)
            silent |= {group.home.name for group in groups}

    def _describe(
        self,
        request: QueryRequest,
        groups: tuple[HomeGroup, ...],
    ) -> None:
        left_ms = request.deadline_at_ms - self._clock.now_ms()
        timeout_ms = min(left_ms * _DESCRIBE_SHARE, _LONGEST_DESCRIBE_MS)
        pool = eventlet.GreenPool(len(groups))
        threads = [
            pool.spawn(
                self._calls.describe,
                group.home,
                request.front,
                group.shards,
                timeout_ms,
            )
            for group in groups
        ]
        for thread in threads:
            thread.wait().map(
                lambda views: self._views.learn(request.front, views),
            )


def _is_success(result: Result[object, Failure]) -> bool:
    return isinstance(result, Success)


def _better(best: Merge | None, merge: Merge) -> Merge:
    if best is None:
        return merge
    covered = merge.answer().coverage.fraction
    return merge if covered >= best.answer().coverage.fraction else best


def _refusal(merge: Merge, answer: Answer) -> Failure:
    """Say why the coverage is refused; the verdict joins all parts."""
    coverage = answer.coverage
    reasons = sorted({gap.reason.value for gap in coverage.missing})
    named = ', '.join(reasons)
    nothing_ran = merge.verdict is Verdict.NOT_RUN
    return Failure(
        code=FailureCode.SHED if nothing_ran else FailureCode.PARTIAL,
        verdict=merge.verdict,
        detail=(
            f'answered for {coverage.fraction:.4f} of the keys '
            f'at snapshot {answer.snapshot}; missing: {named}'
        ),
        retry_after_ms=_RETRY_SHED_MS if nothing_ran else _RETRY_PARTIAL_MS,
    )

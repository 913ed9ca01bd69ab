"""Root daemon of a query: pins a snapshot, scatters, merges and answers."""

import json

import attrs
from returns.pipeline import is_successful
from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import Blackboard, Clock, Failure, FailureCode, not_run
from fennelfork.gather import (
    KeyRange,
    Merge,
    QueryAnswer,
    QueryRequest,
    pin_snapshot,
    plan_merge,
    refusal_of,
)
from fennelfork.placement import PeerHealth, peer_health
from fennelfork_daemon.home._client import Home, HomeClient
from fennelfork_daemon.peer._client import PeerClient
from fennelfork_daemon.root._describer import ShardDescriber
from fennelfork_daemon.root._scatter import RootScatter
from fennelfork_daemon.root._view_cache import ViewCache
from fennelfork_daemon.tracing._trace import RequestTrace


@attrs.define(kw_only=True)
class RootService:
    """Answers queries of callers as their root daemon."""

    _blackboard: Blackboard
    _homes: HomeClient
    _health: PeerHealth
    _views: ViewCache
    _describer: ShardDescriber
    _clock: Clock

    def answer(
        self,
        request: QueryRequest,
        trace: RequestTrace,
    ) -> Result[QueryAnswer, Failure]:
        """Answer one query before its deadline.

        Args:
            request: query of the caller.
            trace: trace of the query.

        Returns:
            The answer with its coverage, or a failure whose verdict says
            whether any part of the query may have run.
        """
        front = self._blackboard.find_front(request.front)
        if front is None:
            detail = f'there is no front {request.front!r}'
            return Bad(not_run(FailureCode.UNKNOWN_FRONT, detail))
        level = self._homes.admit(request)
        if not is_successful(level):
            return Bad(level.failure())
        config_version = self._blackboard.config_version
        self._describer.describe_unknown(
            request.front, front, request.deadline_at_ms
        )
        scatter = self._scatter(request, trace, level.unwrap())
        merged = self._run_with_rerun(
            scatter, request, KeyRange(lo=0, hi=front.keys)
        )
        return merged.bind(
            lambda merge: _build_answer(
                request, merge, config_version, scatter
            ),
        )

    def _scatter(
        self,
        request: QueryRequest,
        trace: RequestTrace,
        level: float,
    ) -> RootScatter:
        return RootScatter(
            level=level,
            trace=trace,
            request=request,
            query_text=json.dumps(request.query),
            blackboard=self._blackboard,
            homes=self._homes,
            health=self._health,
            views=self._views,
            clock=self._clock,
        )

    def _run_with_rerun(
        self,
        scatter: RootScatter,
        request: QueryRequest,
        key_space: KeyRange,
    ) -> Result[Merge, Failure]:
        """Run the query, and rerun it if its snapshot is no longer available."""
        none_excluded: frozenset[int] = frozenset()
        first = self._run_at_snapshot(
            scatter, request, key_space, none_excluded
        )
        merge = first.value_or(None)
        if (
            merge is None
            or not merge.snapshot_gone
            or scatter.remaining_ms <= 0
        ):
            return first
        scatter.work = attrs.evolve(scatter.work, reruns=1)
        scatter.trace.record_event(
            'rerun on another snapshot', gone=merge.snapshot
        )
        gone = frozenset((merge.snapshot,))
        again = self._run_at_snapshot(scatter, request, key_space, gone)
        return again.map(lambda rerun: _choose_better(merge, rerun)).lash(
            lambda _: first,
        )

    def _run_at_snapshot(
        self,
        scatter: RootScatter,
        request: QueryRequest,
        key_space: KeyRange,
        gone: frozenset[int],
    ) -> Result[Merge, Failure]:
        pinned = pin_snapshot(
            self._views.for_front(request.front), key_space, gone
        )
        planned = pinned.map(
            lambda partition: plan_merge(
                request.request_id, partition, key_space
            ),
        )
        if is_successful(planned):
            scatter.run(planned.unwrap())
        return planned


def root_service(
    blackboard: Blackboard, clock: Clock, home: Home, views: ViewCache
) -> RootService:
    """Build the service that coordinates queries as root daemon.

    Args:
        blackboard: facts that the components of the daemon share.
        clock: clock of the daemon.
        home: service of this daemon that schedules the requests of shards.
        views: cache for the views of shards.
    """
    health = peer_health(clock)
    homes = HomeClient(
        local_name=blackboard.local.name,
        local=home,
        peers=PeerClient(),
        health=health,
        unreachable=blackboard.unreachable_peers,
    )
    describer = ShardDescriber(
        blackboard=blackboard,
        homes=homes,
        health=health,
        views=views,
        clock=clock,
    )
    return RootService(
        blackboard=blackboard,
        homes=homes,
        health=health,
        views=views,
        describer=describer,
        clock=clock,
    )


def _build_answer(
    request: QueryRequest,
    merge: Merge,
    config_version: int,
    scatter: RootScatter,
) -> Result[QueryAnswer, Failure]:
    refusal = refusal_of(merge, request.demand)
    if refusal is not None:
        return Bad(refusal)
    return Success(
        QueryAnswer(
            answer=merge.build_answer(),
            config_version=config_version,
            work=scatter.work,
        ),
    )


def _choose_better(first: Merge, rerun: Merge) -> Merge:
    rerun.earlier_verdict = first.verdict
    before = first.build_answer().coverage.fraction
    after = rerun.build_answer().coverage.fraction
    return rerun if after >= before else first

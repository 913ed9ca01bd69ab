"""Builders for a root scatter with fake home daemons."""

import json

import attrs
import eventlet
from daemon_builders_home import SERVER
from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import (
    Blackboard,
    Failure,
    FailureCode,
    blackboard,
    may_have_run,
    not_run,
    system_clock,
)
from fennelfork.config import Document, Front, Shard
from fennelfork.gather import (
    Assignment,
    CompleteCoverage,
    CoverageDemand,
    Merge,
    PartitionMap,
    QueryRequest,
    ScatterOutcome,
    ScatterRequest,
    SubQueryOutcome,
    key_range,
    plan_merge,
)
from fennelfork.membership import Member, MemberStatus
from fennelfork.placement import peer_health
from fennelfork_daemon.root._scatter import RootScatter
from fennelfork_daemon.root._view_cache import ViewCache
from fennelfork_daemon.tracing._trace import RequestTrace

SHED = not_run(FailureCode.SHED, 'all slots busy')
NO_REPLY = may_have_run(FailureCode.UNREACHABLE, 'no reply')
NO_CONNECT = not_run(FailureCode.UNREACHABLE, 'refused')
_WHOLE = key_range(0, 10)
_WHOLE_DEMAND = CompleteCoverage()


@attrs.define(kw_only=True)
class FakeHomes:
    """Fake client for home daemons.

    Attributes:
        replies: failure for each request, in order; none stands for a missing
            reply.
        asked: names of the home daemons that received requests or probes.
    """

    replies: list[Failure | None]
    asked: list[str] = attrs.field(factory=list)

    def scatter(
        self,
        home: Member,
        request: ScatterRequest,
        timeout_ms: float,
    ) -> Result[ScatterOutcome, Failure]:
        """Fail each sub-query if the reply is `SHED`, else the request."""
        self.asked.append(home.name)
        failure = self.replies[len(self.asked) - 1]
        if failure is not SHED:
            return Bad(failure or NO_REPLY)
        parts = tuple(
            SubQueryOutcome(planned=planned, failure=failure)
            for planned in request.planned
        )
        return Success(
            ScatterOutcome(parts=parts, shards=(), config_version=1),
        )

    def is_responsive(
        self, home: Member, front: str, timeout_ms: float
    ) -> bool:
        """Report the home daemon as unresponsive."""
        return False


@attrs.define(kw_only=True)
class OneHomeSheds(FakeHomes):
    """Fake client where shard `s0` is shed and other requests hang."""

    def scatter(
        self,
        home: Member,
        request: ScatterRequest,
        timeout_ms: float,
    ) -> Result[ScatterOutcome, Failure]:
        """Fail the sub-queries of `s0` and hang for other shards."""
        if request.planned[0].shard != 's0':
            self.asked.append(home.name)
            eventlet.sleep(timeout_ms)
        return FakeHomes.scatter(self, home, request, timeout_ms)

    def is_responsive(
        self, home: Member, front: str, timeout_ms: float
    ) -> bool:
        """Record the probe and report the home daemon as responsive."""
        self.asked.append(f'{home.name} probed')
        return True


def scatter_with_one_shed(demand: CoverageDemand) -> tuple[OneHomeSheds, Merge]:
    """Run a scatter in which one of two shards is shed immediately."""
    homes = OneHomeSheds(replies=[SHED, SHED])
    halves = {'s0': key_range(0, 5), 's1': key_range(5, 10)}
    partition = PartitionMap(
        snapshot=1,
        assignments=tuple(
            Assignment(shard=name, span=span) for name, span in halves.items()
        ),
    )
    merge = plan_merge('r1', partition, _WHOLE)
    root = _root_scatter(homes, demand, tuple(halves))
    root.run(merge)
    return homes, merge


def scatter_over_homes(
    replies: list[Failure | None],
) -> tuple[FakeHomes, Merge]:
    """Run a scatter over home daemons with the given replies."""
    homes = FakeHomes(replies=replies)
    partition = PartitionMap(
        snapshot=1,
        assignments=(Assignment(shard='s0', span=_WHOLE),),
    )
    merge = plan_merge('r1', partition, _WHOLE)
    _root_scatter(homes).run(merge)
    return homes, merge


def _root_scatter(
    homes: FakeHomes,
    demand: CoverageDemand = _WHOLE_DEMAND,
    shards: tuple[str, ...] = ('s0',),
) -> RootScatter:
    clock = system_clock()
    now_ms = clock.now_ms()
    request = QueryRequest(
        request_id='r1',
        front='raft',
        deadline_at_ms=now_ms + 5000,
        tenant='salvare',
        traffic_class='counter',
        query={},
        demand=demand,
    )
    return RootScatter(
        trace=RequestTrace(clock=clock, started_ms=now_ms),
        request=request,
        query_text=json.dumps(request.query),
        blackboard=blackboard_with_shards(shards),
        homes=homes,
        health=peer_health(clock),
        views=ViewCache(),
        clock=clock,
    )


def blackboard_with_shards(shards: tuple[str, ...]) -> Blackboard:
    """Build a blackboard with a front of shards with one server each."""
    members = [_member(f'vm-{number}') for number in range(3)]
    local_blackboard = blackboard(members[0])
    local_blackboard.members = {member.name: member for member in members}
    shard = Shard(servers={'raft-a': SERVER})
    local_blackboard.document = Document(
        fronts={'raft': Front(keys=10, shards=dict.fromkeys(shards, shard))},
    )
    return local_blackboard


def _member(name: str) -> Member:
    return Member(
        name=name,
        incarnation=1,
        state=MemberStatus.ALIVE,
        region='region-1',
        data_centre='dc-1',
        caller='127.0.0.1:1',
        operator='127.0.0.1:2',
        peer='127.0.0.1:3',
    )

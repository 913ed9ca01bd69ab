"""Lookup of the backend servers of a record through home daemons."""

import random
from typing import Final

import attrs
from returns.result import Failure as Failed
from returns.result import Result, Success

from fennelfork import Blackboard, Clock, Failure, FailureCode, not_run
from fennelfork.config import Front
from fennelfork.once import (
    ExecuteRequest,
    NamedServer,
    exclude_refusing,
    servers_for_record,
)
from fennelfork.placement import peer_health
from fennelfork_daemon._address import address
from fennelfork_daemon.execute._connection import ExecuteTarget
from fennelfork_daemon.execute._draining import (
    DrainExclusion,
    drain_exclusion,
)
from fennelfork_daemon.execute._view_ages import ViewAges
from fennelfork_daemon.home._client import Home, HomeClient
from fennelfork_daemon.peer._client import PeerClient
from fennelfork_daemon.root._describer import ShardDescriber
from fennelfork_daemon.root._view_cache import ViewCache

_RETRY_AFTER_MS: Final = 1000


@attrs.define(kw_only=True)
class HomeTargetFinder:
    """Finds the servers of records in shard views from home daemons."""

    _blackboard: Blackboard
    _describer: ShardDescriber
    _views: ViewCache
    _rng: random.Random
    _draining: DrainExclusion
    _ages: ViewAges
    _invalid_fronts: set[str] = attrs.field(factory=set)

    def find(
        self,
        request: ExecuteRequest,
        deadline_at_ms: float,
    ) -> Result[tuple[ExecuteTarget, ...], Failure]:
        """Return the servers that hold a record, in order of preference.

        Args:
            request: request that names the record.
            deadline_at_ms: clock reading of the deadline, in milliseconds.
        """
        front = self._blackboard.find_front(request.front)
        if front is None:
            detail = f'there is no front {request.front!r}'
            return Failed(not_run(FailureCode.UNKNOWN_FRONT, detail))
        outdated = self._find_outdated(request.front, front)
        if outdated:
            self._describer.refresh(request.front, outdated, deadline_at_ms)
        self._describer.describe_unknown(request.front, front, deadline_at_ms)
        views = self._views.for_front(request.front)
        servers = servers_for_record(
            front,
            views,
            request.key,
            self._blackboard.local.data_centre,
            self._rng,
        )
        candidates = exclude_refusing(
            front, views, self._draining.servers.exclude_draining(servers)
        )
        if servers and not candidates:
            detail = 'every server that holds the record is draining'
            return Failed(
                not_run(FailureCode.DRAINING, detail, _RETRY_AFTER_MS)
            )
        return Success(
            tuple(_build_target(named_server) for named_server in candidates)
        )

    def invalidate(self, request: ExecuteRequest) -> None:
        """Request new views of the front for the next request."""
        self._invalid_fronts.add(request.front)

    def record_draining(self, target: ExecuteTarget) -> None:
        """Exclude a draining server until its drain ends."""
        self._draining.record_refusal(target)

    def _find_outdated(self, name: str, front: Front) -> frozenset[str]:
        """Return the shards whose cached views have to be replaced."""
        if name in self._invalid_fronts:
            self._invalid_fronts.discard(name)
            return frozenset(front.shards)
        return self._ages.find_outdated(name, self._views.for_front(name))


def home_target_finder(
    blackboard: Blackboard,
    clock: Clock,
    home: Home,
    views: ViewCache,
) -> HomeTargetFinder:
    """Build a target finder that shares the view cache of the root daemon."""
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
    return HomeTargetFinder(
        blackboard=blackboard,
        describer=describer,
        views=views,
        rng=random.Random(),
        draining=drain_exclusion(blackboard),
        ages=ViewAges(clock=clock),
    )


def _build_target(named_server: NamedServer) -> ExecuteTarget:
    place = address(named_server.server.address)
    return ExecuteTarget(
        name=named_server.name, host=place.host, port=place.port
    )

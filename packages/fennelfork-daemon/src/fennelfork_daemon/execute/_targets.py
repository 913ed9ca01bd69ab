"""Finds the backend servers of a record through the homes of its front."""

import random
from typing import Final

import attrs
from returns.result import Failure as Failed
from returns.result import Result, Success

from fennelfork import Blackboard, Clock, Failure, FailureCode, not_run
from fennelfork.home import LeavingServers, leaving_servers
from fennelfork.once import ExecuteRequest, NamedServer, servers_for_record
from fennelfork.placement import peer_health
from fennelfork_daemon._address import address
from fennelfork_daemon.execute._connection import ExecuteTarget
from fennelfork_daemon.home._calls import Home, HomeCalls
from fennelfork_daemon.peer._client import PeerClient
from fennelfork_daemon.root._describer import Describer
from fennelfork_daemon.root._view_cache import ViewCache

_RETRY_MS: Final = 1000


@attrs.define(kw_only=True)
class ExecuteTargets:
    """What is known of where records are, asked for when it is not."""

    _board: Blackboard
    _describer: Describer
    _views: ViewCache
    _rng: random.Random
    _leaving: LeavingServers

    def find(
        self,
        request: ExecuteRequest,
        deadline_at_ms: float,
    ) -> Result[tuple[ExecuteTarget, ...], Failure]:
        """List the servers that hold the record of a request, best first.

        Args:
            request: the request.
            deadline_at_ms: reading of the clock until which homes are asked.
        """
        front = self._board.front(request.front)
        if front is None:
            detail = f'there is no front {request.front!r}'
            return Failed(not_run(FailureCode.UNKNOWN_FRONT, detail))
        self._describer.learn(request.front, front, deadline_at_ms)
        servers = servers_for_record(
            front,
            self._views.known(request.front),
            request.key,
            self._board.local.data_centre,
            self._rng,
        )
        staying = self._leaving.without(servers)
        if servers and not staying:
            detail = 'every server of the record is leaving'
            return Failed(not_run(FailureCode.DRAINING, detail, _RETRY_MS))
        return Success(tuple(_target(named) for named in staying))

    def forget(self, request: ExecuteRequest) -> None:
        """Ask anew, as the servers that were named do not hold the record."""
        self._views.keep_only(request.front, ())

    def note_leaving(self, target: ExecuteTarget) -> None:
        """Leave a server out for a while, as it refuses as draining."""
        self._leaving.note(f'{target.host}:{target.port}')


def execute_targets(
    board: Blackboard,
    clock: Clock,
    home: Home,
) -> ExecuteTargets:
    """Build the search for servers, which asks homes and knows none yet."""
    health = peer_health(clock)
    views = ViewCache()
    calls = HomeCalls(
        local_name=board.local.name,
        local=home,
        peers=PeerClient(),
        health=health,
        doubted=board.doubted,
    )
    describer = Describer(
        board=board,
        calls=calls,
        health=health,
        views=views,
        clock=clock,
    )
    return ExecuteTargets(
        board=board,
        describer=describer,
        views=views,
        rng=random.Random(),
        leaving=leaving_servers(clock),
    )


def _target(named: NamedServer) -> ExecuteTarget:
    place = address(named.server.address)
    return ExecuteTarget(name=named.name, host=place.host, port=place.port)

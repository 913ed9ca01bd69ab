"""Puts a daemon together that serves routes."""

import random
from typing import Final

from fennelfork import (
    Clock,
    Member,
    MemberStatus,
    StopPolicy,
    system_clock,
    wall_clock,
)
from fennelfork.routes import (
    DispatchParts,
    Distances,
    Paces,
    Selector,
    allowances,
)
from fennelfork_daemon._in_progress import InProgress
from fennelfork_daemon._log_budget import DecisionLog, decision_log
from fennelfork_daemon._logs import state_log
from fennelfork_daemon._stop_service import StopService, stop_service
from fennelfork_daemon.routes._apply import FactTaker
from fennelfork_daemon.routes._board import RouteBoard, route_board
from fennelfork_daemon.routes._caller_calls import CallParts
from fennelfork_daemon.routes._entries import ENTRY_TTL_MS, RouteEntries
from fennelfork_daemon.routes._face import RouteFace
from fennelfork_daemon.routes._follower import StoreFollower
from fennelfork_daemon.routes._pools import ServerPools
from fennelfork_daemon.routes._ports import Ports
from fennelfork_daemon.routes._registration import Registration
from fennelfork_daemon.routes._service import RouteService
from fennelfork_daemon.routes._settings import RouteSettings
from fennelfork_daemon.routes._telling import RequestTelling, StoreTelling

# Some callers keep an entry answer three times as long as it says.
_TTL_FACTOR: Final = 3
# Telling the store takes some ms; while it is away, others notice by the lease.
_ANNOUNCE_MS: Final = 700.0
# Before the process would be killed, so that it ends by itself.
_STOP_MARGIN_MS: Final = 500.0


def route_service(settings: RouteSettings, ports: Ports) -> RouteService:
    """Build a daemon that serves routes on a platform.

    Args:
        settings: of the daemon.
        ports: the adapter to the platform.
    """
    clock = system_clock()
    rng = random.Random()
    log = decision_log(clock, daemon=settings.name)
    board = route_board(_local(settings), clock, settings.repeats.window_ms)
    pools = ServerPools(clock=clock, shares=board.shares)
    follower = _follower(board, clock, pools, ports, log)
    registration = Registration(
        store=ports.store,
        board=board,
        least_lease_ms=settings.least_lease_ms,
        on_miss=follower.missed,
    )
    in_progress = InProgress()
    return RouteService(
        board=board,
        entries=RouteEntries(board=board, rng=rng),
        settings=settings,
        face=_face(settings, board, clock, pools, ports, log),
        follower=follower,
        registration=registration,
        pools=pools,
        stop=_stop(settings, clock, registration, in_progress),
        in_progress=in_progress,
        log=log,
    )


def _local(settings: RouteSettings) -> Member:
    return Member(
        name=settings.name,
        incarnation=int(wall_clock().now_ms()),
        state=MemberStatus.ALIVE,
        region=settings.region,
        data_centre=settings.data_centre,
        caller=str(settings.caller),
        operator='',
        peer='',
        config_version=1,
    )


def _follower(
    board: RouteBoard,
    clock: Clock,
    pools: ServerPools,
    ports: Ports,
    log: DecisionLog,
) -> StoreFollower:
    telling = StoreTelling(log=log)
    return StoreFollower(
        store=ports.store,
        board=board,
        clock=clock,
        taker=FactTaker(board=board, telling=telling, pools=pools),
        telling=telling,
        rng=random.Random(),
    )


def _face(
    settings: RouteSettings,
    board: RouteBoard,
    clock: Clock,
    pools: ServerPools,
    ports: Ports,
    log: DecisionLog,
) -> RouteFace:
    rng = random.Random()
    selector = Selector(
        roster=board.roster,
        states=board.states,
        distances=Distances(
            data_centre=settings.data_centre,
            region_of=settings.region_of,
        ),
        shares=board.shares,
        clock=clock,
        rng=rng,
    )
    return RouteFace(
        board=board,
        clock=clock,
        codec=ports.callers,
        calls=CallParts(
            clock=clock,
            pools=pools,
            selector=selector,
            codec=ports.backends,
        ),
        dispatch_parts=DispatchParts(
            selector=selector,
            allowances=allowances(settings.repeats, clock, board.fleet),
        ),
        paces=Paces(),
        rng=rng,
        telling=RequestTelling(log=log, clock=clock),
    )


def _stop(
    settings: RouteSettings,
    clock: Clock,
    registration: Registration,
    in_progress: InProgress,
) -> StopService:
    policy = StopPolicy(
        entry_ttl_ms=_TTL_FACTOR * ENTRY_TTL_MS,
        stop_ms=settings.stop_ms - _STOP_MARGIN_MS,
        announce_ms=_ANNOUNCE_MS,
    )
    log = state_log(daemon=settings.name)
    return stop_service(policy, clock, registration, in_progress, log)

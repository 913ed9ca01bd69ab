"""The blackboard of one stand-in server: what its parts read and write."""

import random

import attrs

from fennelfork import Clock, wall_clock
from fennelfork_bench.backend_server._faults import (
    FaultPlan,
    HealthFault,
    fault_plan,
)
from fennelfork_bench.backend_server._log import EventLog, event_log
from fennelfork_bench.backend_server._service_time import (
    ServiceTimes,
    service_times,
)
from fennelfork_bench.backend_server._settings import (
    ServerSettings,
    first_range,
)
from fennelfork_bench.backend_server._slots import Slots
from fennelfork_bench.backend_server._snapshots import Holdings, first_holdings


@attrs.define(kw_only=True)
class ServerState:
    """All state of one stand-in server.

    Attributes:
        settings: what it was told at its start.
        clock: its time.
        holdings: snapshots and ranges it holds.
        slots: what runs.
        log: what happened.
        faults: faults of single requests.
        times: service times.
        health_fault: how health and load mislead.
        draining: whether it refuses new work.
        frozen_until_ms: when it stops standing still.
        connections: how many connections are open.
        connections_peak: how many were open at once at most.
        connections_refused: how many were closed for the limit.
        executed: how often each action of a key ran.
    """

    settings: ServerSettings
    clock: Clock
    holdings: Holdings
    slots: Slots
    log: EventLog
    faults: FaultPlan
    times: ServiceTimes
    health_fault: HealthFault
    draining: bool = False
    frozen_until_ms: float = 0
    connections: int = 0
    connections_peak: int = 0
    connections_refused: int = 0
    executed: dict[tuple[int, str], int] = attrs.field(factory=dict)


def server_state(settings: ServerSettings, clock: Clock) -> ServerState:
    """Build the state of a server that starts now.

    Raises:
        ValueError: if the settings name no valid range.
    """
    return ServerState(
        settings=settings,
        clock=clock,
        holdings=first_holdings(settings.snapshot, first_range(settings)),
        slots=Slots(size=settings.slots),
        log=event_log(wall_clock(), settings.log_limit),
        faults=fault_plan(random.Random(f'faults {settings.seed}')),
        times=service_times(settings, clock.now_ms()),
        health_fault=HealthFault(lag_ms=settings.health_lag_ms),
    )

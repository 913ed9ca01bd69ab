"""Shared mutable state of one stand-in server."""

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
    initial_range,
)
from fennelfork_bench.backend_server._slots import Slots
from fennelfork_bench.backend_server._snapshots import (
    SnapshotStore,
    initial_snapshots,
)


@attrs.define(kw_only=True)
class ServerState:
    """All state of one stand-in server.

    Attributes:
        settings: settings of the server.
        clock: monotonic clock of the server.
        snapshots: snapshots and key ranges that the server holds.
        slots: slots and running requests.
        log: log of events.
        faults: faults that affect individual requests.
        times: service times.
        health_fault: errors in the health and load responses.
        draining: whether the server refuses new requests.
        frozen_until_ms: end of the current freeze.
        connections: number of open connections.
        connections_peak: highest number of simultaneously open connections.
        connections_refused: number of connections closed because of the
            limit.
        executed: number of executions by key and action.
    """

    settings: ServerSettings
    clock: Clock
    snapshots: SnapshotStore
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
    """Build the state of a new server.

    Raises:
        ValueError: if the settings contain an invalid key range.
    """
    return ServerState(
        settings=settings,
        clock=clock,
        snapshots=initial_snapshots(settings.snapshot, initial_range(settings)),
        slots=Slots(size=settings.slots),
        log=event_log(wall_clock(), settings.log_limit),
        faults=fault_plan(random.Random(f'faults {settings.seed}')),
        times=service_times(settings, clock.now_ms()),
        health_fault=HealthFault(lag_ms=settings.health_lag_ms),
    )

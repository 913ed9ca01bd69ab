"""Responses of the health and load endpoints, with injected errors."""

from typing import Final

import attrs

from fennelfork_bench.backend_server._messages import Health, Load
from fennelfork_bench.backend_server._state import ServerState

_MULTI_SEARCH_CAPABILITIES: Final = ('multi_search',)


@attrs.define(kw_only=True)
class ReportedStatus:
    """Reported health and load of a server.

    An injected health fault changes or delays the reported values.
    """

    _state: ServerState
    _health: Health
    _load: Load
    _read_ms: float

    def health(self) -> Health:
        """Return the response of the health endpoint."""
        self._refresh()
        fault = self._state.health_fault
        reported = self._health
        return attrs.evolve(
            reported,
            state=fault.state or reported.state,
            busy=reported.busy if fault.busy is None else fault.busy,
            now_ms=self._state.clock.now_ms(),
        )

    def load(self) -> Load:
        """Return the response of the load endpoint."""
        self._refresh()
        fault = self._state.health_fault
        reported = self._load
        return attrs.evolve(
            reported,
            busy=reported.busy if fault.busy is None else fault.busy,
        )

    def _refresh(self) -> None:
        now_ms = self._state.clock.now_ms()
        if now_ms - self._read_ms < self._state.health_fault.lag_ms:
            return
        self._read_ms = now_ms
        self._health = build_actual_health(self._state)
        self._load = build_actual_load(self._state)


def reported_status(state: ServerState) -> ReportedStatus:
    """Build the reported status of a new server."""
    return ReportedStatus(
        state=state,
        health=build_actual_health(state),
        load=build_actual_load(state),
        read_ms=state.clock.now_ms(),
    )


def build_actual_health(state: ServerState) -> Health:
    """Return the actual health of a server."""
    return Health(
        state=_state_name(state),
        snapshots=state.snapshots.held_snapshots,
        slots=state.slots.size,
        busy=state.slots.busy,
        now_ms=state.clock.now_ms(),
        capabilities=_MULTI_SEARCH_CAPABILITIES
        if state.settings.multi_search
        else (),
    )


def build_actual_load(state: ServerState) -> Load:
    """Return the actual load of a server."""
    return Load(
        slots=state.slots.size,
        busy=state.slots.busy,
        connections=state.connections,
    )


def _state_name(state: ServerState) -> str:
    if state.draining:
        return 'draining'
    if state.times.is_cold(state.clock.now_ms()):
        return 'cold'
    return 'serving'

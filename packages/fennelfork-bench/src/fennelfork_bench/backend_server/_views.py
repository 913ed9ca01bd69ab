"""What the health and load endpoints say: old, false or true."""

from typing import Final

import attrs

from fennelfork_bench.backend_server._messages import Health, Load
from fennelfork_bench.backend_server._state import ServerState

_MULTI: Final = ('multi_search',)


@attrs.define(kw_only=True)
class Views:
    """Health and load of a server, as old as its fault allows."""

    _state: ServerState
    _health: Health
    _load: Load
    _read_ms: float

    def health(self) -> Health:
        """Give the health endpoint's answer."""
        self._refresh()
        fault = self._state.health_fault
        told = self._health
        return attrs.evolve(
            told,
            state=fault.state or told.state,
            busy=told.busy if fault.busy is None else fault.busy,
            now_ms=self._state.clock.now_ms(),
        )

    def load(self) -> Load:
        """Give the load endpoint's answer."""
        self._refresh()
        fault = self._state.health_fault
        told = self._load
        return attrs.evolve(
            told,
            busy=told.busy if fault.busy is None else fault.busy,
        )

    def _refresh(self) -> None:
        now_ms = self._state.clock.now_ms()
        if now_ms - self._read_ms < self._state.health_fault.lag_ms:
            return
        self._read_ms = now_ms
        self._health = true_health(self._state)
        self._load = true_load(self._state)


def views(state: ServerState) -> Views:
    """Build the views of a server that starts now."""
    return Views(
        state=state,
        health=true_health(state),
        load=true_load(state),
        read_ms=state.clock.now_ms(),
    )


def true_health(state: ServerState) -> Health:
    """Give the true health of a server."""
    return Health(
        state=_state_name(state),
        snapshots=state.holdings.held,
        slots=state.slots.size,
        busy=state.slots.busy,
        now_ms=state.clock.now_ms(),
        capabilities=_MULTI if state.settings.multi_search else (),
    )


def true_load(state: ServerState) -> Load:
    """Give the true load of a server."""
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

"""Simulated service times of the stand-in."""

import random
from collections.abc import Iterable

import attrs

from fennelfork_bench.backend_server._faults import (
    FaultKind,
    FaultRule,
    find_fault,
)
from fennelfork_bench.backend_server._settings import ServerSettings


@attrs.frozen(kw_only=True)
class ServiceTimes:
    """Draws service times from the distribution in the settings."""

    _settings: ServerSettings
    _randomness: random.Random
    _started_ms: float

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the server is still warming up."""
        return now_ms - self._started_ms < self._settings.cold_ms

    def draw_ms(self, now_ms: float, faults: Iterable[FaultRule]) -> float:
        """Draw the service time of a request that starts now."""
        settings = self._settings
        service_ms = self._randomness.gammavariate(
            settings.shape,
            settings.mean_ms / settings.shape,
        )
        if self._randomness.random() < settings.straggle:
            service_ms *= settings.straggle_factor
        if self.is_cold(now_ms):
            service_ms *= settings.cold_factor
        fault = find_fault(faults, FaultKind.STRAGGLE)
        return service_ms * fault.factor if fault else service_ms


def service_times(
    settings: ServerSettings,
    started_ms: float,
) -> ServiceTimes:
    """Build the service times of a new server."""
    return ServiceTimes(
        settings=settings,
        randomness=random.Random(settings.seed),
        started_ms=started_ms,
    )

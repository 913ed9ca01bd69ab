"""Timers of suspect members and of the removal of dead ones."""

import attrs


@attrs.define(kw_only=True)
class SuspicionTimers:
    """Timers of suspect and dead members by name."""

    _suspect_until_ms: dict[str, float] = attrs.field(factory=dict)
    _dead_since_ms: dict[str, float] = attrs.field(factory=dict)

    def start_suspicion(self, name: str, dead_at_ms: float) -> None:
        """Start the timer of a suspect member unless one is running."""
        self._suspect_until_ms.setdefault(name, dead_at_ms)

    def record_death(self, name: str, now_ms: float) -> None:
        """Record the death of the member `name`."""
        self._suspect_until_ms.pop(name, None)
        self._dead_since_ms[name] = now_ms

    def clear(self, name: str) -> None:
        """Stop all timers of the member `name`."""
        self._suspect_until_ms.pop(name, None)
        self._dead_since_ms.pop(name, None)

    def take_expired_suspects(self, now_ms: float) -> list[str]:
        """Remove and return the suspects with an expired timer."""
        return _take_expired(self._suspect_until_ms, now_ms)

    def take_expired_dead(self, died_before_ms: float) -> list[str]:
        """Remove and return the members that died by `died_before_ms`."""
        return _take_expired(self._dead_since_ms, died_before_ms)

    def extend_suspicions(self, by_ms: float) -> None:
        """Extend the timers of all suspects."""
        for name in self._suspect_until_ms:
            self._suspect_until_ms[name] += by_ms


def _take_expired(expiries_ms: dict[str, float], now_ms: float) -> list[str]:
    expired = [name for name, at_ms in expiries_ms.items() if at_ms <= now_ms]
    for name in expired:
        expiries_ms.pop(name)
    return expired

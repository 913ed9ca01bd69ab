"""When a suspect is held for dead, and when the dead are forgotten."""

import attrs


@attrs.define(kw_only=True)
class SuspicionTimers:
    """The times that run for suspect and dead members, by name."""

    _suspect_until_ms: dict[str, float] = attrs.field(factory=dict)
    _dead_since_ms: dict[str, float] = attrs.field(factory=dict)

    def start_suspicion(self, name: str, dead_at_ms: float) -> None:
        """Hold `name` for dead at `dead_at_ms`, or earlier if so before."""
        self._suspect_until_ms.setdefault(name, dead_at_ms)

    def record_death(self, name: str, now_ms: float) -> None:
        """Note that `name` is held for dead from now on."""
        self._suspect_until_ms.pop(name, None)
        self._dead_since_ms[name] = now_ms

    def clear(self, name: str) -> None:
        """Note that `name` is well."""
        self._suspect_until_ms.pop(name, None)
        self._dead_since_ms.pop(name, None)

    def take_expired_suspects(self, now_ms: float) -> list[str]:
        """Give the suspects whose time is over, and stop their timers."""
        return _take_expired(self._suspect_until_ms, now_ms)

    def take_expired_dead(self, died_before_ms: float) -> list[str]:
        """Give the members dead since `died_before_ms`, and drop them."""
        return _take_expired(self._dead_since_ms, died_before_ms)

    def extend_suspicions(self, by_ms: float) -> None:
        """Give all suspects more time."""
        for name in self._suspect_until_ms:
            self._suspect_until_ms[name] += by_ms


def _take_expired(expiries_ms: dict[str, float], now_ms: float) -> list[str]:
    expired = [name for name, at_ms in expiries_ms.items() if at_ms <= now_ms]
    for name in expired:
        expiries_ms.pop(name)
    return expired

"""When a suspect is held for dead, and when the dead are forgotten."""

import attrs


@attrs.define(kw_only=True)
class SuspicionTimers:
    """The times that run for suspect and dead members, by name."""

    _dead_at: dict[str, float] = attrs.field(factory=dict)
    _died_at: dict[str, float] = attrs.field(factory=dict)

    def suspect(self, name: str, dead_at_ms: float) -> None:
        """Hold `name` for dead at `dead_at_ms`, or earlier if so before."""
        self._dead_at.setdefault(name, dead_at_ms)

    def bury(self, name: str, now_ms: float) -> None:
        """Note that `name` is held for dead from now on."""
        self._dead_at.pop(name, None)
        self._died_at[name] = now_ms

    def clear(self, name: str) -> None:
        """Note that `name` is well."""
        self._dead_at.pop(name, None)
        self._died_at.pop(name, None)

    def take_dead(self, now_ms: float) -> list[str]:
        """Give the suspects whose time is over, and stop their timers."""
        return _take_due(self._dead_at, now_ms)

    def take_forgotten(self, died_before_ms: float) -> list[str]:
        """Give the members dead since `died_before_ms`, and drop them."""
        return _take_due(self._died_at, died_before_ms)

    def excuse(self, by_ms: float) -> None:
        """Give all suspects more time."""
        for name in self._dead_at:
            self._dead_at[name] += by_ms


def _take_due(times: dict[str, float], now_ms: float) -> list[str]:
    due = [name for name, at_ms in times.items() if at_ms <= now_ms]
    for name in due:
        times.pop(name)
    return due

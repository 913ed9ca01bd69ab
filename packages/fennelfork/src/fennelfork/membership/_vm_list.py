"""Schedule of reads of the platform's VM list."""

import random
from typing import Final

import attrs

_ALONE_INTERVAL_MS: Final = 500
_WATCHING_INTERVAL_MS: Final = 5000
_IDLE_INTERVAL_MS: Final = 300_000
_MAX_BACKOFF_MS: Final = 30_000
_MIN_JITTER_SHARE: Final = 0.5


@attrs.define(kw_only=True)
class VmListSchedule:
    """Intervals between reads of the VM list, with jitter and backoff.

    The list provides seeds and may lag behind. A daemon that knows no other
    member reads the list often, a watcher of its data centre sometimes, the
    other daemons rarely. The load on the platform thus grows with the number
    of data centres.

    Attributes:
        failures: number of failed reads since the last successful one.
    """

    failures: int = 0
    _rng: random.Random

    def record_read(self, *, succeeded: bool) -> None:
        """Record whether a read of the VM list succeeded."""
        self.failures = 0 if succeeded else self.failures + 1

    def wait_ms(self, *, is_alone: bool, is_watching: bool) -> float:
        """Return a random wait between half of an upper bound and the bound.

        Args:
            is_alone: whether the daemon knows no other member.
            is_watching: whether the daemon watches the platform for its data
                centre.
        """
        bound_ms: float = (
            _WATCHING_INTERVAL_MS if is_watching else _IDLE_INTERVAL_MS
        )
        if is_alone:
            bound_ms = _ALONE_INTERVAL_MS
        backoff_ms = min(bound_ms * 2**self.failures, _MAX_BACKOFF_MS)
        bound_ms = max(bound_ms, backoff_ms)
        return self._rng.uniform(bound_ms * _MIN_JITTER_SHARE, bound_ms)

"""When to read the platform's lagging VM list."""

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
    """Spaces out the reads of the VM list.

    The list is a seed and a hint. A daemon that knows no other reads it
    often, a watcher of its data centre now and then, the rest rarely, so that
    the platform's calls grow with data centres. Failures back off.

    Attributes:
        failures: reads that failed since the last that did not.
    """

    failures: int = 0
    _rng: random.Random

    def record_read(self, *, succeeded: bool) -> None:
        """Take in how a read ended."""
        self.failures = 0 if succeeded else self.failures + 1

    def wait_ms(self, *, is_alone: bool, is_watching: bool) -> float:
        """Give how long to wait, at random from half of the bound upwards.

        Args:
            alone: whether this daemon knows no other.
            watching: whether it watches the platform for its data centre.
        """
        bound_ms: float = (
            _WATCHING_INTERVAL_MS if is_watching else _IDLE_INTERVAL_MS
        )
        if is_alone:
            bound_ms = _ALONE_INTERVAL_MS
        backoff_ms = min(bound_ms * 2**self.failures, _MAX_BACKOFF_MS)
        bound_ms = max(bound_ms, backoff_ms)
        return self._rng.uniform(bound_ms * _MIN_JITTER_SHARE, bound_ms)

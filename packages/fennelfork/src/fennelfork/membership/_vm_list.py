"""When to read the platform's lagging VM list."""

import random
from typing import Final

import attrs

_ALONE_MS: Final = 500
_WATCHING_MS: Final = 5000
_RESTING_MS: Final = 300_000
_LONGEST_BACKOFF_MS: Final = 30_000
_LEAST_SHARE: Final = 0.5


@attrs.define(kw_only=True)
class ListSchedule:
    """Spaces out the reads of the VM list.

    The list is a seed and a hint. A daemon that knows no other reads it
    often, a watcher of its data centre now and then, the rest rarely, so that
    the platform's calls grow with data centres. Failures back off.

    Attributes:
        failures: reads that failed since the last that did not.
    """

    failures: int = 0
    _rng: random.Random

    def note(self, *, succeeded: bool) -> None:
        """Take in how a read ended."""
        self.failures = 0 if succeeded else self.failures + 1

    def wait_ms(self, *, alone: bool, watching: bool) -> float:
        """Give how long to wait, at random from half of the bound upwards.

        Args:
            alone: whether this daemon knows no other.
            watching: whether it watches the platform for its data centre.
        """
        bound_ms: float = _WATCHING_MS if watching else _RESTING_MS
        if alone:
            bound_ms = _ALONE_MS
        backed_off = min(bound_ms * 2**self.failures, _LONGEST_BACKOFF_MS)
        bound_ms = max(bound_ms, backed_off)
        return self._rng.uniform(bound_ms * _LEAST_SHARE, bound_ms)

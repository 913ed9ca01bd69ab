"""Local health score, which lengthens the timeouts of a slow daemon."""

from typing import Final

import attrs

_MAX_SCORE: Final = 8


@attrs.define(kw_only=True)
class LocalHealth:
    """Score that multiplies the probe timeouts of the local daemon.

    A daemon that is itself slow sees late acknowledgements from healthy
    members. The longer timeouts avoid false suspicions.
    """

    score: int = 0

    @property
    def timeout_factor(self) -> int:
        """Multiplier of probe timeouts; 1 for a healthy daemon."""
        return 1 + self.score

    def improve(self) -> None:
        """Record that a probe was acknowledged in time."""
        self.score = max(0, self.score - 1)

    def degrade(self) -> None:
        """Record a sign that the local daemon is slow or disconnected."""
        self.score = min(_MAX_SCORE, self.score + 1)

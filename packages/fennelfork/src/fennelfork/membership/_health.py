"""How far this daemon trusts its own timing."""

from typing import Final

import attrs

_MAX_SCORE: Final = 8


@attrs.define(kw_only=True)
class LocalHealth:
    """A score that stretches this daemon's own timeouts.

    A daemon that is itself slow sees others as late. Each sign of that makes
    it wait longer before it accuses anyone; each answer in time heals it.
    """

    score: int = 0

    @property
    def timeout_factor(self) -> int:
        """By how much timeouts are to be multiplied, one when healthy."""
        return 1 + self.score

    def improve(self) -> None:
        """Count an answer in time."""
        self.score = max(0, self.score - 1)

    def degrade(self) -> None:
        """Count a sign that this daemon is slow or cut off."""
        self.score = min(_MAX_SCORE, self.score + 1)

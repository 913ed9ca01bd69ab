"""A budget of extra work that only ordinary work refills."""

from typing import Final

import attrs

_WHOLE_TOKEN: Final = 1.0
# Sums of fractions such as twenty times 0.05 fall short by rounding.
_ROUNDING: Final = 1e-9


@attrs.define(kw_only=True)
class Budget:
    """Tokens for extra runs; time alone brings none back.

    Attributes:
        ratio: tokens that one ordinary run brings.
        limit: the most tokens that can be saved.
    """

    ratio: float
    limit: float
    _tokens: float

    @property
    def tokens(self) -> float:
        """How many extra runs could be paid for."""
        return self._tokens

    def deposit(self) -> None:
        """Note one ordinary run."""
        self._tokens = min(self.limit, self._tokens + self.ratio)

    def withdraw(self) -> bool:
        """Pay for one extra run, if there is a whole token."""
        if self._tokens + _ROUNDING < _WHOLE_TOKEN:
            return False
        self._tokens -= _WHOLE_TOKEN
        return True


def budget(ratio: float, limit: float, initial: float = 0) -> Budget:
    """Build a budget.

    Args:
        ratio: tokens that one ordinary run brings, at least 0.
        limit: the most tokens that can be saved.
        initial: tokens to begin with.

    Raises:
        ValueError: if `ratio` is negative or `initial` is above `limit`.
    """
    if ratio < 0 or initial > limit:
        raise ValueError(f'not a budget: {ratio} a run, {initial} of {limit}')
    return Budget(ratio=ratio, limit=limit, tokens=initial)

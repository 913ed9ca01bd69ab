"""Token bucket for extra attempts that is refilled by regular work."""

from typing import Final

import attrs

_WHOLE_TOKEN: Final = 1.0
# Tolerance for the rounding error of repeated deposits.
_ROUNDING: Final = 1e-9


@attrs.define(kw_only=True)
class Budget:
    """Tokens that pay for extra attempts; elapsed time adds no tokens.

    Attributes:
        ratio: number of tokens added by one deposit.
        limit: maximum number of tokens in the budget.
    """

    ratio: float
    limit: float
    _tokens: float

    @property
    def tokens(self) -> float:
        """Number of tokens in the budget."""
        return self._tokens

    def deposit(self) -> None:
        """Add `ratio` tokens, up to `limit`."""
        self._tokens = min(self.limit, self._tokens + self.ratio)

    def withdraw(self) -> bool:
        """Remove one token, and return whether one was available."""
        if self._tokens + _ROUNDING < _WHOLE_TOKEN:
            return False
        self._tokens -= _WHOLE_TOKEN
        return True


def budget(ratio: float, limit: float, initial: float = 0) -> Budget:
    """Create a budget for extra attempts.

    Args:
        ratio: number of tokens added by one deposit, at least 0.
        limit: maximum number of tokens in the budget.
        initial: initial number of tokens.

    Raises:
        ValueError: if `ratio` is negative or `initial` is above `limit`.
    """
    if ratio < 0 or initial > limit:
        raise ValueError(
            f'invalid budget: ratio {ratio} must not be negative, and initial '
            f'{initial} must not exceed limit {limit}',
        )
    return Budget(ratio=ratio, limit=limit, tokens=initial)

"""Proof that the registration of this daemon has not expired."""

from typing import Final

import attrs

from fennelfork import Clock
from fennelfork.workspaces import Registered

# Part of the lease for which a renewal certainly holds, as clocks may differ.
_CONFIRMED_RATIO: Final = 0.95


@attrs.define(kw_only=True)
class LeaseProof:
    """Times of the lease of the current registration."""

    _clock: Clock
    _ttl_ms: float = 0
    _since_ms: float | None = None
    _confirmed_ms: float = 0

    @property
    def since_ms(self) -> float | None:
        """Time from which the lease exists, or None without a lease."""
        return self._since_ms

    @property
    def confirmed_ms(self) -> float:
        """Latest time at which the lease was certainly valid."""
        return self._confirmed_ms

    @property
    def registered(self) -> Registered:
        """Whether the lease has certainly not expired, and its start."""
        age_ms = self._clock.now_ms() - self._confirmed_ms
        return Registered(
            since_ms=self._since_ms,
            is_confirmed=age_ms < self._ttl_ms * _CONFIRMED_RATIO,
        )

    def record_granted(
        self, sent_ms: float, ttl_ms: float, *, held_ms: float = 0
    ) -> None:
        """Record that this daemon is registered.

        Args:
            sent_ms: time at which the lease was requested.
            ttl_ms: length of the lease.
            held_ms: time for which an earlier process of this daemon has been
                registered under the lease.
        """
        self._ttl_ms = ttl_ms
        self._since_ms = self._clock.now_ms() - held_ms
        self._confirmed_ms = sent_ms

    def record_renewed(self, sent_ms: float) -> None:
        """Record a renewal that was requested at a time."""
        self._confirmed_ms = sent_ms

    def record_lost(self) -> None:
        """Record that the lease has expired or is given up."""
        self._since_ms = None

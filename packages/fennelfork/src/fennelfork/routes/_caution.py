"""Which copies of a request wait until another one has been answered.

A request that crashes whatever runs it ends a server with each copy. Once one
copy has broken off, or the request is known to have ended servers before, only
one further server is risked at a time: if it answers, all other copies may go
out, and if it ends too, none does.
"""

from collections.abc import Iterable
from typing import Any

import attrs

from fennelfork.routes._leg import Leg
from fennelfork.routes._send import Send


@attrs.define(kw_only=True)
class Caution:
    """The state of one request.

    Attributes:
        suspected: whether the request is known to have ended servers.
        wary: whether copies are risked one at a time now.
    """

    suspected: bool
    wary: bool
    _risked: set[int] = attrs.field(factory=set)
    _held: list[Leg[Any]] = attrs.field(factory=list)

    @property
    def at_risk(self) -> bool:
        """Whether a copy is out on whose end the others wait."""
        return bool(self._risked)

    def risks_any(self, attempts: Iterable[int]) -> bool:
        """Tell whether one of some copies is out on whose end others wait."""
        return not self._risked.isdisjoint(attempts)

    def note_sent(self, sends: Iterable[Send]) -> None:
        """Note copies that go out; the others wait for those sent alone."""
        self._risked.update(send.attempt for send in sends if send.alone)

    def hold(self, leg: Leg[Any]) -> None:
        """Let a leg wait."""
        self._held.append(leg)

    def take_held(self) -> list[Leg[Any]]:
        """Give the legs that wait, which do not any more."""
        held = list(self._held)
        self._held.clear()
        return held

    def is_cleared_by(self, attempt: int) -> bool:
        """Note that a copy was answered; tell if all others may go out.

        One that nothing was held against is cleared by any answer: it does not
        end whatever runs it.
        """
        cleared = self.wary and (not self.suspected or attempt in self._risked)
        self._risked.discard(attempt)
        if cleared:
            self.wary = False
            self.suspected = False
            self._risked.clear()
        return cleared

    def is_lost_by(self, attempt: int, *, broken_off: bool) -> bool:
        """Note that a copy failed; tell if no other one may go out.

        Args:
            attempt: which copy.
            broken_off: whether its server may have ended.
        """
        was_risked = attempt in self._risked
        self._risked.discard(attempt)
        self.wary = self.wary or broken_off
        return was_risked and broken_off


def caution(*, suspected: bool) -> Caution:
    """Build the state of a request that nothing was sent for yet."""
    return Caution(suspected=suspected, wary=suspected)

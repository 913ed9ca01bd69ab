"""Tickets in entry answers."""

from typing import Any

import attrs

from fennelfork import Blackboard
from fennelfork.once import OnceGate


@attrs.frozen(kw_only=True)
class TicketIssuer:
    """Issues the tickets of this incarnation.

    Their lifetime is that of the entry answer, so that a daemon that stops
    gracefully outlives every ticket it gave out.
    """

    _gate: OnceGate
    _board: Blackboard
    _lifetime_ms: int

    def ticket_fields(self) -> dict[str, Any]:
        """Give the members that an entry answer carries for its ticket.

        All are none when this daemon is leaving: another one has to be asked.
        """
        ticket = self._gate.issue(self._lifetime_ms)
        if ticket is None:
            return {
                'ticket': None,
                'ticket_serial': None,
                'ticket_address': None,
                'ticket_ms': None,
            }
        return {
            'ticket': ticket.text,
            'ticket_serial': ticket.serial,
            'ticket_address': self._board.local.caller,
            'ticket_ms': self._lifetime_ms,
        }

    def stop(self) -> None:
        """Issue no more tickets; requests under issued ones go on."""
        self._gate.stop_issuing()

"""Issuer of the tickets in entry answers."""

from typing import Any

import attrs

from fennelfork import Blackboard
from fennelfork.once import OnceGate


@attrs.frozen(kw_only=True)
class TicketIssuer:
    """Issues the tickets of this incarnation of the daemon.

    The lifetime of a ticket equals that of the entry answer, so a daemon that
    stops gracefully runs until all of its tickets have expired.
    """

    _gate: OnceGate
    _blackboard: Blackboard
    _lifetime_ms: int

    def ticket_fields(self) -> dict[str, Any]:
        """Return the ticket fields of an entry answer.

        All fields are none after `stop`; callers then ask another daemon.
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
            'ticket_address': self._blackboard.local.caller,
            'ticket_ms': self._lifetime_ms,
        }

    def stop(self) -> None:
        """Stop issuing tickets; requests with issued tickets continue."""
        self._gate.stop_issuing()

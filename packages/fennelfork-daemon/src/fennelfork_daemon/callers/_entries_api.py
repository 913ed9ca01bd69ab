"""Caller API for discovery: the daemons that a caller should use."""

import random
from typing import Any, Final

import attrs

from fennelfork import Blackboard, choose_entries
from fennelfork.membership import Member
from fennelfork_daemon.execute._ticket_issuer import TicketIssuer
from fennelfork_daemon.http._router import (
    HttpReply,
    HttpRequest,
    Route,
    json_reply,
)

_MAX_ENTRIES: Final = 3


@attrs.frozen(kw_only=True)
class EntriesApi:
    """Serves the addresses of suitable daemons to callers."""

    _blackboard: Blackboard
    _rng: random.Random
    _ttl_ms: int
    _issuer: TicketIssuer

    @property
    def routes(self) -> tuple[Route, ...]:
        """HTTP routes of the entry requests."""
        return (Route(method='GET', path='/v1/entries', handler=self.entries),)

    def entries(self, request: HttpRequest) -> HttpReply:
        """Return the nearest daemons and a ticket of this daemon."""
        local = self._blackboard.local
        chosen = choose_entries(
            request.options.get('region', local.region),
            request.options.get('data_centre', local.data_centre),
            self._blackboard.members.values(),
            _MAX_ENTRIES,
            request.options.get('caller', ''),
            self._rng,
        )
        return json_reply(
            {
                'entries': [_serialise_entry(member) for member in chosen],
                'ttl_ms': self._ttl_ms,
                **self._issuer.ticket_fields(),
                'config_version': self._blackboard.config_version,
            },
        )


def _serialise_entry(member: Member) -> dict[str, Any]:
    return {
        'address': member.caller,
        'daemon': member.name,
        'data_centre': member.data_centre,
    }

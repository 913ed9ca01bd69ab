"""Which daemons a caller is told to use."""

import random
from typing import Final

import attrs

from fennelfork import nearest_entries
from fennelfork_daemon.routes._board import RouteBoard

# The most addresses of one answer that callers look at.
_MAX_ADDRESSES: Final = 64
# Callers keep an answer this long and some three times as long: a stopping
# daemon serves until then, and has to be done within its stop.
ENTRY_TTL_MS: Final = 1000


@attrs.frozen(kw_only=True)
class EntryAsk:
    """Where the caller is; empty where it did not say."""

    region: str
    data_centre: str


@attrs.frozen(kw_only=True)
class EntryAnswer:
    """Addresses to use, in no order, and for how long."""

    addresses: tuple[str, ...]
    ttl_ms: int


@attrs.frozen(kw_only=True)
class RouteEntries:
    """Answers callers that ask where to connect."""

    _board: RouteBoard
    _rng: random.Random

    def answer(self, query: EntryAsk) -> EntryAnswer | None:
        """Name the nearest daemons; none if no daemon is known as ready."""
        members = dict(self._board.members.entries)
        members.pop(self._board.local.name, None)
        if self._board.is_ready:
            members[self._board.local.name] = self._board.local
        chosen = nearest_entries(
            query.region,
            query.data_centre,
            members.values(),
            _MAX_ADDRESSES,
            self._rng,
        )
        if not chosen:
            return None
        return EntryAnswer(
            addresses=tuple(member.caller for member in chosen),
            ttl_ms=ENTRY_TTL_MS,
        )

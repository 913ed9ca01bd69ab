"""Selection of the daemons that a caller connects to."""

import random
from typing import Final

import attrs

from fennelfork import nearest_entries
from fennelfork_daemon.routes._blackboard import RouteBlackboard

# Maximum number of addresses that callers read from an answer.
_MAX_ADDRESSES: Final = 64
# Validity of an answer. A stopping daemon serves until the answers that name
# it have expired.
ENTRY_TTL_MS: Final = 1000


@attrs.frozen(kw_only=True)
class EntryQuery:
    """Location of a caller; unknown parts are empty."""

    region: str
    data_centre: str


@attrs.frozen(kw_only=True)
class EntryAnswer:
    """Addresses of daemons in random order, and their validity."""

    addresses: tuple[str, ...]
    ttl_ms: int


@attrs.frozen(kw_only=True)
class RouteEntries:
    """Selects the daemons that a caller connects to."""

    _blackboard: RouteBlackboard
    _rng: random.Random

    def answer(self, query: EntryQuery) -> EntryAnswer | None:
        """Return the nearest daemons, or None if no daemon is ready."""
        members = dict(self._blackboard.members.entries)
        members.pop(self._blackboard.local.name, None)
        if self._blackboard.is_ready:
            members[self._blackboard.local.name] = self._blackboard.local
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

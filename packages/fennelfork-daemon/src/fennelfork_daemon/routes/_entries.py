"""Selection of the daemons that a caller connects to."""

import random
from typing import Final

import attrs

from fennelfork import nearest_entries
from fennelfork.membership import Member
from fennelfork_daemon.routes._blackboard import RouteBlackboard

# Maximum number of addresses that callers read from an answer.
_MAX_ADDRESSES: Final = 64
# Validity of an answer. A stopping daemon serves until the answers that name
# it have expired.
ENTRY_TTL_MS: Final = 1000


@attrs.frozen(kw_only=True)
class EntryQuery:
    """Location of a caller and the host of its requests.

    Unknown parts are empty.
    """

    region: str
    data_centre: str
    host: str = ''


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
            self._near_or_at_home(query, tuple(members.values())),
            _MAX_ADDRESSES,
            self._rng,
        )
        if not chosen:
            return None
        return EntryAnswer(
            addresses=tuple(member.caller for member in chosen),
            ttl_ms=ENTRY_TTL_MS,
        )

    def _near_or_at_home(
        self, query: EntryQuery, members: tuple[Member, ...]
    ) -> tuple[Member, ...]:
        """Return the daemons in the region of the caller or a home region.

        Without such a daemon, all daemons are returned, as each can forward
        requests to servers in the home regions.
        """
        table = self._blackboard.table
        home_regions = table and table.home_regions_of_host(query.host)
        if home_regions is None:
            return members
        regions = home_regions | {query.region}
        serving = tuple(
            member for member in members if member.region in regions
        )
        return serving or members

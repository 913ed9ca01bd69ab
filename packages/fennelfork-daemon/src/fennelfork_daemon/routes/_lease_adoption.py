"""Continuation of the registration of the earlier process of a daemon.

After a loss of all daemons, one renewal by each is cheaper than a new lease and
a new entry, and other daemons receive no updates.
"""

from typing import Final

import attrs

from fennelfork.membership import Member
from fennelfork_daemon.routes._blackboard import RouteBlackboard

# Time between the start of a process and its registration.
_MAX_REGISTRATION_MS: Final = 3000.0


@attrs.define(kw_only=True)
class LeaseAdoption:
    """Decides whether this daemon uses the lease of its earlier process.

    Attributes:
        is_active: whether the entry of the earlier process is in use.
    """

    is_active: bool = False
    _blackboard: RouteBlackboard
    _has_ended: bool = False

    @property
    def candidate(self) -> int | None:
        """The lease to try, or None if a new lease is needed."""
        lease = self._blackboard.entry_lease
        return None if self._has_ended or not lease else lease

    @property
    def entry(self) -> Member | None:
        """The entry of the earlier process, as of this process.

        Without workspaces the incarnation is not compared: only quotas of
        workspaces depend on the process that an entry names.
        """
        own_entry = self._blackboard.own_entry
        if own_entry is None:
            return None
        if self._blackboard.has_workspaces:
            return own_entry.member
        incarnation = self._blackboard.local.incarnation
        return attrs.evolve(own_entry.member, incarnation=incarnation)

    @property
    def held_ms(self) -> float:
        """Time for which the earlier process has certainly been registered.

        The incarnations are the times at which the processes started.
        """
        own_entry = self._blackboard.own_entry
        if own_entry is None:
            return 0
        earlier_ms = own_entry.member.incarnation
        ran_ms = self._blackboard.local.incarnation - earlier_ms
        return max(0, ran_ms - _MAX_REGISTRATION_MS)

    def record(self, *, is_valid: bool) -> None:
        """Record whether the lease of the earlier process was renewed."""
        self.is_active = is_valid
        self._has_ended = True

    def needs_entry(self, lease: int) -> bool:
        """Whether the entry was replaced or removed after a stale listing.

        Args:
            lease: lease of the earlier process that this daemon uses.
        """
        return self.is_active and self._blackboard.entry_lease != lease

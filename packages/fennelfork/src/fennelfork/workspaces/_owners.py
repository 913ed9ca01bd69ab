"""Ownership of workspaces: one daemon grants the permits of a workspace."""

from collections.abc import Callable, Iterable
from typing import Final

import attrs
import xxhash

from fennelfork._clock import Clock
from fennelfork.membership import Member, capable_members

# Candidates are computed again after this time.
_MAX_CANDIDATE_AGE_MS: Final = 200.0


@attrs.frozen(kw_only=True)
class Registered:
    """Registration of this daemon in the store.

    Attributes:
        since_ms: time from which the lease of the registration exists, or None
            without a lease.
        is_confirmed: whether the lease has certainly not expired.
    """

    since_ms: float | None = None
    is_confirmed: bool = False


@attrs.define(kw_only=True)
class Owners:
    """Finds the owner of each workspace and whether this daemon may grant.

    At most one daemon may grant permits of a workspace at a time. A daemon
    grants only while its lease is valid, its lease is older than the maximum age
    of a view of the members, and its view is not older than that. If two daemons
    granted at the same time, the view of the lower-ranked one would contain the
    other, whose entry has been in the store for longer than the age of the view.
    """

    _local: Member
    _members: Callable[[], Iterable[Member]]
    _registered: Callable[[], Registered]
    _view_age_ms: Callable[[], float]
    _max_age_ms: float
    _clock: Clock
    _candidates: dict[str, Member] = attrs.field(factory=dict)
    _computed_ms: float | None = None
    _changed_ms: float = 0

    def owner_of(self, workspace: str) -> Member | None:
        """Return the owner of a workspace, if any daemon is registered."""
        self._refresh()
        return max(
            self._candidates.values(),
            key=lambda member: (_weight(workspace, member.name), member.name),
            default=None,
        )

    def is_registered(self, name: str, incarnation: int) -> bool:
        """Whether a process of a daemon is registered.

        A restart of a daemon is known by its registration, because the wall
        clock that its incarnation is taken from may have been set back.
        """
        return any(
            member.name == name and member.incarnation == incarnation
            for member in self._members()
        )

    def tenure_ms(self, workspace: str) -> float | None:
        """Return since when this daemon owns a workspace, or None."""
        owner = self.owner_of(workspace)
        since_ms = self._registered().since_ms
        if owner is None or since_ms is None:
            return None
        if owner.name != self._local.name:
            return None
        return max(self._changed_ms, since_ms + self._trial_ms)

    @property
    def may_grant(self) -> bool:
        """Whether this daemon may grant permits of workspaces that it owns."""
        registered = self._registered()
        if registered.since_ms is None or not registered.is_confirmed:
            return False
        age_ms = self._clock.now_ms() - registered.since_ms
        if self._view_age_ms() > self._max_age_ms or age_ms < self._trial_ms:
            return False
        return self.is_registered(self._local.name, self._local.incarnation)

    @property
    def _trial_ms(self) -> float:
        """Time after which all views of other daemons contain this daemon."""
        return self._max_age_ms + _MAX_CANDIDATE_AGE_MS

    def _refresh(self) -> None:
        now_ms = self._clock.now_ms()
        if (
            self._computed_ms is not None
            and now_ms - self._computed_ms < _MAX_CANDIDATE_AGE_MS
        ):
            return
        self._computed_ms = now_ms
        found = self._find_candidates()
        if found.keys() != self._candidates.keys():
            self._changed_ms = now_ms
        self._candidates = found

    def _find_candidates(self) -> dict[str, Member]:
        known = {member.name: member for member in self._members()}
        known.pop(self._local.name, None)
        if self._registered().since_ms is not None:
            known[self._local.name] = self._local
        reachable = [member for member in known.values() if member.peer]
        return {member.name: member for member in capable_members(reachable)}


def _weight(workspace: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f'quota\0{workspace}\0{name}'.encode())

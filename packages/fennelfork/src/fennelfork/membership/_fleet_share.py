"""Share of a daemon in the limits of the whole fleet.

The shares that daemons use within any window add up to at most 1, whatever each
of them knows of the fleet: of two daemons that use a share within a window of
each other, each has counted the other.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final, Protocol

import attrs
import xxhash

from fennelfork._clock import Clock
from fennelfork.membership._member import Member

# Weight of a daemon whose processor capacity is unknown, in cores.
_MIN_WEIGHT: Final = 0.1
# Maximum number of cached ranks. A change of the counted daemons empties the
# cache too.
_MAX_RANKS: Final = 4096


class LeaseTimes(Protocol):
    """Times of the lease under which this daemon is registered."""

    @property
    def since_ms(self) -> float | None:
        """Time from which the registration exists, or None without one."""

    @property
    def confirmed_ms(self) -> float:
        """Latest time at which the lease was certainly valid."""


@attrs.frozen(kw_only=True)
class SharePolicy:
    """Times that bound what the daemons of a fleet know of each other.

    Attributes:
        window_ms: length of the longest window of a limit.
        max_age_ms: maximum age of the view and of the lease of a daemon that
            uses its share.
    """

    window_ms: float
    max_age_ms: float

    @property
    def max_gap_ms(self) -> float:
        """Maximum time between two states of the store that a daemon follows."""
        return max(self.window_ms, self.max_age_ms)

    @property
    def settle_ms(self) -> float:
        """Time for which a daemon is registered before it uses its share."""
        return self.max_gap_ms + self.max_age_ms

    @property
    def hold_ms(self) -> float:
        """Time for which a daemon that has left still counts.

        At least the settling time; a daemon that comes back soon finds its
        share unused while it settles.
        """
        return 2 * self.settle_ms


@attrs.frozen(kw_only=True)
class _DepartedWeight:
    """Weight of a daemon that a view contained until a point in time."""

    name: str
    weight: float
    until_ms: float


@attrs.define(kw_only=True)
class FleetShare:
    """Divides the weight of this daemon by those of the fleet.

    Attributes:
        policy: times that bound what the daemons know of each other.
    """

    policy: SharePolicy
    _clock: Clock
    _local: Member
    _lease: LeaseTimes
    _view: dict[str, float] = attrs.field(factory=dict)
    _departed: list[_DepartedWeight] = attrs.field(factory=list)
    _viewed_ms: float = -math.inf
    _followed_since_ms: float = math.inf
    _weights: dict[str, float] = attrs.field(factory=dict)
    _ranks: dict[str, int] = attrs.field(factory=dict)
    _share_of_weights: float = 0

    @property
    def share(self) -> float:
        """Share that this daemon may use now, from 0 to 1.

        The share is 0 while the daemon cannot know that all others count it,
        or that it counts all others.
        """
        return self.nominal_share if self.is_usable else 0

    @property
    def nominal_share(self) -> float:
        """Share by the latest view, whether or not it is usable now."""
        return self._share_of_weights

    @property
    def is_usable(self) -> bool:
        """Whether all others count this daemon, and this daemon all others."""
        since_ms = self._lease.since_ms
        if since_ms is None:
            return False
        now_ms = self._clock.now_ms()
        oldest_ms = min(self._viewed_ms, self._lease.confirmed_ms)
        settled_ms = max(self._followed_since_ms, since_ms)
        return (
            now_ms - oldest_ms <= self.policy.max_age_ms
            and now_ms - settled_ms >= self.policy.settle_ms
        )

    def units_of(self, total: float, key: str) -> int:
        """Return how many of a number of whole units this daemon may use.

        The daemons take the units in turn, in an order that differs from key to
        key, the most capable ones first. The units that daemons use within any
        window add up to at most the total, as counting more daemons never
        raises the number of units of a daemon.

        Args:
            total: number of units of the whole fleet.
            key: name of the workspace or backend server with the limit.
        """
        if not self.is_usable:
            return 0
        left = int(total) - self._rank_for(key)
        return max(0, math.ceil(left / self._counted))

    def record_view(self, members: Iterable[Member], age_ms: float = 0) -> None:
        """Record the registered daemons.

        Args:
            members: registered daemons, with or without this daemon.
            age_ms: time since the store had exactly these entries, infinite if
                unknown.
        """
        now_ms = self._clock.now_ms()
        viewed_ms = max(self._viewed_ms, now_ms - age_ms)
        if self._viewed_ms < viewed_ms - self.policy.max_gap_ms:
            # Daemons may have joined, used a share and left unseen.
            self._followed_since_ms = now_ms
        self._viewed_ms = viewed_ms
        view = {one.name: _weight(one) for one in members}
        if self._departed or view != self._view or not self._weights:
            self._replace_view(view, now_ms)
            self._count_weights()

    @property
    def _counted(self) -> int:
        """Number of daemons that the weights are divided among."""
        return max(1, len(self._weights))

    def _rank_for(self, key: str) -> int:
        """Return how many daemons take a unit of a key before this one."""
        rank = self._ranks.get(key)
        if rank is None:
            own_place = _place(key, self._local.name, _weight(self._local))
            rank = sum(
                _place(key, name, weight) < own_place
                for name, weight in self._weights.items()
                if name != self._local.name
            )
            if len(self._ranks) >= _MAX_RANKS:
                self._ranks.clear()
            self._ranks[key] = rank
        return rank

    def _replace_view(self, view: Mapping[str, float], now_ms: float) -> None:
        """Replace the view; daemons that left count for the hold time."""
        oldest_ms = now_ms - self.policy.hold_ms
        kept = [one for one in self._departed if one.until_ms >= oldest_ms]
        kept.extend(
            _DepartedWeight(name=name, weight=weight, until_ms=now_ms)
            for name, weight in self._view.items()
            if view.get(name) != weight
        )
        self._departed = kept
        self._view = dict(view)

    def _count_weights(self) -> None:
        """Combine the view with the daemons that left within the hold time."""
        own_weight = _weight(self._local)
        own_entry = self._view.get(self._local.name, 0)
        weights = self._view | {self._local.name: max(own_weight, own_entry)}
        for departed in self._departed:
            known = weights.get(departed.name, 0)
            weights[departed.name] = max(known, departed.weight)
        if weights != self._weights:
            self._weights = weights
            self._ranks.clear()
            self._share_of_weights = own_weight / sum(weights.values())


def _weight(member: Member) -> float:
    """Return the weight of a daemon, which depends on its entry alone.

    A weight that depended on the other entries would differ from view to view.
    """
    return max(_MIN_WEIGHT, member.processor_cores)


def _place(key: str, name: str, weight: float) -> tuple[float, int, str]:
    """Return the place of a daemon in the order for a key; low ones first."""
    digest = xxhash.xxh64_intdigest(f'units\0{key}\0{name}'.encode())
    return (-weight, digest, name)

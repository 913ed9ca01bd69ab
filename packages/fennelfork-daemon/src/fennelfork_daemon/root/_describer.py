"""Requests for shard views that are missing from the cache of a root daemon."""

from typing import Final

import attrs
import eventlet

from fennelfork import Blackboard, Clock
from fennelfork.config import Front
from fennelfork.home import HomeGroup, group_shards_by_home, homes_of
from fennelfork.placement import PeerHealth
from fennelfork_daemon.home._client import HomeClient
from fennelfork_daemon.root._view_cache import ViewCache

_TIMEOUT_SHARE: Final = 0.5
_MAX_TIMEOUT_MS: Final = 1000
_MAX_ROUNDS: Final = 2


@attrs.define(kw_only=True)
class ShardDescriber:
    """Fills the view cache from the home daemons before a query runs."""

    _blackboard: Blackboard
    _homes: HomeClient
    _health: PeerHealth
    _views: ViewCache
    _clock: Clock

    def describe_unknown(
        self, name: str, front: Front, deadline_at_ms: float
    ) -> None:
        """Request missing views from the home daemons, then from fallbacks.

        Args:
            name: name of the front.
            front: configuration of the front.
            deadline_at_ms: clock reading of the deadline, in milliseconds.
        """
        self._views.retain_shards(name, front.shards)
        unresponsive = self._health.avoided
        for _ in range(_MAX_ROUNDS):
            unknown_shards = self._views.unknown_shards(name, front.shards)
            groups = group_shards_by_home(
                self._blackboard, name, unknown_shards, unresponsive
            )
            if not groups:
                return
            self._describe_groups(name, groups, deadline_at_ms)
            unresponsive |= homes_of(groups)

    def refresh(
        self, front: str, shards: frozenset[str], deadline_at_ms: float
    ) -> None:
        """Replace views, and remove those that no home daemon replaced.

        Concurrent queries use the former views until they are replaced.

        Args:
            front: name of the front.
            shards: shards whose views are outdated.
            deadline_at_ms: clock reading of the deadline, in milliseconds.
        """
        outdated = {
            view.shard: view
            for view in self._views.for_front(front)
            if view.shard in shards
        }
        groups = group_shards_by_home(
            self._blackboard, front, frozenset(outdated), self._health.avoided
        )
        self._describe_groups(front, groups, deadline_at_ms)
        not_replaced = [
            view.shard
            for view in self._views.for_front(front)
            if outdated.get(view.shard) is view
        ]
        self._views.discard(front, not_replaced)

    def _describe_groups(
        self,
        front: str,
        groups: tuple[HomeGroup, ...],
        deadline_at_ms: float,
    ) -> None:
        remaining_ms = deadline_at_ms - self._clock.now_ms()
        timeout_ms = min(remaining_ms * _TIMEOUT_SHARE, _MAX_TIMEOUT_MS)
        pool = eventlet.GreenPool(len(groups))
        for group in groups:
            pool.spawn_n(self._describe_group, front, group, timeout_ms)
        pool.waitall()

    def _describe_group(
        self,
        front: str,
        group: HomeGroup,
        timeout_ms: float,
    ) -> None:
        views = self._homes.describe(
            group.home,
            front,
            group.shards,
            timeout_ms,
        )
        views.map(lambda described: self._views.update(front, described))

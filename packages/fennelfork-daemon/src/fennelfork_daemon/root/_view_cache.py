"""Cache of the snapshots that each shard holds, for root daemons.

Home daemons attach the views to each reply, so no polling is needed. The home
daemon of a shard without a cached view is asked to describe the shard.
"""

from collections.abc import Iterable

import attrs

from fennelfork.gather import ShardView


@attrs.define(kw_only=True)
class ViewCache:
    """Cache of shard views by front and shard."""

    _views: dict[str, dict[str, ShardView]] = attrs.field(factory=dict)

    def for_front(self, front: str) -> tuple[ShardView, ...]:
        """Return the cached views of a front."""
        return tuple(self._views.get(front, {}).values())

    def unknown_shards(
        self, front: str, shards: Iterable[str]
    ) -> frozenset[str]:
        """Return the shards without a cached view."""
        return frozenset(shards) - self._views.get(front, {}).keys()

    def update(self, front: str, views: Iterable[ShardView]) -> None:
        """Replace the views of the shards named in `views`.

        A shard without snapshots is removed, so that its home daemon is asked
        to describe the shard again.
        """
        held = self._views.setdefault(front, {})
        for view in views:
            if view.snapshots:
                held[view.shard] = view
            else:
                held.pop(view.shard, None)

    def discard(self, front: str, shards: Iterable[str]) -> None:
        """Remove the views of some shards of a front."""
        held = self._views.get(front, {})
        for shard in shards:
            held.pop(shard, None)

    def retain_shards(self, front: str, shards: Iterable[str]) -> None:
        """Remove the views of all other shards of a front."""
        held = self._views.get(front, {})
        for removed in held.keys() - set(shards):
            held.pop(removed)

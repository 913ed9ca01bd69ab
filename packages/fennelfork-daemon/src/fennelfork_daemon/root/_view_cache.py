"""What a root knows of the snapshots that each shard holds.

Nothing is polled: homes send the views along with each answer, so the cost
follows the queries. A shard not yet known is described by its home.
"""

from collections.abc import Iterable

import attrs

from fennelfork.gather import ShardView


@attrs.define(kw_only=True)
class ViewCache:
    """Views by front and shard."""

    _views: dict[str, dict[str, ShardView]] = attrs.field(factory=dict)

    def for_front(self, front: str) -> tuple[ShardView, ...]:
        """Give the views of a front."""
        return tuple(self._views.get(front, {}).values())

    def unknown_shards(
        self, front: str, shards: Iterable[str]
    ) -> frozenset[str]:
        """Give those of `shards` that no view is held of."""
        return frozenset(shards) - self._views.get(front, {}).keys()

    def update(self, front: str, views: Iterable[ShardView]) -> None:
        """Replace the views of the shards named in `views`.

        A shard that holds nothing is forgotten, so that it is asked again.
        """
        held = self._views.setdefault(front, {})
        for view in views:
            if view.snapshots:
                held[view.shard] = view
            else:
                held.pop(view.shard, None)

    def retain_shards(self, front: str, shards: Iterable[str]) -> None:
        """Forget shards that are no longer configured."""
        held = self._views.get(front, {})
        for removed in held.keys() - set(shards):
            held.pop(removed)

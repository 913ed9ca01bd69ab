"""Age of the shard views that exclude draining servers."""

from collections.abc import Iterable
from typing import Final

import attrs

from fennelfork import Clock
from fennelfork.gather import ShardView

# Queries replace the views; without queries, the home daemon is asked again.
_MAX_AGE_MS: Final = 1000.0


@attrs.frozen(kw_only=True)
class _UsedView:
    view: ShardView
    since_ms: float


@attrs.define(kw_only=True)
class ViewAges:
    """Finds views with refusals that have not been replaced for some time."""

    _clock: Clock
    _used_views: dict[tuple[str, str], _UsedView] = attrs.field(factory=dict)

    def find_outdated(
        self, front: str, views: Iterable[ShardView]
    ) -> frozenset[str]:
        """Return the shards whose home daemons have to be asked again.

        Args:
            front: name of the front.
            views: cached views of the front.
        """
        now_ms = self._clock.now_ms()
        outdated = set()
        for view in views:
            key = (front, view.shard)
            if not view.refusing_servers:
                self._used_views.pop(key, None)
                continue
            used = self._used_views.get(key)
            if used is None or used.view is not view:
                self._used_views[key] = _UsedView(view=view, since_ms=now_ms)
            elif now_ms - used.since_ms > _MAX_AGE_MS:
                outdated.add(view.shard)
        return frozenset(outdated)

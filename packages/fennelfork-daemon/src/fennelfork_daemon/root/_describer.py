"""Has the homes describe shards that a root knows nothing of."""

from typing import Final

import attrs
import eventlet

from fennelfork import Blackboard, Clock
from fennelfork.config import Front
from fennelfork.home import HomeGroup, homes_of, route_homes
from fennelfork.placement import PeerHealth
from fennelfork_daemon.home._calls import HomeCalls
from fennelfork_daemon.root._view_cache import ViewCache

_SHARE: Final = 0.5
_LONGEST_MS: Final = 1000
_MOST_ROUNDS: Final = 2


@attrs.define(kw_only=True)
class Describer:
    """Fills the view cache before a query needs it."""

    _board: Blackboard
    _calls: HomeCalls
    _health: PeerHealth
    _views: ViewCache
    _clock: Clock

    def learn(self, name: str, front: Front, deadline_at_ms: float) -> None:
        """Ask the homes of unknown shards, then the next homes.

        Args:
            name: the front.
            front: its settings.
            deadline_at_ms: reading of the clock that ends the asking.
        """
        self._views.keep_only(name, front.shards)
        silent = self._health.avoided
        for _ in range(_MOST_ROUNDS):
            unknown = self._views.unknown(name, front.shards)
            groups = route_homes(self._board, name, unknown, silent)
            if not groups:
                return
            self._ask(name, groups, deadline_at_ms)
            silent |= homes_of(groups)

    def _ask(
        self,
        front: str,
        groups: tuple[HomeGroup, ...],
        deadline_at_ms: float,
    ) -> None:
        left_ms = deadline_at_ms - self._clock.now_ms()
        timeout_ms = min(left_ms * _SHARE, _LONGEST_MS)
        pool = eventlet.GreenPool(len(groups))
        for group in groups:
            pool.spawn_n(self._ask_home, front, group, timeout_ms)
        pool.waitall()

    def _ask_home(
        self,
        front: str,
        group: HomeGroup,
        timeout_ms: float,
    ) -> None:
        views = self._calls.describe(
            group.home,
            front,
            group.shards,
            timeout_ms,
        )
        views.map(lambda described: self._views.learn(front, described))

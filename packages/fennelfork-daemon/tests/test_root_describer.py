"""Replacement of the cached views of shards."""

import attrs
import pytest
from daemon_builders_answers import blackboard_with_shards
from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import Failure, FailureCode, not_run, system_clock
from fennelfork.gather import ShardView, SnapshotView, key_range
from fennelfork.membership import Member
from fennelfork.placement import peer_health
from fennelfork_daemon.root._describer import ShardDescriber
from fennelfork_daemon.root._view_cache import ViewCache

_FRONT = 'raft'
_SHARDS = frozenset(('high', 'low'))
_TIMEOUT_MS = 1000


def _view(shard: str, version: int) -> ShardView:
    snapshot = SnapshotView(version=version, ranges=(key_range(0, 10),))
    return ShardView(shard=shard, snapshots=(snapshot,))


@attrs.define(kw_only=True)
class _FakeHomes:
    """Client whose home daemons describe shards, or do not respond.

    Attributes:
        views: cache that the client observes while a call is in progress.
        responds: whether the home daemons respond.
        known_during_calls: number of cached views at the time of each call.
    """

    views: ViewCache
    responds: bool = True
    known_during_calls: list[int] = attrs.field(factory=list)

    def describe(
        self,
        home: Member,
        front: str,
        shards: frozenset[str],
        timeout_ms: float,
    ) -> Result[tuple[ShardView, ...], Failure]:
        """Return views of a newer snapshot."""
        self.known_during_calls.append(len(self.views.for_front(front)))
        if not self.responds:
            return Bad(not_run(FailureCode.UNREACHABLE, 'no response'))
        return Success(tuple(_view(shard, 2) for shard in shards))


@pytest.fixture
def homes() -> _FakeHomes:
    """Return a client with cached views of both shards."""
    views = ViewCache()
    views.update(_FRONT, [_view(shard, 1) for shard in _SHARDS])
    return _FakeHomes(views=views)


def _refresh(homes: _FakeHomes, *shards: str) -> list[int]:
    """Refresh shards; return the versions of the views of all shards."""
    clock = system_clock()
    describer = ShardDescriber(
        blackboard=blackboard_with_shards(tuple(_SHARDS)),
        homes=homes,
        health=peer_health(clock),
        views=homes.views,
        clock=clock,
    )
    deadline_at_ms = clock.now_ms() + _TIMEOUT_MS
    describer.refresh(_FRONT, frozenset(shards), deadline_at_ms)
    views = homes.views.for_front(_FRONT)
    return sorted(view.snapshots[0].version for view in views)


class TestRefresh:
    """Guard against queries that meet a shard without a view."""

    def test_only_named_shards_are_replaced(self, homes: _FakeHomes) -> None:
        """The views of other shards stay."""
        assert _refresh(homes, 'low') == [1, 2]

    def test_former_views_stay_until_replaced(self, homes: _FakeHomes) -> None:
        """A query that runs during the refresh finds all views."""
        assert _refresh(homes, *_SHARDS) == [2, 2]
        assert set(homes.known_during_calls) == {len(_SHARDS)}

    def test_view_without_home_is_removed(self, homes: _FakeHomes) -> None:
        """Another daemon is asked for a shard whose home does not respond."""
        homes.responds = False
        assert _refresh(homes, 'low') == [1]

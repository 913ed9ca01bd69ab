"""Selection of a snapshot and its partition map."""

from collections import Counter

from core_builders_answers import shard, snapshot
from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful

from fennelfork import FailureCode, Verdict
from fennelfork.gather import (
    KeyRange,
    PartitionMap,
    ShardView,
    key_range,
    pin_snapshot,
)

_WHOLE = key_range(0, 30)
_BOUNDS = st.builds(
    lambda lo, width: (lo, lo + width),
    st.integers(0, 28),
    st.integers(1, 12),
)
_VIEWS = st.lists(
    st.builds(
        lambda name, versions: shard(
            f's{name}',
            *(snapshot(version, *held) for version, held in versions.items()),
        ),
        st.integers(0, 9),
        st.dictionaries(
            st.integers(1, 3),
            st.lists(_BOUNDS, max_size=3),
            max_size=3,
        ),
    ),
    max_size=5,
)


class TestPin:
    """Selected snapshot and assignments."""

    def test_selects_newest_complete_snapshot(self) -> None:
        """A repartition uses the old snapshot until the new one is complete."""
        moving = [
            shard('s0', snapshot(7, (0, 15)), snapshot(8, (0, 10))),
            shard('s1', snapshot(7, (15, 30))),
        ]
        assert pin_snapshot(moving, _WHOLE).unwrap().snapshot == 7
        moved = [*moving, shard('s2', snapshot(8, (10, 30)))]
        assert pin_snapshot(moved, _WHOLE).unwrap().snapshot == 8

    def test_selects_best_coverage(self) -> None:
        """Higher coverage is preferred, then the newer snapshot."""
        views = [
            shard('s0', snapshot(5, (0, 20)), snapshot(6, (5, 25))),
            shard('s1', snapshot(7, (0, 3))),
        ]
        assert pin_snapshot(views, _WHOLE).unwrap().snapshot == 6

    def test_excludes_lost_snapshot(self) -> None:
        """A rerun does not select the lost snapshot."""
        views = [shard('s0', snapshot(7, (0, 30)), snapshot(8, (0, 30)))]
        again = pin_snapshot(views, _WHOLE, exclude=frozenset((8,)))
        assert again.unwrap().snapshot == 7
        nothing = pin_snapshot(
            views, _WHOLE, exclude=frozenset((7, 8))
        ).failure()
        assert nothing.code is FailureCode.SNAPSHOT_GONE
        assert nothing.verdict is Verdict.NOT_RUN

    def test_fails_without_held_keys(self) -> None:
        """The failure is `NO_SERVER` when no shard holds a key."""
        assert pin_snapshot([], _WHOLE).failure().code is FailureCode.NO_SERVER

    @given(_VIEWS)
    def test_assigns_each_held_key_once(self, views: list) -> None:
        """Each key held at the selected snapshot is assigned exactly once."""
        pinned = pin_snapshot(views, _WHOLE)
        if not is_successful(pinned):
            return
        partition = pinned.unwrap()
        asked = Counter(
            key for part in partition.assignments for key in _keys(part.span)
        )
        ranges = [span for view in views for span in _ranges(view, partition)]
        held = {key for span in ranges for key in _keys(span)}
        assert asked == Counter(held & set(_keys(_WHOLE)))


def _keys(span: KeyRange) -> range:
    return range(span.lo, span.hi)


def _ranges(view: ShardView, partition: PartitionMap) -> list[KeyRange]:
    return [
        span
        for held_at in view.snapshots
        if held_at.version == partition.snapshot
        for span in held_at.ranges
    ]

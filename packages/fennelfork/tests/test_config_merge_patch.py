"""Tests of merge patches and tree differences."""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fennelfork.config import Change, merge_patch, tree_changes

# Cases of RFC 7396, appendix A: original, patch, result.
_RFC_CASES = (
    ({'a': 'b'}, {'a': 'c'}, {'a': 'c'}),
    ({'a': 'b'}, {'b': 'c'}, {'a': 'b', 'b': 'c'}),
    ({'a': 'b'}, {'a': None}, {}),
    ({'a': 'b', 'b': 'c'}, {'a': None}, {'b': 'c'}),
    ({'a': ['b']}, {'a': 'c'}, {'a': 'c'}),
    ({'a': 'c'}, {'a': ['b']}, {'a': ['b']}),
    ({'a': {'b': 'c'}}, {'a': {'b': 'd', 'c': None}}, {'a': {'b': 'd'}}),
    ({'a': [{'b': 'c'}]}, {'a': [1]}, {'a': [1]}),
    (['a', 'b'], ['c', 'd'], ['c', 'd']),
    ({'a': 'b'}, ['c'], ['c']),
    ({'a': 'foo'}, None, None),
    ({'a': 'foo'}, 'bar', 'bar'),
    ({'e': None}, {'a': 1}, {'e': None, 'a': 1}),
    ([1, 2], {'a': 'b', 'c': None}, {'a': 'b'}),
    ({}, {'a': {'bb': {'ccc': None}}}, {'a': {'bb': {}}}),
)

_TREES = st.recursive(
    st.integers(0, 3) | st.text('ab', max_size=1),
    lambda inner: st.dictionaries(st.sampled_from('abc'), inner, max_size=3),
    max_leaves=8,
)
_TABLES = st.dictionaries(st.sampled_from('abc'), _TREES, max_size=3)


class TestMergePatch:
    """Application of a merge patch."""

    @pytest.mark.parametrize(('target', 'patch', 'merged'), _RFC_CASES)
    def test_rfc_examples(
        self,
        target: Any,
        patch: Any,
        merged: Any,
    ) -> None:
        """Each example of RFC 7396 yields the documented result."""
        assert merge_patch(target, patch) == merged

    @given(_TABLES, _TABLES)
    def test_patch_is_idempotent(
        self,
        target: Any,
        patch: Any,
    ) -> None:
        """The second application of a patch changes nothing."""
        once = merge_patch(target, patch)
        assert merge_patch(once, patch) == once


class TestTreeChanges:
    """Differences between two JSON trees."""

    @given(_TABLES, _TABLES)
    def test_changes_are_empty_only_for_equal_trees(
        self,
        before: Any,
        after: Any,
    ) -> None:
        """Equal trees have no changes; different trees have at least one."""
        assert bool(tree_changes(before, after)) == (before != after)

    def test_reports_changed_leaves_with_both_values(self) -> None:
        """Only changed, added and removed leaves are reported."""
        before = {'a': {'x': 1, 'y': 2}, 'b': 3}
        after = {'a': {'x': 1, 'y': 4}, 'c': {'d': 5}}
        assert tree_changes(before, after) == (
            Change(path='a.y', before=2, after=4),
            Change(path='b', before=3, after=None),
            Change(path='c.d', before=None, after=5),
        )

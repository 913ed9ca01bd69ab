"""Reading a document again when most of it is known."""

import json
from typing import Any

import pytest
from core_builders_config import document_tree, servers_of
from hypothesis import given
from hypothesis import strategies as st

from fennelfork.config import (
    ParsedDocument,
    merge_patch,
    parse_document,
    parse_incrementally,
    parsed_document,
    render_document,
)

_VALUES = st.sampled_from([1, 2, 5, True, None, '', 1000, 1.0, {}])
_PATHS = st.sampled_from(
    [
        ('fronts', 'raft-search', 'keys'),
        ('fronts', 'raft-search', 'hedge', 'delay_ms'),
        ('fronts', 'raft-search', 'shards', 's0'),
        ('fronts', 'other'),
        ('fronts',),
        ('tenants', 'salvare', 'weight'),
        ('classes',),
        ('version',),
    ],
)


def _known() -> ParsedDocument:
    raw = json.dumps(document_tree())
    return parsed_document(parse_document(raw).unwrap())


def _patch(path: tuple[str, ...], value: Any) -> Any:
    for key in reversed(path):
        value = {key: value}
    return value


class TestParseAgain:
    """Whether what is known may change the outcome."""

    @given(st.lists(st.tuples(_PATHS, _VALUES), max_size=3))
    def test_agrees_with_reading_afresh(self, changes: list[Any]) -> None:
        """A known document changes neither documents nor faults found."""
        tree: Any = document_tree()
        for path, value in changes:
            tree = merge_patch(tree, _patch(path, value))
        raw = json.dumps(tree)
        again = parse_incrementally(raw, _known())
        fresh = parse_document(raw)
        documents = again.map(lambda known: known.document)
        texts = again.map(lambda known: known.text)
        assert documents == fresh
        assert texts == fresh.map(render_document)

    def test_unchanged_fronts_are_taken_over(self) -> None:
        """A front with the same text is not built again."""
        known = _known()
        tree = {**known.tree, 'version': 2, 'tenants': {}}
        again = parse_incrementally(json.dumps(tree), known).unwrap()
        fronts = again.document.fronts
        assert fronts['raft-search'] is known.document.fronts['raft-search']

    @pytest.mark.parametrize('connect_ms', [True, 1.0])
    def test_true_is_no_one(self, connect_ms: Any) -> None:
        """What only compares equal to a known value is still checked."""
        tree = document_tree()
        servers_of(tree)['raft-a']['connect_ms'] = 1
        document = parse_document(json.dumps(tree)).unwrap()
        servers_of(tree)['raft-a']['connect_ms'] = connect_ms
        again = parse_incrementally(json.dumps(tree), parsed_document(document))
        faults = again.failure()
        assert [fault.path.split('.')[-1] for fault in faults] == ['connect_ms']

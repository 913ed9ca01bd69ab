"""Tests of the incremental parsing of documents."""

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


def _previous() -> ParsedDocument:
    raw = json.dumps(document_tree())
    return parsed_document(parse_document(raw).unwrap())


def _patch(path: tuple[str, ...], value: Any) -> Any:
    for key in reversed(path):
        value = {key: value}
    return value


class TestParseIncrementally:
    """Parsing with a previous document."""

    @given(st.lists(st.tuples(_PATHS, _VALUES), max_size=3))
    def test_result_equals_a_full_parse(self, changes: list[Any]) -> None:
        """The previous document changes neither the document nor the problems."""
        tree: Any = document_tree()
        for path, value in changes:
            tree = merge_patch(tree, _patch(path, value))
        raw = json.dumps(tree)
        incremental = parse_incrementally(raw, _previous())
        full = parse_document(raw)
        documents = incremental.map(lambda previous: previous.document)
        texts = incremental.map(lambda previous: previous.text)
        assert documents == full
        assert texts == full.map(render_document)

    def test_unchanged_fronts_are_reused(self) -> None:
        """A front with the same JSON text is the same instance."""
        previous = _previous()
        tree = {**previous.tree, 'version': 2, 'tenants': {}}
        incremental = parse_incrementally(json.dumps(tree), previous).unwrap()
        fronts = incremental.document.fronts
        assert fronts['raft-search'] is previous.document.fronts['raft-search']

    @pytest.mark.parametrize('connect_ms', [True, 1.0])
    def test_equal_value_of_another_type_is_validated(
        self, connect_ms: Any
    ) -> None:
        """Guards against accepting true or 1.0 because both equal 1."""
        tree = document_tree()
        servers_of(tree)['raft-a']['connect_ms'] = 1
        document = parse_document(json.dumps(tree)).unwrap()
        servers_of(tree)['raft-a']['connect_ms'] = connect_ms
        incremental = parse_incrementally(
            json.dumps(tree), parsed_document(document)
        )
        problems = incremental.failure()
        assert [problem.path.split('.')[-1] for problem in problems] == [
            'connect_ms'
        ]

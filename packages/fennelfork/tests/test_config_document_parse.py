"""Tests of parsing and rendering of the configuration document."""

import json
from typing import Any

import pytest
from core_builders_config import document_tree, server_tree, servers_of
from returns.result import Success

from fennelfork.config import (
    HedgePolicyName,
    Problem,
    digest,
    parse_document,
    render_document,
)


def _problems(tree: Any) -> dict[str, Problem]:
    problems = parse_document(json.dumps(tree)).failure()
    return {problem.path: problem for problem in problems}


class TestParse:
    """Valid documents."""

    def test_parses_all_sections(self) -> None:
        """A valid document has typed values and defaults."""
        document = parse_document(json.dumps(document_tree(7))).unwrap()
        front = document.fronts['raft-search']
        assert document.version == 7
        assert front.hedge.policy is HedgePolicyName.QUANTILE
        servers = front.shards['s0'].servers
        assert servers['raft-a'].address == '127.0.0.1:9001'
        assert document.classes['counter'].weight == 4

    def test_rendered_document_parses_to_the_same_document(self) -> None:
        """Parsing and rendering are inverse, and rendering is deterministic."""
        document = parse_document(json.dumps(document_tree())).unwrap()
        raw = render_document(document)
        assert parse_document(raw) == Success(document)
        assert digest(render_document(parse_document(raw).unwrap())) == (
            digest(raw)
        )


class TestProblems:
    """Invalid documents."""

    def test_reports_all_problems_together(self) -> None:
        """Unknown, missing, mistyped and out-of-range values are reported."""
        tree = document_tree()
        front = tree['fronts']['raft-search']
        front['keys'] = '1000'
        front['hedge'] = {'policy': 'maybe', 'budget': 2, 'quantil': 0.9}
        servers_of(tree)['raft-a'].pop('slots')
        tree['classes']['counter']['weight'] = True
        tree['tenants']['no spaces'] = {'weight': 0}
        found = _problems(tree)
        assert sorted(found) == [
            'classes.counter.weight',
            'fronts.raft-search.hedge.budget',
            'fronts.raft-search.hedge.policy',
            'fronts.raft-search.hedge.quantil',
            'fronts.raft-search.keys',
            'fronts.raft-search.shards.s0.servers.raft-a.slots',
            'tenants.no spaces',
            'tenants.no spaces.weight',
        ]
        assert found['fronts.raft-search.hedge.policy'].allowed == (
            'one of "none", "fixed", "quantile"'
        )
        assert found['fronts.raft-search.hedge.quantil'].allowed == (
            'one of policy, quantile, delay_ms, budget'
        )
        assert 'from 1 to 10000' in (
            found['fronts.raft-search.shards.s0.servers.raft-a.slots'].allowed
        )

    @pytest.mark.parametrize(
        'address',
        ['', '127.0.0.1', '127.0.0.1:0', '127.0.0.1:70000', 'host:80', 9001],
    )
    def test_rejects_invalid_socket_addresses(
        self,
        address: Any,
    ) -> None:
        """An address consists of an IP address and a port."""
        tree = document_tree()
        servers_of(tree)['b'] = {**server_tree(), 'address': address}
        path = 'fronts.raft-search.shards.s0.servers.b.address'
        assert list(_problems(tree)) == [path]

    @pytest.mark.parametrize(
        ('tree', 'path'),
        [
            ([], ''),
            ({'fronts': []}, 'fronts'),
            ({'patches': {}}, 'patches'),
            ({'version': -1}, 'version'),
            ({'fronts': {'f': {'keys': 1, 'shards': {}}}}, 'fronts.f.shards'),
        ],
    )
    def test_rejects_wrong_json_types(self, tree: Any, path: str) -> None:
        """A wrong JSON type or an empty shard list is one problem."""
        assert list(_problems(tree)) == [path]

    @pytest.mark.parametrize('raw', ['', '{', '[' * 100_000, 'NaN'])
    def test_rejects_text_that_is_not_a_json_object(self, raw: str) -> None:
        """Invalid JSON is reported as a problem and raises no exception."""
        problems = parse_document(raw).failure()
        assert [problem.path for problem in problems] == ['']

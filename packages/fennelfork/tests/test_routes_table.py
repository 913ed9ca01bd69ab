"""Tests of the routes of requests, and of merged answers."""

import random

import pytest
from core_builders_routes import LIMITS, fan_out, route
from hypothesis import given
from hypothesis import strategies as st

from fennelfork.routes import (
    RECORD_BYTES,
    ServiceWeight,
    SingleService,
    WeightedServices,
    choose_services,
    largest_records,
    min_parts,
    route_table,
)

_WORDS = st.lists(st.sampled_from(['a', 'b', 'ab', '']), max_size=4)


def _prefix(words: list[str]) -> str:
    return '/'.join(['', *words, '']) if words else '/'


class TestRouteTable:
    """Requests take the route with the longest prefix of their host."""

    def test_longest_prefix(self) -> None:
        """A longer prefix takes precedence over a shorter one."""
        short = route(name='short', prefix='/rafts/')
        longer = route(name='long', prefix='/rafts/old/')
        table = route_table(1, [short, longer], [], LIMITS)
        assert table.find('rafts.example', '/rafts/old/7') is longer
        assert table.find('rafts.example', '/rafts/old') is short
        assert table.find('other.example', '/rafts/old/7') is None
        assert table.find('rafts.example', '/raft') is None

    @given(st.lists(_WORDS, max_size=6), _WORDS)
    def test_matches_linear_search(
        self,
        prefixes: list[list[str]],
        path_words: list[str],
    ) -> None:
        """The lookup finds the same route as a linear search."""
        routes = [
            route(name=_prefix(words), prefix=_prefix(words))
            for words in prefixes
        ]
        path = f'{_prefix(path_words)}x'
        begins = [one.prefix for one in routes if path.startswith(one.prefix)]
        found = route_table(1, routes, [], LIMITS).find('rafts.example', path)
        assert (found and found.prefix) == max(begins, key=len, default=None)


class TestTargets:
    """Services of a target, and required number of responses."""

    def test_weighted_services(self) -> None:
        """Services get requests in proportion to their weights."""
        weighted = WeightedServices(
            shares=(
                ServiceWeight(service='old', weight=1),
                ServiceWeight(service='new', weight=3),
            ),
        )
        rng = random.Random(3)
        chosen = [choose_services(weighted, rng)[0] for _ in range(4000)]
        assert chosen.count('new') == pytest.approx(3000, abs=150)

    @pytest.mark.parametrize(
        ('shards', 'least', 'parts'),
        [(10, 0.89, 9), (10, 0.9, 9), (100, 0.89, 89), (8, 0.75, 6), (3, 0, 1)],
    )
    def test_min_parts(self, shards: int, least: float, parts: int) -> None:
        """Rounding neither undercuts the coverage nor adds a response."""
        assert min_parts(fan_out(shards, least)) == parts

    def test_single_service(self) -> None:
        """A request to one service requires one response."""
        assert min_parts(SingleService(service='archive')) == 1


class TestGreatest:
    """Merge of the greatest records of all responses."""

    @given(st.lists(st.binary(max_size=80), max_size=5), st.integers(1, 9))
    def test_matches_sorting(self, parts: list[bytes], most: int) -> None:
        """Duplicates count, and an incomplete last record is ignored."""
        records = [
            part[start : start + RECORD_BYTES]
            for part in parts
            for start in range(0, len(part) // 16 * 16, 16)
        ]
        expected = b''.join(sorted(records, reverse=True)[:most])
        assert largest_records(parts, most) == expected

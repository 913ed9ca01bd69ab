"""Which route a request takes, and what a gathered answer holds."""

import random

import pytest
from core_builders_routes import LIMITS, gather, route
from hypothesis import given
from hypothesis import strategies as st

from fennelfork.routes import (
    RECORD_BYTES,
    Share,
    Single,
    Split,
    draw_services,
    greatest,
    least_parts,
    route_table,
)

_WORDS = st.lists(st.sampled_from(['a', 'b', 'ab', '']), max_size=4)


def _prefix(words: list[str]) -> str:
    return '/'.join(['', *words, '']) if words else '/'


class TestRouteTable:
    """The longest prefix of the host decides."""

    def test_longest_prefix(self) -> None:
        """A longer prefix goes before a shorter one."""
        short = route(name='short', prefix='/rafts/')
        longer = route(name='long', prefix='/rafts/old/')
        table = route_table(1, [short, longer], [], LIMITS)
        assert table.find('rafts.example', '/rafts/old/7') is longer
        assert table.find('rafts.example', '/rafts/old') is short
        assert table.find('other.example', '/rafts/old/7') is None
        assert table.find('rafts.example', '/raft') is None

    @given(st.lists(_WORDS, max_size=6), _WORDS)
    def test_agrees_with_comparing_all(
        self,
        prefixes: list[list[str]],
        path_words: list[str],
    ) -> None:
        """The search over slashes finds what a look at every route finds."""
        routes = [
            route(name=_prefix(words), prefix=_prefix(words))
            for words in prefixes
        ]
        path = f'{_prefix(path_words)}x'
        begins = [one.prefix for one in routes if path.startswith(one.prefix)]
        found = route_table(1, routes, [], LIMITS).find('rafts.example', path)
        assert (found and found.prefix) == max(begins, key=len, default=None)


class TestTargets:
    """Where requests go, and what a success needs."""

    def test_split_by_weight(self) -> None:
        """Services get requests in the proportion of their weights."""
        split = Split(
            shares=(
                Share(service='old', weight=1),
                Share(service='new', weight=3),
            ),
        )
        rng = random.Random(3)
        drawn = [draw_services(split, rng)[0] for _ in range(4000)]
        assert drawn.count('new') == pytest.approx(3000, abs=150)

    @pytest.mark.parametrize(
        ('shards', 'least', 'parts'),
        [(10, 0.89, 9), (10, 0.9, 9), (100, 0.89, 89), (8, 0.75, 6), (3, 0, 1)],
    )
    def test_least_parts(self, shards: int, least: float, parts: int) -> None:
        """The share is never undercut, and rounding adds no part."""
        assert least_parts(gather(shards, least)) == parts

    def test_one_service_needs_its_part(self) -> None:
        """A request to one service needs the one answer."""
        assert least_parts(Single(service='archive')) == 1


class TestGreatest:
    """The greatest records of all parts, byte by byte."""

    @given(st.lists(st.binary(max_size=80), max_size=5), st.integers(1, 9))
    def test_agrees_with_sorting(self, parts: list[bytes], most: int) -> None:
        """Equal records all count; a rest that is too short is none."""
        records = [
            part[start : start + RECORD_BYTES]
            for part in parts
            for start in range(0, len(part) // 16 * 16, 16)
        ]
        expected = b''.join(sorted(records, reverse=True)[:most])
        assert greatest(parts, most) == expected

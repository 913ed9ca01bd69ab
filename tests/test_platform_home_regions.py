"""Decoding of home regions of routes.

Guards against homes that are ignored, and against invalid homes that allow
every region.
"""

from typing import Any

import pytest
from platform_builders import config, item, route

from fennelfork import ManualTime, manual_clock
from fennelfork_daemon.routes import ConfigUpdate, InvalidEntry, StoreUpdate
from fennelfork_platform._items import read_item

_CLOCK = manual_clock(ManualTime(at_ms=1000))


def _read(*routes: dict[str, Any]) -> StoreUpdate:
    return read_item(item('op/config', config(*routes)), _CLOCK)


class TestHomeRegions:
    """Home regions in the configuration of the operators."""

    @pytest.mark.parametrize(
        ('fields', 'expected'),
        [
            ({}, None),
            ({'HomeRegions': []}, None),
            ({'HomeRegions': None}, None),
            ({'HomeRegions': ['delta']}, frozenset(('delta',))),
            (
                {'HomeRegions': ['delta', 'litoral']},
                frozenset(('delta', 'litoral')),
            ),
        ],
    )
    def test_regions(
        self, fields: dict[str, Any], expected: frozenset[str] | None
    ) -> None:
        """An empty or missing list allows every region."""
        update = _read(route(**fields))
        assert isinstance(update, ConfigUpdate)
        assert update.table.routes[0].home_regions == expected

    @pytest.mark.parametrize('regions', ['delta', [7], {'delta': 1}, 7])
    def test_invalid(self, regions: Any) -> None:
        """A configuration with invalid homes is rejected with the reason."""
        update = _read(route(HomeRegions=regions))
        assert isinstance(update, InvalidEntry)
        assert 'HomeRegions of route r-1' in update.problem

"""Decoding of the figures of cold backend servers.

Guards against limits that are ignored and against values out of range.
"""

import math
import pathlib
from typing import Any

import pytest
from platform_builders import SETTINGS, config, item

from fennelfork import ManualTime, manual_clock
from fennelfork.routes import ColdPolicy, Service
from fennelfork_daemon.routes import ConfigUpdate, InvalidEntry, StoreUpdate
from fennelfork_platform._items import read_item
from fennelfork_platform._settings import load_settings

_CLOCK = manual_clock(ManualTime(at_ms=1000))


def _read(**fields: Any) -> StoreUpdate:
    tree = config()
    tree['Services'] = [{'Name': 'archive', 'MaxConns': 41, **fields}]
    return read_item(item('op/config', tree), _CLOCK)


class TestServices:
    """Services in the configuration of the operators."""

    def test_figures(self) -> None:
        """The time is read in seconds, the rate in requests per second."""
        update = _read(WarmupS=3.0, ColdPerS=12.5)
        assert isinstance(update, ConfigUpdate)
        assert update.table.services['archive'] == Service(
            name='archive',
            connections=41,
            warm_up_ms=3000,
            cold_rate_per_s=12.5,
        )

    def test_missing(self) -> None:
        """A service without figures has no limit."""
        update = _read()
        assert isinstance(update, ConfigUpdate)
        known = update.table.services['archive']
        assert ColdPolicy().max_per_second(known) == math.inf

    @pytest.mark.parametrize('name', ['WarmupS', 'ColdPerS'])
    @pytest.mark.parametrize('figure', [-1, 'three', True, float('inf'), [3]])
    def test_invalid(self, name: str, figure: Any) -> None:
        """A figure out of range rejects the configuration."""
        update = _read(**{name: figure})
        assert isinstance(update, InvalidEntry)
        assert f'{name} of service archive' in update.problem


class TestSettings:
    """Bounds in the settings file."""

    def test_bounds(self, tmp_path: pathlib.Path) -> None:
        """The factor and the slack of the bound are read."""
        path = tmp_path / 'local.toml'
        bounds = '[Bounds]\nWarmupExcess = 1.5\nWarmupSlack = 5'
        path.write_text(SETTINGS.replace('[Bounds]', bounds))
        assert load_settings(path).unwrap().cold == ColdPolicy(
            rate_factor=1.5, slack=5
        )

    def test_missing(self, tmp_path: pathlib.Path) -> None:
        """Without bounds, servers get the rate that they tolerate."""
        path = tmp_path / 'local.toml'
        path.write_text(SETTINGS)
        assert load_settings(path).unwrap().cold == ColdPolicy()

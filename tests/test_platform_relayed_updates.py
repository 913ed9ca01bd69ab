"""Tests of updates of the store that real daemons pass on to each other.

Guards against daemons that stay behind when the daemon from which they read is
paused, killed or cut from the store.
"""

import json
from typing import Final

import pytest

from fennelfork_bench.rig._process import Rig, wait_until
from fennelfork_platform_bench._events import await_ready
from fennelfork_platform_bench._fleet import ZONES, PlatformFleet

# Bound in the settings of the fleet on the time until a change applies.
_MAX_CHANGE_DELAY_S: Final = 3.0
# Time for all daemons to register and to choose where they read.
_CHOICE_TIMEOUT_S: Final = 8.0
_NAMES: Final = ('vm-0', 'vm-1', 'vm-2')
_STORE: Final = 'the store'


@pytest.fixture
def fleet(processes: Rig) -> PlatformFleet:
    """Start a store and three daemons of one data centre."""
    store = processes.start_module('store', 'fennelfork_platform_bench.store')
    started = PlatformFleet(
        rig=processes, store=store.await_ready().ready['address']
    )
    started.configure(1)
    for name in _NAMES:
        started.start_daemon(name, ZONES[0])
    for name in _NAMES:
        await_ready(started, name)
    _await_one_reader(started)
    return started


@pytest.mark.process
class TestRelayedUpdates:
    """Changes apply in time on all daemons that can reach a source."""

    def test_change(self, fleet: PlatformFleet) -> None:
        """A change reaches the daemons that do not read the store."""
        _expect_change_in_time(fleet, 2, _NAMES)
        _await_one_reader(fleet)

    def test_paused_reader(self, fleet: PlatformFleet) -> None:
        """The others apply a change while the reader is paused."""
        reader = _reader(fleet)
        fleet.daemons[reader].pause()
        _expect_change_in_time(fleet, 2, _without(reader))
        fleet.daemons[reader].resume()
        _expect_change_in_time(fleet, 3, _NAMES)

    def test_killed_reader(self, fleet: PlatformFleet) -> None:
        """The others apply a change after the reader was killed."""
        reader = _reader(fleet)
        fleet.daemons[reader].kill()
        _expect_change_in_time(fleet, 2, _without(reader))
        fleet.start_daemon(reader, ZONES[0])
        await_ready(fleet, reader)
        _expect_change_in_time(fleet, 3, _NAMES)

    def test_stopped_reader(self, fleet: PlatformFleet) -> None:
        """The others apply changes during the graceful stop of the reader."""
        reader = _reader(fleet)
        fleet.daemons[reader].terminate()
        for version in (2, 3, 4):
            _expect_change_in_time(fleet, version, _without(reader))

    def test_outage_of_the_store(self, fleet: PlatformFleet) -> None:
        """A change after an outage is applied in time."""
        fleet.set_store_down(True)
        reader = _reader(fleet)
        wait_until(
            lambda: 'store_lost' in _events(fleet, reader),
            _MAX_CHANGE_DELAY_S,
            'the reader to notice the outage',
        )
        fleet.set_store_down(False)
        _expect_change_in_time(fleet, 2, _NAMES)


def _await_one_reader(fleet: PlatformFleet) -> None:
    wait_until(
        lambda: _sources(fleet).count(_STORE) == 1,
        _CHOICE_TIMEOUT_S,
        'one daemon to read the store',
    )


def _without(reader: str) -> tuple[str, ...]:
    return tuple(name for name in _NAMES if name != reader)


def _reader(fleet: PlatformFleet) -> str:
    """Return the daemon that reads the store."""
    return _NAMES[_sources(fleet).index(_STORE)]


def _sources(fleet: PlatformFleet) -> list[str]:
    """Return where each daemon reads updates, by its log."""
    return [_latest_source(fleet, name) for name in _NAMES]


def _latest_source(fleet: PlatformFleet, name: str) -> str:
    sources = [
        line['source']
        for line in _lines(fleet, name)
        if line['event'] == 'update_source_changed'
    ]
    return sources[-1] if sources else ''


def _events(fleet: PlatformFleet, name: str) -> list[str]:
    return [line['event'] for line in _lines(fleet, name)]


def _lines(fleet: PlatformFleet, name: str) -> list[dict[str, str]]:
    """Return the complete log lines of a daemon."""
    text = fleet.daemons[name].stdout.read_text()
    return [
        json.loads(line)
        for line in text.splitlines(keepends=True)
        if line.endswith('\n')
    ]


def _expect_change_in_time(
    fleet: PlatformFleet, version: int, names: tuple[str, ...]
) -> None:
    fleet.configure(version)
    wait_until(
        lambda: all(fleet.serves(name, version) for name in names),
        _MAX_CHANGE_DELAY_S,
        f'version {version} to be active on {", ".join(names)}',
    )

"""Tests of a daemon whose source of updates is cut from the store.

Guards against two delays that are each within the bound, but not together:
the reader of the data centre detects its lost watch only after most of the
bound, and the daemons behind it then ask another daemon before the store.
"""

import json
import time
from typing import Final

import pytest

from fennelfork_bench.rig._process import Rig, wait_until
from fennelfork_platform_bench._events import await_ready
from fennelfork_platform_bench._fleet import (
    ZONES,
    PlatformFleet,
    store_proxy_name,
)
from fennelfork_platform_bench._proxy_mode import ProxyMode
from fennelfork_platform_bench.soak._proxies import ProxyClient, start_proxies

# Bound in the settings of the fleet on the time until a change applies.
_MAX_CHANGE_DELAY_S: Final = 3.0
# Time for all daemons to register and to read from the reader.
_SETTLE_TIMEOUT_S: Final = 8.0
# Updates of the start no longer change when daemons make their next calls.
_QUIET_S: Final = 5.0
_READER: Final = 'vm-2'
_OTHERS: Final = ('vm-0', 'vm-1')


@pytest.fixture
def proxies(processes: Rig) -> ProxyClient:
    """Start the proxies between the daemons and the store."""
    return start_proxies(processes)


@pytest.fixture
def fleet(processes: Rig, proxies: ProxyClient) -> PlatformFleet:
    """Start a store and three daemons of one data centre."""
    store = processes.start_module('store', 'fennelfork_platform_bench.store')
    started = PlatformFleet(
        rig=processes,
        store=store.await_ready().ready['address'],
        resolve_address=proxies.proxy_address,
    )
    started.configure(1)
    for name in (_READER, *_OTHERS):
        started.start_daemon(name, ZONES[0])
    for name in (_READER, *_OTHERS):
        await_ready(started, name)
    wait_until(
        lambda: (
            _source(started, _READER) == 'the store'
            and all(_source(started, name) == _READER for name in _OTHERS)
        ),
        _SETTLE_TIMEOUT_S,
        f'all daemons to read from {_READER}',
    )
    time.sleep(_QUIET_S)
    return started


@pytest.mark.process
class TestCutReader:
    """The store answers a daemon, but not the reader of its data centre."""

    @pytest.mark.parametrize('paused', _OTHERS)
    def test_paused_substitute(
        self, fleet: PlatformFleet, proxies: ProxyClient, paused: str
    ) -> None:
        """A daemon applies a change in time while the third one is paused."""
        _cut_reader(fleet, proxies)
        fleet.daemons[paused].pause()
        calm = tuple(name for name in _OTHERS if name != paused)
        _expect_change_in_time(fleet, 3, calm)


def _source(fleet: PlatformFleet, name: str) -> str:
    """Return where a daemon reads updates, by its log."""
    text = fleet.daemons[name].stdout.read_text()
    logged = [
        json.loads(line)
        for line in text.splitlines(keepends=True)
        if line.endswith('\n')
    ]
    sources: list[str] = [
        line['source']
        for line in logged
        if line['event'] == 'update_source_changed'
    ]
    return sources[-1] if sources else ''


def _cut_reader(fleet: PlatformFleet, proxies: ProxyClient) -> None:
    """Cut the reader right after it has received an update."""
    fleet.configure(2)
    wait_until(
        lambda: fleet.serves(_READER, 2),
        _MAX_CHANGE_DELAY_S,
        'the reader to apply a change',
    )
    proxies.apply_mode(store_proxy_name(_READER), ProxyMode.HOLD_BOTH)


def _expect_change_in_time(
    fleet: PlatformFleet, version: int, names: tuple[str, ...]
) -> None:
    fleet.configure(version)
    wait_until(
        lambda: all(fleet.serves(name, version) for name in names),
        _MAX_CHANGE_DELAY_S,
        f'version {version} to be active on {", ".join(names)}',
    )

"""Tests for the list of log events, their sampling and dropped log lines."""

import importlib
import inspect
import io
import json
import os
import pathlib
import types
from collections import Counter

import attrs
import pytest
import structlog
from daemon_builders_routes import UnboundedOutput

from fennelfork import ManualTime, manual_clock
from fennelfork_daemon.logs._decision_log import decision_log
from fennelfork_daemon.logs._logs import configure_logs
from fennelfork_daemon.logs._sink import non_blocking_sink
from fennelfork_daemon.routes import _events as events
from fennelfork_daemon.routes import _events_servers as servers
from fennelfork_daemon.routes import _events_store as store
from fennelfork_daemon.routes._request_reporter import is_sampled
from fennelfork_daemon.settings._log_settings import LogSettings

_MANUAL = pathlib.Path(__file__).parents[3] / 'docs/OPERATIONS.md'


class TestEvents:
    """Each event class is listed and documented."""

    def test_list_is_complete(self) -> None:
        """Each class of each module is listed once, with a unique event name."""
        defined = [kind for module in _modules() for kind in _classes(module)]
        assert set(defined) == set(events.EVENTS)
        names = [kind.event for kind in events.EVENTS]
        assert len(set(names)) == len(names)

    @pytest.mark.parametrize('kind', events.EVENTS)
    def test_is_documented(self, kind: type) -> None:
        """Each event and each of its attributes is in the operations manual."""
        manual = _MANUAL.read_text(encoding='utf-8')
        rows = [
            line
            for line in manual.splitlines()
            if line.startswith(f'| `{kind.event}` |')
        ]
        assert len(rows) == 1
        for field in attrs.fields(kind):
            assert f'`{field.name}`' in rows[0]

    def test_no_obsolete_rows(self) -> None:
        """The operations manual contains no event that no longer exists."""
        manual = _MANUAL.read_text(encoding='utf-8')
        _, _, table = manual.partition('| event | when | facts |\n')
        table, _, _ = table.partition('\n\n')
        rows = table.splitlines()[1:]
        assert len(rows) == len(events.EVENTS)


def _modules() -> list[types.ModuleType]:
    """Return the modules that define the events."""
    folder = pathlib.Path(events.__file__).parent
    names = [path.stem for path in folder.glob('_events_*.py')]
    assert len(names) == 5
    return [
        importlib.import_module(f'fennelfork_daemon.routes.{name}')
        for name in names
    ]


def _classes(module: types.ModuleType) -> list[type]:
    """Return the classes that a module defines."""
    return [
        kind
        for _name, kind in inspect.getmembers(module, inspect.isclass)
        if kind.__module__ == module.__name__
    ]


class TestSampling:
    """Sampling of the requests that finished as expected."""

    def test_share(self) -> None:
        """A fixed share is sampled, and the choice is deterministic."""
        ids = [f'{number:016x}' for number in range(6400)]
        sampled = [each for each in ids if is_sampled(each)]
        assert 50 < len(sampled) < 150
        assert sampled == [each for each in ids if is_sampled(each)]

    def test_unusual_ids(self) -> None:
        """Empty, long and undecodable IDs are accepted."""
        assert is_sampled('') in {True, False}
        assert is_sampled('\udce4' * 300) in {True, False}


class TestDroppedLines:
    """Lines dropped because of a slow reader are reported later."""

    def test_reported_once(self) -> None:
        """The number of dropped lines is logged once and counted."""
        reader, writer = os.pipe()
        output = non_blocking_sink(writer)
        configure_logs(LogSettings(), output)
        time = ManualTime()
        counted = _Counts()
        log = decision_log(manual_clock(time), counted, output, daemon='vm-1')
        lost = store.StoreLost(call='lease', reason='x' * 20_000)
        for _ in range(40):
            log.log_decision(lost)
        dropped = output.dropped
        assert dropped > 0
        text = b''
        os.set_blocking(reader, False)
        for _ in range(200):
            text += _read(reader)
            output.flush()
        log.log_decision(servers.ServerGone(server='s'))
        log.log_decision(servers.ServerGone(server='s'))
        text += _read(reader)
        structlog.reset_defaults()
        lines = [json.loads(line) for line in text.decode().splitlines()]
        reported = [line for line in lines if line['event'] == 'lines_dropped']
        assert [line['lines'] for line in reported] == [dropped]
        assert counted.counts['lines_dropped'] == dropped

    def test_common_fields(self) -> None:
        """Each line has the common fields and the attributes of its event."""
        stream = io.StringIO()
        configure_logs(LogSettings(), stream)
        log = decision_log(
            manual_clock(ManualTime()),
            lambda event, logged, times: None,
            UnboundedOutput(),
            daemon='vm-1',
        )
        regained = store.StoreRegained(away_ms=7, told_ms=9, failed_calls=2)
        log.log_decision(regained)
        structlog.reset_defaults()
        line = json.loads(stream.getvalue())
        common = {'event', 'level', 'timestamp', 'daemon'}
        facts = {'away_ms', 'told_ms', 'failed_calls'}
        assert line.keys() - common == facts
        assert (line['event'], line['daemon']) == ('store_regained', 'vm-1')


@attrs.define
class _Counts:
    """Counter of decisions by event."""

    counts: Counter[str] = attrs.field(factory=Counter)

    def __call__(self, event: str, logged: bool, times: int) -> None:
        """Count decisions of one event."""
        self.counts[event] += times


def _read(descriptor: int) -> bytes:
    try:
        return os.read(descriptor, 1_000_000)
    except BlockingIOError:
        return b''

"""The closed list of log lines, and what decides whether one is written."""

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
from daemon_builders_routes import EndlessOutput

from fennelfork import ManualTime, manual_clock
from fennelfork_daemon.logs._budget import decision_log
from fennelfork_daemon.logs._logs import configure_logs
from fennelfork_daemon.logs._sink import non_blocking_sink
from fennelfork_daemon.routes import _events as events
from fennelfork_daemon.routes import _events_servers as servers
from fennelfork_daemon.routes import _events_store as store
from fennelfork_daemon.routes._request_reporter import is_sampled
from fennelfork_daemon.settings._tables import LogSettings

_PAGE = pathlib.Path(__file__).parents[3] / 'docs/OPERATIONS.md'


class TestEvents:
    """One class a kind of line, all of them listed and on the page."""

    def test_list_is_whole(self) -> None:
        """Each class of each subject is listed once, under its own name."""
        made = [kind for module in _subjects() for kind in _classes(module)]
        assert set(made) == set(events.EVENTS)
        names = [kind.event for kind in events.EVENTS]
        assert len(set(names)) == len(names)

    @pytest.mark.parametrize('kind', events.EVENTS)
    def test_is_on_the_page(self, kind: type) -> None:
        """Operators find each line and each of its fields explained."""
        page = _PAGE.read_text(encoding='utf-8')
        rows = [
            line
            for line in page.splitlines()
            if line.startswith(f'| `{kind.event}` |')
        ]
        assert len(rows) == 1
        for field in attrs.fields(kind):
            assert f'`{field.name}`' in rows[0]

    def test_page_has_no_other(self) -> None:
        """The page tells of no line that is not written any more."""
        page = _PAGE.read_text(encoding='utf-8')
        _, _, table = page.partition('| event | when | facts |\n')
        table, _, _ = table.partition('\n\n')
        rows = table.splitlines()[1:]
        assert len(rows) == len(events.EVENTS)


def _subjects() -> list[types.ModuleType]:
    """Give the modules that hold the lines, one a subject."""
    folder = pathlib.Path(events.__file__).parent
    names = [path.stem for path in folder.glob('_events_*.py')]
    assert len(names) == 4
    return [
        importlib.import_module(f'fennelfork_daemon.routes.{name}')
        for name in names
    ]


def _classes(module: types.ModuleType) -> list[type]:
    """Give the classes that a module defines."""
    return [
        kind
        for _name, kind in inspect.getmembers(module, inspect.isclass)
        if kind.__module__ == module.__name__
    ]


class TestSampling:
    """Which of the usual requests are told."""

    def test_share(self) -> None:
        """Some of them, and the same ones each time."""
        ids = [f'{number:016x}' for number in range(6400)]
        drawn = [found for found in ids if is_sampled(found)]
        assert 50 < len(drawn) < 150
        assert drawn == [found for found in ids if is_sampled(found)]

    def test_strange_ids(self) -> None:
        """Whatever a caller sends as an id can be drawn by."""
        assert is_sampled('') in {True, False}
        assert is_sampled('\udce4' * 300) in {True, False}


class TestDroppedLines:
    """What a slow reader missed is said once it reads again."""

    def test_said_once(self) -> None:
        """The number stands in a line of its own, and is counted."""
        reader, writer = os.pipe()
        output = non_blocking_sink(writer)
        configure_logs(LogSettings(), output)
        time = ManualTime()
        counted = _Counts()
        log = decision_log(manual_clock(time), counted, output, daemon='vm-1')
        lost = store.StoreLost(call='lease', reason='x' * 20_000)
        for _ in range(40):
            log.tell(lost)
        dropped = output.dropped
        assert dropped > 0
        text = b''
        os.set_blocking(reader, False)
        for _ in range(200):
            text += _read(reader)
            output.flush()
        log.tell(servers.ServerGone(server='s'))
        log.tell(servers.ServerGone(server='s'))
        text += _read(reader)
        structlog.reset_defaults()
        lines = [json.loads(line) for line in text.decode().splitlines()]
        said = [line for line in lines if line['event'] == 'lines_dropped']
        assert [line['lines'] for line in said] == [dropped]
        assert counted.counts['lines_dropped'] == dropped

    def test_frame(self) -> None:
        """Each line has its daemon, its event and the fields of its class."""
        stream = io.StringIO()
        configure_logs(LogSettings(), stream)
        log = decision_log(
            manual_clock(ManualTime()),
            lambda event, logged, times: None,
            EndlessOutput(),
            daemon='vm-1',
        )
        log.tell(store.StoreRegained(away_ms=7, told_ms=9))
        structlog.reset_defaults()
        line = json.loads(stream.getvalue())
        frame = {'event', 'level', 'timestamp', 'daemon'}
        assert line.keys() - frame == {'away_ms', 'told_ms'}
        assert (line['event'], line['daemon']) == ('store_regained', 'vm-1')


@attrs.define
class _Counts:
    """Counts decisions by their kind."""

    counts: Counter[str] = attrs.field(factory=Counter)

    def __call__(self, event: str, logged: bool, times: int) -> None:
        """Count some of one kind."""
        self.counts[event] += times


def _read(descriptor: int) -> bytes:
    try:
        return os.read(descriptor, 1_000_000)
    except BlockingIOError:
        return b''

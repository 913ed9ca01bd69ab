"""The story of one request out of captured logs."""

import json
import pathlib
from typing import Any

import pytest

from fennelfork_cli._app import app
from fennelfork_cli._log_search import line_texts, read_lines, story


def _line(at: str, event: str, **facts: Any) -> str:
    stamp = f'2026-01-01T{at}Z'
    tree = {'timestamp': stamp, 'daemon': 'vm-1', 'event': event, **facts}
    return json.dumps(tree)


_LOG = [
    _line(
        '09:00:02',
        'request_ended',
        request='r-1',
        took_ms=300,
        steps={
            'shard-a': ['i-1 0 sent', 'i-2 91 sent again', 'i-2 130 answered'],
        },
    ),
    _line('09:00:01', 'server_ejected', server='i-1', reason='reset'),
    _line('09:00:01', 'server_ejected', server='i-9', reason='reset'),
    _line('08:59:00', 'server_gone', server='i-1'),
    _line('09:00:01', 'server_gone', server='i-1', daemon='vm-2'),
    _line('09:00:03', 'request_ended', request='r-2'),
    '{"event": "torn',
    f'   1.25 vm-1 {_line("09:00:00", "config_taken", version=7)}',
    'Traceback (most recent call last):',
]


class TestStory:
    """Lines on the request, and on the servers that it was sent to."""

    def test_in_time_order(self) -> None:
        """Torn and foreign lines, old ones and other daemons' stay out."""
        told = story(read_lines(_LOG), 'r-1')
        assert [line.event for line in told] == [
            'server_ejected',
            'request_ended',
        ]
        assert told[0].facts['server'] == 'i-1'

    def test_refused_for_what_it_asks(self) -> None:
        """Whose servers ended under the same request, at whichever daemon."""
        log = [
            _line(
                '09:00:00',
                'request_refused',
                request='r-7',
                fingerprint='f1',
            ),
            _line(
                '08:10:00',
                'server_ended',
                request='r-2',
                server='i-3',
                fingerprint='f1',
                daemon='vm-2',
            ),
            _line('08:10:01', 'request_judged', fingerprint='f1'),
            _line('08:10:01', 'request_judged', fingerprint='f2'),
            _line('08:10:02', 'request_ended', request='r-3', fingerprint='f1'),
        ]
        told = story(read_lines(log), 'r-7')
        assert [line.event for line in told] == [
            'server_ended',
            'request_judged',
            'request_refused',
        ]

    def test_prefix_is_passed_over(self) -> None:
        """A collector may put something before the line."""
        events = [line.event for line in read_lines(_LOG)]
        assert events.count('config_taken') == 1

    def test_steps_below(self) -> None:
        """Each step stands in a row of its own."""
        texts = line_texts(story(read_lines(_LOG), 'r-1')[1])
        assert texts[2] == '    shard-a: i-2 91 sent again'


class TestCommand:
    """The command over files."""

    def test_json(
        self,
        tmp_path: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """One object with the lines in order."""
        status = _explain(tmp_path, 'r-1', '--json')
        events = json.loads(capsys.readouterr().out)['events']
        assert (status, len(events)) == (0, 2)

    def test_unknown_id(
        self,
        tmp_path: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """It is said that no line names it."""
        assert _explain(tmp_path, 'r-7') != 0
        captured = capsys.readouterr()
        assert 'r-7' in captured.out + captured.err

    def test_no_file(self, capsys: pytest.CaptureFixture[str]) -> None:
        """A log that is not there is named."""
        tokens = ['explain', 'r-1', '--log', 'nowhere.log']
        assert app(tokens, result_action='return_value') != 0
        captured = capsys.readouterr()
        assert 'nowhere.log' in captured.out + captured.err


def _explain(folder: pathlib.Path, request_id: str, *options: str) -> int:
    path = folder / 'vm-1.log'
    path.write_text('\n'.join(_LOG), encoding='utf-8')
    tokens = ['explain', request_id, '--log', str(path), *options]
    return int(app(tokens, result_action='return_value'))

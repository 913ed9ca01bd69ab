"""Tests of the search for the log lines of one request."""

import json
import pathlib
from typing import Any

import pytest

from fennelfork_cli._app import app
from fennelfork_cli._log_search import (
    format_line,
    lines_for_request,
    read_lines,
)


def _line(at: str, event: str, **facts: Any) -> str:
    stamp = f'2026-01-01T{at}Z'
    payload = {'timestamp': stamp, 'daemon': 'vm-1', 'event': event, **facts}
    return json.dumps(payload)


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


class TestLinesForRequest:
    """Selection of the lines that explain a request."""

    def test_in_time_order(self) -> None:
        """Malformed and old lines and lines of other daemons are left out."""
        selected = lines_for_request(read_lines(_LOG), 'r-1')
        assert [line.event for line in selected] == [
            'server_ejected',
            'request_ended',
        ]
        assert selected[0].facts['server'] == 'i-1'

    def test_refused_poison_request(self) -> None:
        """Crashes during requests with the same fingerprint are included."""
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
        selected = lines_for_request(read_lines(log), 'r-7')
        assert [line.event for line in selected] == [
            'server_ended',
            'request_judged',
            'request_refused',
        ]

    def test_prefix_is_ignored(self) -> None:
        """Text before the JSON object of a line is ignored."""
        events = [line.event for line in read_lines(_LOG)]
        assert events.count('config_taken') == 1

    def test_steps_on_separate_lines(self) -> None:
        """Each step is printed on a separate line."""
        texts = format_line(lines_for_request(read_lines(_LOG), 'r-1')[1])
        assert texts[2] == '    shard-a: i-2 91 sent again'


class TestRefusals:
    """The decision that refused a request, on a line of its own."""

    @pytest.mark.parametrize(
        ('facts', 'expected'),
        [
            (
                {
                    'code': 'unknown_key',
                    'reason': 'no workspace has the key with fingerprint 48cd96de',
                    'workspace': '',
                },
                'no workspace: refused by unknown_key: no workspace has the '
                'key with fingerprint 48cd96de',
            ),
            (
                {'code': 'quota', 'reason': 'no permit', 'workspace': 'lab'},
                'workspace lab: refused by quota: no permit',
            ),
            (
                {
                    'code': 'shed',
                    'reason': '7 requests are under way to these services, '
                    'the limit is 6, refused by workspace_share',
                    'workspace': 'lab',
                },
                'workspace lab: refused by workspace_share: 7 requests are '
                'under way to these services, the limit is 6',
            ),
        ],
    )
    def test_decision(self, facts: dict[str, str], expected: str) -> None:
        """The workspace, the decision and its reason are named."""
        log = [_line('09:00:00', 'request_refused', request='r-1', **facts)]
        texts = format_line(next(read_lines(log)))
        assert texts[1] == f'    {expected}'

    def test_failed_later(self) -> None:
        """A request that failed after attempts names its workspace."""
        facts = {'answer': 'no_server, not_run', 'workspace': 'lab'}
        log = [_line('09:00:00', 'request_ended', request='r-1', **facts)]
        texts = format_line(next(read_lines(log)))
        assert 'workspace=lab' in texts[0]
        assert len(texts) == 1

    def test_line_without_workspace(self) -> None:
        """A line of an older daemon has no line about its decision."""
        log = [_line('09:00:00', 'request_refused', request='r', code='shed')]
        assert len(format_line(next(read_lines(log)))) == 1


class TestCommand:
    """The command `explain --log`."""

    def test_json(
        self,
        tmp_path: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """The output is one JSON object with the selected lines."""
        status = _explain(tmp_path, 'r-1', '--json')
        events = json.loads(capsys.readouterr().out)['events']
        assert (status, len(events)) == (0, 2)

    def test_unknown_id(
        self,
        tmp_path: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """The error message names the unknown request id."""
        assert _explain(tmp_path, 'r-7') != 0
        captured = capsys.readouterr()
        assert 'r-7' in captured.out + captured.err

    def test_no_file(self, capsys: pytest.CaptureFixture[str]) -> None:
        """The error message names the missing log file."""
        tokens = ['explain', 'r-1', '--log', 'nowhere.log']
        assert app(tokens, result_action='return_value') != 0
        captured = capsys.readouterr()
        assert 'nowhere.log' in captured.out + captured.err


def _explain(folder: pathlib.Path, request_id: str, *options: str) -> int:
    path = folder / 'vm-1.log'
    path.write_text('\n'.join(_LOG), encoding='utf-8')
    tokens = ['explain', request_id, '--log', str(path), *options]
    return int(app(tokens, result_action='return_value'))

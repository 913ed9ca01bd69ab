"""A scripted daemon and builders of the pages of a daemon."""

import contextlib
import json
import threading
from collections.abc import Iterator

# Not `from http import server`: eventlet replaces that attribute with a green
# module, in which `accept` blocks a native thread for ever.
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import attrs

CLOSE_CONNECTION = 'lost'


@attrs.frozen(kw_only=True)
class Answer:
    """Scripted response.

    Attributes:
        payload: JSON body of the response.
        status: HTTP status of the response.
    """

    payload: Any
    status: int = 200


@attrs.define(kw_only=True)
class ScriptedDaemon:
    """Daemon stand-in that returns scripted answers for each path.

    The last answer of a path is repeated.

    Attributes:
        script: answers by path; `CLOSE_CONNECTION` closes the connection
            without an answer.
        posted: path and body of each POST request.
        address: address that the stand-in listens on.
    """

    script: dict[str, list[Any]]
    posted: list[tuple[str, Any]] = attrs.field(factory=list)
    address: str = ''

    def next_answer(self, path: str) -> Any:
        """Return the next response for `path`."""
        answers = self.script.get(path, [problem(404, code='unknown_front')])
        return answers.pop(0) if len(answers) > 1 else answers[0]


@contextlib.contextmanager
def scripted_daemon(script: dict[str, list[Any]]) -> Iterator[ScriptedDaemon]:
    """Run a daemon stand-in on a loopback address."""
    daemon = ScriptedDaemon(script=script)
    handler_class = type('_Handler', (_ScriptHandler,), {'daemon': daemon})
    server = ThreadingHTTPServer(('127.0.0.1', 0), handler_class)
    daemon.address = f'127.0.0.1:{server.server_port}'
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield daemon
    finally:
        _stop(server, thread)


def _stop(
    server: ThreadingHTTPServer,
    thread: threading.Thread,
) -> None:
    server.shutdown()
    thread.join()
    server.server_close()


def problem(status: int, **members: Any) -> Answer:
    """Build a problem document."""
    payload = {'detail': 'no', 'verdict': 'not_run', 'status': status} | members
    return Answer(payload=payload, status=status)


def document(version: int, delay_ms: int) -> Answer:
    """Build a configuration page with one front."""
    return Answer(
        payload={
            'version': version,
            'patches': [patch_record(version)],
            'fronts': {'raft-search': {'hedge': {'delay_ms': delay_ms}}},
        },
    )


def patch_record(version: int) -> dict[str, Any]:
    """Build a patch record of the history."""
    return {
        'id': f'p{version}',
        'version': version,
        'author': 'anna',
        'at_ms': 0,
        'paths': ['fronts.raft-search.hedge.delay_ms'],
    }


def query_answer(*, complete: bool) -> Answer:
    """Build a complete answer to a query, or a partial answer of one half."""
    missing = [] if complete else [{'lo': 5, 'hi': 10, 'reason': 'no_server'}]
    return Answer(
        payload={
            'request_id': 'r1',
            'records': [{'key': 1}],
            'snapshot': 7,
            'coverage': {
                'complete': complete,
                'fraction': 1.0 if complete else 0.5,
                'missing': missing,
            },
            'config_version': 4,
            'work': {'sub_queries': 2, 'hedges': 0, 'retries': 1, 'reruns': 0},
            'took_ms': 12,
        },
    )


def entries_answer(*addresses: str) -> Answer:
    """Build an answer of `/v1/entries`."""
    return Answer(
        payload={
            'entries': [
                {'address': address, 'daemon': 'vm-1', 'data_centre': 'dc-1'}
                for address in addresses
            ],
            'ttl_ms': 5000,
            'ticket': 't1',
            'ticket_serial': 3,
            'ticket_address': addresses[0],
            'ticket_ms': 5000,
            'config_version': 4,
        },
    )


class _ScriptHandler(BaseHTTPRequestHandler):
    daemon: ScriptedDaemon

    def do_GET(self) -> None:
        """Send the next scripted response."""
        self._answer()

    def do_POST(self) -> None:
        """Record the body and send the next scripted response."""
        length = int(self.headers['Content-Length'])
        body = json.loads(self.rfile.read(length))
        self.daemon.posted.append((self.path, body))
        self._answer()

    def log_message(self, *args: Any) -> None:
        """Suppress the request log."""

    def _answer(self) -> None:
        answer = self.daemon.next_answer(self.path)
        if answer == CLOSE_CONNECTION:
            self.close_connection = True
            return
        body = json.dumps(answer.payload).encode()
        self.send_response(answer.status)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

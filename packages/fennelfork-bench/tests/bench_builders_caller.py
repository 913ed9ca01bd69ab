"""Stand-in of the caller API of a daemon, for tests of the caller."""

import contextlib
import json
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator

# Not `from http import server`: see test_sources.py.
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from fennelfork_bench.backend_server._records import record_at
from fennelfork_bench.callers._tally import Tally, parse_tally

# Returns the status and body of an answer; None closes the connection.
Script = Callable[[dict[str, Any]], tuple[int, dict[str, Any]] | None]


@contextlib.contextmanager
def serve_entry(script: Script) -> Iterator[str]:
    """Serve a scripted entry address and yield `ip:port`."""
    with ThreadingHTTPServer(('127.0.0.1', 0), _ScriptedHandler) as http_server:
        http_server.script = script
        thread = threading.Thread(target=http_server.serve_forever)
        thread.start()
        try:
            yield f'127.0.0.1:{http_server.server_port}'
        finally:
            http_server.shutdown()
            thread.join()


def run_caller(entries: str, **options: Any) -> Tally:
    """Run a caller process and return its tally."""
    named = {'entries': entries, 'rate_per_s': 200, 'count': 20, **options}
    arguments = [
        f'--{name.replace("_", "-")}={option}' for name, option in named.items()
    ]
    command = [sys.executable, '-m', 'fennelfork_bench.caller', *arguments]
    completed = subprocess.run(
        command, check=True, capture_output=True, timeout=60, text=True
    )
    return parse_tally(completed.stdout)


def correct_answer(body: dict[str, Any], **changes: Any) -> dict[str, Any]:
    """Build the complete and correct answer to a query for keys."""
    return {
        'request_id': body['request_id'],
        'records': [record(key) for key in body['query']['keys']],
        'snapshot': 1,
        'coverage': {'complete': True, 'fraction': 1, 'missing': []},
        'config_version': 1,
        'work': {'sub_queries': 2, 'hedges': 1, 'retries': 0, 'reruns': 0},
        'took_ms': 1,
        **changes,
    }


def record(key: int) -> dict[str, Any]:
    """Build the record of a key in the first snapshot."""
    matching_record = record_at(1, key, 1)
    return {'key': matching_record.key, 'text': matching_record.text}


def refusal(body: dict[str, Any]) -> dict[str, Any]:
    """Build a refusal with the verdict `not_run`."""
    return {
        'request_id': body['request_id'],
        'code': 'queue_full',
        'verdict': 'not_run',
    }


class _ScriptedHandler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def do_POST(self) -> None:
        length = int(self.headers['Content-Length'])
        reply = self.server.script(json.loads(self.rfile.read(length)))
        if reply is None:
            self.close_connection = True
            return
        status, body = reply
        payload = json.dumps(body).encode()
        self.send_response(status)
        self.send_header('Content-Length', str(len(payload)))
        self.end_headers()
        self.wfile.write(payload)

    def log_message(self, *_: object) -> None:
        """Suppress the request log."""

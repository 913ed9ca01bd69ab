"""A stand-in of a daemon's caller face, for tests of the caller."""

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

# Gives status and body of the reply to a request; none closes without one.
Script = Callable[[dict[str, Any]], tuple[int, dict[str, Any]] | None]


@contextlib.contextmanager
def entry(script: Script) -> Iterator[str]:
    """Serve one entry that answers after a script; gives its address."""
    with ThreadingHTTPServer(('127.0.0.1', 0), _Exchange) as listening:
        listening.script = script
        thread = threading.Thread(target=listening.serve_forever)
        thread.start()
        try:
            yield f'127.0.0.1:{listening.server_port}'
        finally:
            listening.shutdown()
            thread.join()


def run_caller(entries: str, **options: Any) -> Tally:
    """Run the caller process to its end."""
    named = {'entries': entries, 'rate_per_s': 200, 'count': 20, **options}
    arguments = [
        f'--{name.replace("_", "-")}={option}' for name, option in named.items()
    ]
    command = [sys.executable, '-m', 'fennelfork_bench.caller', *arguments]
    done = subprocess.run(
        command, check=True, capture_output=True, timeout=60, text=True
    )
    return parse_tally(done.stdout)


def true_answer(body: dict[str, Any], **changes: Any) -> dict[str, Any]:
    """Build the whole and true answer to a query for keys."""
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
    """Build the true record of a key at the first snapshot."""
    found = record_at(1, key, 1)
    return {'key': found.key, 'text': found.text}


def refusal(body: dict[str, Any]) -> dict[str, Any]:
    """Build a refusal as not run."""
    return {
        'request_id': body['request_id'],
        'code': 'queue_full',
        'verdict': 'not_run',
    }


class _Exchange(BaseHTTPRequestHandler):
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
        """Write no log."""

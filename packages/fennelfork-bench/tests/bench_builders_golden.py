"""Builders of session transcripts for golden files."""

import json
import re
from typing import Any

import attrs

from fennelfork_bench.history._history import merge_events
from fennelfork_bench.history._server import Work
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._config import start_fleet
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import Process, Rig
from fennelfork_bench.rig._specs import daemon_specs
from fennelfork_bench.soak._entry import await_entries
from fennelfork_bench.soak._fault_catalogue import small_fleet
from fennelfork_bench.soak._servers import server_events

# Suffix that the home daemon adds to a sub-query for each attempt.
_ATTEMPT_SUFFIX = re.compile(r'(\d)#[-\w.]+')
_ADDRESS = re.compile(r'127\.0\.0\.1:\d+')
# JSON members whose numbers differ between test runs.
_TIME_MEMBERS = frozenset(('took_ms', 'ttl_ms', 'retry_after_ms', 'at_ms'))
_COUNT_MEMBERS = frozenset(('retries', 'reruns', 'sub_queries'))


@attrs.define(kw_only=True, eq=False)
class Session:
    """Normalised transcript of the messages of a fleet."""

    fleet: Fleet
    _lines: list[str] = attrs.field(factory=list)

    @property
    def text(self) -> str:
        """Transcript of the session."""
        return _ATTEMPT_SUFFIX.sub(r'\1', '\n'.join(self._lines))

    def call(
        self,
        party: str,
        interface: str,
        path: str,
        body: dict[str, Any],
    ) -> http.HttpResponse:
        """Send a request to the first daemon and record both messages."""
        daemon = self.fleet.running_daemons[0]
        address = daemon.ready[interface]
        self._lines.append(
            f'{party} -> daemon: POST {path} {_normalised_json(body)}'
        )
        reply = http.post(address, path, body)
        self._lines.append(
            f'daemon -> {party}: {reply.status} {_normalised_json(reply.body)}',
        )
        return reply

    def add_line(self, line: str) -> None:
        """Add a line to the transcript."""
        self._lines.append(line)

    def clear(self) -> None:
        """Remove all lines of the transcript."""
        self._lines.clear()

    def request_entries(self, daemon: Process) -> None:
        """Request the entries of a daemon and record the listed daemons."""
        reply = http.get(daemon.ready['caller'], '/v1/entries')
        listed = sorted(each['daemon'] for each in reply.body['entries'])
        self._lines.append(
            f'caller -> {daemon.name}: GET /v1/entries: {reply.status}'
            f' names {", ".join(listed)}',
        )

    def record_server_work(self, request_id: str) -> None:
        """Record the work of a request on the backend servers.

        Servers are named by shard and by the order of their first work.
        Equal events of a sub-query are recorded once.
        """
        logs = map(server_events, self.fleet.backends.values())
        work = [
            event
            for event in merge_events(*logs).of_type(Work)
            if event.request_id == request_id
        ]
        names = _lines_by_server(work)
        for server, lines in sorted(names.items()):
            self._lines.append(f'{server}: {", ".join(dict.fromkeys(lines))}')


def start_session(rig: Rig, daemons: int = 1) -> Session:
    """Start a fleet of two shards with two replicas each."""
    spec = attrs.evolve(small_fleet(1), daemons=daemon_specs(daemons))
    fleet = start_fleet(rig, spec)
    await_entries(fleet)
    return Session(fleet=fleet)


def query(request_id: str, **changes: Any) -> dict[str, Any]:
    """Build a query for two records of each shard."""
    body = {
        'request_id': request_id,
        'deadline_ms': 800,
        'tenant': 'salvare',
        'class': 'counter',
        'query': {'keys': [1, 2, 61, 62]},
    }
    return {**body, **changes}


def _lines_by_server(work: list[Work]) -> dict[str, list[str]]:
    names: dict[str, str] = {}
    lines: dict[str, list[str]] = {}
    for event in work:
        shard = event.server.rpartition('-')[0]
        count = sum(name.startswith(shard) for name in names.values())
        name = names.setdefault(event.server, f'{shard} server {count + 1}')
        lines.setdefault(name, []).append(_line(event))
    return lines


def _line(event: Work) -> str:
    words = [type(event).__name__, event.sub_query]
    words.extend(
        str(getattr(event, member))
        for member in ('code', 'kind')
        if hasattr(event, member)
    )
    return ' '.join(words)


def _normalised_json(body: Any) -> str:
    text = json.dumps(_normalised(body), sort_keys=True)
    return _ADDRESS.sub('<address>', text)


def _normalised(body: Any) -> Any:
    if isinstance(body, list):
        return [_normalised(part) for part in body]
    if not isinstance(body, dict):
        return body
    return {name: _normalised_member(name, part) for name, part in body.items()}


def _normalised_member(name: str, part: Any) -> Any:
    if name in _TIME_MEMBERS:
        return '<ms>'
    if name in _COUNT_MEMBERS:
        return '<some>' if part else part
    return _normalised(part)

"""Builders of whole sessions, written down for golden files."""

import json
import re
from typing import Any

import attrs

from fennelfork_bench.history._history import gather
from fennelfork_bench.history._server import Work
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._config import start_fleet
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import Process, Rig
from fennelfork_bench.rig._specs import daemon_specs
from fennelfork_bench.soak._entry import await_entries
from fennelfork_bench.soak._menu import small_fleet
from fennelfork_bench.soak._servers import server_events

# What a home adds to the name of a sub-query for each copy of it.
_SERIAL = re.compile(r'(\d)#[-\w.]+')
_ADDRESS = re.compile(r'127\.0\.0\.1:\d+')
# Members whose numbers differ from run to run.
_TIMED = frozenset(('took_ms', 'ttl_ms', 'retry_after_ms', 'at_ms'))
_COUNTED = frozenset(('retries', 'reruns', 'sub_queries'))


@attrs.define(kw_only=True, eq=False)
class Session:
    """What crossed the interfaces, line by line, normalised."""

    fleet: Fleet
    _lines: list[str] = attrs.field(factory=list)

    @property
    def text(self) -> str:
        """Everything so far."""
        return _SERIAL.sub(r'\1', '\n'.join(self._lines))

    def call(
        self,
        who: str,
        face: str,
        path: str,
        body: dict[str, Any],
    ) -> http.HttpReply:
        """Make one call to the first daemon and write both sides down."""
        daemon = self.fleet.living[0]
        address = daemon.ready[face]
        self._lines.append(f'{who} -> daemon: POST {path} {_tidy(body)}')
        reply = http.post(address, path, body)
        self._lines.append(
            f'daemon -> {who}: {reply.status} {_tidy(reply.body)}',
        )
        return reply

    def note(self, line: str) -> None:
        """Write a line of one's own."""
        self._lines.append(line)

    def forget(self) -> None:
        """Begin the session anew."""
        self._lines.clear()

    def entries(self, daemon: Process) -> None:
        """Ask a daemon for entries and write down which it names."""
        reply = http.get(daemon.ready['caller'], '/v1/entries')
        named = sorted(each['daemon'] for each in reply.body['entries'])
        self._lines.append(
            f'caller -> {daemon.name}: GET /v1/entries: {reply.status}'
            f' names {", ".join(named)}',
        )

    def note_servers(self, request_id: str) -> None:
        """Write down what a request caused on the backend servers.

        Servers are named by their shard and the order of their first work;
        what came again for the same sub-query is written once.
        """
        logs = map(server_events, self.fleet.backends.values())
        work = [
            event
            for event in gather(*logs).of(Work)
            if event.request_id == request_id
        ]
        names = _by_first_work(work)
        for server, lines in sorted(names.items()):
            self._lines.append(f'{server}: {", ".join(dict.fromkeys(lines))}')


def session(rig: Rig, daemons: int = 1) -> Session:
    """Start a fleet of two shards and two replicas each."""
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


def _by_first_work(work: list[Work]) -> dict[str, list[str]]:
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


def _tidy(body: Any) -> str:
    text = json.dumps(_without_times(body), sort_keys=True)
    return _ADDRESS.sub('<address>', text)


def _without_times(body: Any) -> Any:
    if isinstance(body, list):
        return [_without_times(part) for part in body]
    if not isinstance(body, dict):
        return body
    return {name: _normal(name, part) for name, part in body.items()}


def _normal(name: str, part: Any) -> Any:
    if name in _TIMED:
        return '<ms>'
    if name in _COUNTED:
        return '<some>' if part else part
    return _without_times(part)

"""Builders of invalid input and checks of the responses."""

import json
from pathlib import Path
from typing import Any

import attrs
import urllib3
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st

from fennelfork import FailureCode, Verdict
from fennelfork_bench.rig._config import start_fleet
from fennelfork_bench.rig._fleet import Fleet
from fennelfork_bench.rig._process import Process, Rig
from fennelfork_bench.rig._specs import daemon_specs
from fennelfork_bench.soak._fault_catalogue import small_fleet

_TIMEOUT_S = 8
_VERDICTS = {verdict.value for verdict in Verdict}
_CODES = {code.value for code in FailureCode}

# Data generation is slow on a busy machine.
fuzz_settings = settings(
    max_examples=100,
    suppress_health_check=[HealthCheck.too_slow],
)

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=10), inner, max_size=4)
    ),
    max_leaves=12,
)


@attrs.frozen(kw_only=True)
class RawReply:
    """Response with an unparsed body."""

    status: int
    text: str

    @property
    def body(self) -> dict[str, Any]:
        """JSON object of the response."""
        return json.loads(self.text)


def mutated_bodies(valid: dict[str, Any]) -> st.SearchStrategy[dict[str, Any]]:
    """Build bodies that differ from a valid body in a few members."""
    members = st.sampled_from([*valid, 'unknown'])
    changes = st.dictionaries(members, json_values, max_size=2)
    dropped = st.sets(st.sampled_from(list(valid)), max_size=1)
    return st.builds(_mutated, st.just(valid), changes, dropped)


def nested_json(depth: int) -> str:
    """Return JSON objects nested to a depth."""
    opening = '{"keys":' * depth
    closing = '}' * depth
    return f'{opening}1{closing}'


@attrs.define(kw_only=True, repr=False, eq=False)
class FuzzTarget:
    """Daemon that gets invalid input over persistent connections.

    A persistent connection reveals a response to an earlier request.
    """

    fleet: Fleet
    pool: urllib3.PoolManager = attrs.field(factory=urllib3.PoolManager)

    @property
    def daemon(self) -> Process:
        """Daemon under test."""
        return self.fleet.running_daemons[0]

    def send(
        self,
        payload: bytes,
        path: str = '/v1/fronts/raft-search/query',
        method: str = 'POST',
        interface: str = 'caller',
    ) -> RawReply:
        """Send raw bytes and return the response; a timeout is an error."""
        reply = self.pool.request(
            method,
            f'http://{self.daemon.ready[interface]}{path}',
            body=payload,
            timeout=_TIMEOUT_S,
            retries=False,
        )
        return RawReply(
            status=reply.status,
            text=reply.data.decode('utf-8', 'replace'),
        )

    def resident_kib(self) -> int:
        """Read the resident memory of the daemon."""
        status = Path(f'/proc/{self.daemon.pid}/status').read_text()
        line = next(
            line for line in status.splitlines() if line.startswith('VmRSS')
        )
        return int(line.split()[1])

    def assert_healthy(self) -> None:
        """Check that the daemon is running and has written no traceback."""
        errors = self.daemon.stderr.read_text(errors='replace')
        assert self.daemon.alive
        assert 'Traceback' not in errors, errors[-2000:]


def start_target(own: Rig) -> FuzzTarget:
    """Start a fleet with one daemon."""
    spec = attrs.evolve(small_fleet(1), daemons=daemon_specs(1))
    return FuzzTarget(fleet=start_fleet(own, spec))


def assert_problem(reply: RawReply, request_id: Any) -> None:
    """Check that a response is a problem document of the API."""
    assert 'Traceback' not in reply.text
    body = reply.body
    assert body['code'] in _CODES - {'internal'}, reply
    assert body['verdict'] in _VERDICTS, reply
    assert body.get('request_id') in (None, request_id), reply


def _mutated(
    valid: dict[str, Any],
    changes: dict[str, Any],
    dropped: set[str],
) -> dict[str, Any]:
    body = {**valid, **changes}
    return {name: part for name, part in body.items() if name not in dropped}

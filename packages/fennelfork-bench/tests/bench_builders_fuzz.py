"""Builders of bad input, and the checks of what comes back for it."""

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
from fennelfork_bench.soak._menu import small_fleet

_TIMEOUT_S = 8
_VERDICTS = {verdict.value for verdict in Verdict}
_CODES = {code.value for code in FailureCode}

# A busy machine draws slowly; that says nothing about the input.
patient = settings(
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
    """A reply, not interpreted."""

    status: int
    text: str

    @property
    def body(self) -> dict[str, Any]:
        """The JSON object of the reply."""
        return json.loads(self.text)


def bodies(valid: dict[str, Any]) -> st.SearchStrategy[dict[str, Any]]:
    """Build bodies that differ from a valid one in a few members."""
    members = st.sampled_from([*valid, 'unknown'])
    changes = st.dictionaries(members, json_values, max_size=2)
    dropped = st.sets(st.sampled_from(list(valid)), max_size=1)
    return st.builds(_changed, st.just(valid), changes, dropped)


def nested(depth: int) -> str:
    """Write JSON objects within objects."""
    opening = '{"keys":' * depth
    closing = '}' * depth
    return f'{opening}1{closing}'


@attrs.define(kw_only=True, repr=False, eq=False)
class Target:
    """One daemon under bad input, over kept connections.

    A kept connection shows a reply that belongs to an earlier request.
    """

    fleet: Fleet
    pool: urllib3.PoolManager = attrs.field(factory=urllib3.PoolManager)

    @property
    def daemon(self) -> Process:
        """The only daemon."""
        return self.fleet.living[0]

    def send(
        self,
        payload: bytes,
        path: str = '/v1/fronts/raft-search/query',
        method: str = 'POST',
        face: str = 'caller',
    ) -> RawReply:
        """Send raw bytes; no reply within 8 s is an error."""
        reply = self.pool.request(
            method,
            f'http://{self.daemon.ready[face]}{path}',
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

    def assert_calm(self) -> None:
        """Check that the daemon lives and wrote no traceback."""
        errors = self.daemon.stderr.read_text(errors='replace')
        assert self.daemon.alive
        assert 'Traceback' not in errors, errors[-2000:]


def target(own: Rig) -> Target:
    """Start a fleet of one daemon."""
    spec = attrs.evolve(small_fleet(1), daemons=daemon_specs(1))
    return Target(fleet=start_fleet(own, spec))


def assert_problem(reply: RawReply, request_id: Any) -> None:
    """Check that a reply is a problem document of the contract."""
    assert 'Traceback' not in reply.text
    body = reply.body
    assert body['code'] in _CODES - {'internal'}, reply
    assert body['verdict'] in _VERDICTS, reply
    assert body.get('request_id') in (None, request_id), reply


def _changed(
    valid: dict[str, Any],
    changes: dict[str, Any],
    dropped: set[str],
) -> dict[str, Any]:
    body = {**valid, **changes}
    return {name: part for name, part in body.items() if name not in dropped}

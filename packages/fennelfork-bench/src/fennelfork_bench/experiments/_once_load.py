"""Load of the experiment `once`: executes at a steady rate."""

import random
import time
from collections import Counter
from typing import Any, Final

import attrs
import eventlet

from fennelfork.once import bind_request_id
from fennelfork_bench.experiments._fleet import FRONT
from fennelfork_bench.experiments._once_claim import Claims
from fennelfork_bench.rig import _http as http

_MS: Final = 1000
_PATH: Final = f'/v1/fronts/{FRONT}/execute'
_DEADLINE_MS: Final = 2000
_PATIENCE_MS: Final = 4000


@attrs.frozen(kw_only=True)
class Phase:
    """A stretch of steady load; `rate_per_s` requests, `count` in all."""

    count: int
    rate_per_s: float
    keys: int


@attrs.define(kw_only=True)
class OnceTally:
    """What a phase came to.

    Attributes:
        latencies_ms: of answered requests, the claim included.
        ends: how many requests met each end.
        refused: ids of which the caller was told that they did not run.
    """

    latencies_ms: list[float] = attrs.field(factory=list)
    ends: Counter[str] = attrs.field(factory=Counter)
    refused: set[str] = attrs.field(factory=set)

    @property
    def total(self) -> int:
        """How many requests there were."""
        return self.ends.total()

    def share(self, end: str) -> float:
        """Give the share of requests that met an end."""
        return self.ends[end] / max(self.total, 1)


@attrs.define(kw_only=True)
class OnceLoad:
    """Sends the requests of one arm.

    Attributes:
        claims: the platform, as the claim arm uses it.
        claim_share: share of requests that take a claim before they are sent.
    """

    addresses: list[str]
    claims: Claims
    claim_share: float
    rng: random.Random
    _tickets: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    _numbers: int = 0

    def run(self, phase: Phase) -> OnceTally:
        """Offer the load of a phase, whether or not answers come in time."""
        tally = OnceTally()
        pool = eventlet.GreenPool(phase.count)
        started_s = time.monotonic()
        for number in range(phase.count):
            due_s = started_s + number / phase.rate_per_s
            eventlet.sleep(max(0, due_s - time.monotonic()))
            pool.spawn_n(self._one, tally, self.rng.randrange(phase.keys))
        pool.waitall()
        return tally

    def _one(self, tally: OnceTally, key: int) -> None:
        address = self.rng.choice(self.addresses)
        ticket = self._ticket(address)
        self._numbers += 1
        request_id = bind_request_id(f'deed-{self._numbers}', ticket)
        claimed = self.rng.random() < self.claim_share
        started_s = time.monotonic()
        if claimed and not self.claims.take(request_id):
            tally.ends['refused'] += 1
            tally.refused.add(request_id)
            return
        body = _body(request_id, ticket, key)
        reply = http.post(address, _PATH, body, _PATIENCE_MS)
        _note(tally, request_id, reply)
        if reply.fine:
            took_s = time.monotonic() - started_s
            tally.latencies_ms.append(took_s * _MS)

    def _ticket(self, address: str) -> str:
        """Give the ticket of a daemon, kept for half of its time."""
        ticket, until_s = self._tickets.get(address, ('', 0))
        if time.monotonic() < until_s:
            return ticket
        entries = http.get(address, '/v1/entries').body
        kept_s = entries['ticket_ms'] / _MS / 2
        self._tickets[address] = entries['ticket'], time.monotonic() + kept_s
        return str(entries['ticket'])


def _body(request_id: str, ticket: str, key: int) -> dict[str, Any]:
    return {
        'request_id': request_id,
        'ticket': ticket,
        'deadline_ms': _DEADLINE_MS,
        'tenant': 'salvare',
        'class': 'counter',
        'key': key,
        'action': 'issue',
    }


def _note(tally: OnceTally, request_id: str, reply: http.HttpReply) -> None:
    if reply.fine:
        tally.ends['done'] += 1
    elif reply.body.get('verdict') == 'not_run':
        tally.ends['refused'] += 1
        tally.refused.add(request_id)
    else:
        tally.ends['in_doubt'] += 1

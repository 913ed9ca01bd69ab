"""Load of the experiment `once`: non-idempotent requests at a steady rate."""

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

_MS_PER_S: Final = 1000
_PATH: Final = f'/v1/fronts/{FRONT}/execute'
_DEADLINE_MS: Final = 2000
_RESPONSE_TIMEOUT_MS: Final = 4000


@attrs.frozen(kw_only=True)
class LoadPhase:
    """Phase of the load with `count` requests at `rate_per_s`."""

    count: int
    rate_per_s: float
    keys: int


@attrs.define(kw_only=True)
class OnceTally:
    """Results of a load phase.

    Attributes:
        latencies_ms: latencies of answered requests, including the claim.
        outcomes: number of requests per outcome.
        refused: ids of the requests refused with the verdict `not_run`.
    """

    latencies_ms: list[float] = attrs.field(factory=list)
    outcomes: Counter[str] = attrs.field(factory=Counter)
    refused: set[str] = attrs.field(factory=set)

    @property
    def total(self) -> int:
        """Number of requests."""
        return self.outcomes.total()

    def outcome_fraction(self, outcome: str) -> float:
        """Return the fraction of requests that had an outcome."""
        return self.outcomes[outcome] / max(self.total, 1)


@attrs.define(kw_only=True)
class OnceLoad:
    """Load generator of one arm.

    Attributes:
        claims: client that writes the claims.
        claim_share: share of requests whose id is claimed before the send.
    """

    addresses: list[str]
    claims: Claims
    claim_share: float
    rng: random.Random
    _tickets: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    _request_count: int = 0

    def run(self, phase: LoadPhase) -> OnceTally:
        """Send the requests of a phase at a fixed rate (open loop)."""
        tally = OnceTally()
        pool = eventlet.GreenPool(phase.count)
        started_s = time.monotonic()
        for number in range(phase.count):
            due_s = started_s + number / phase.rate_per_s
            eventlet.sleep(max(0, due_s - time.monotonic()))
            pool.spawn_n(
                self._send_request, tally, self.rng.randrange(phase.keys)
            )
        pool.waitall()
        return tally

    def _send_request(self, tally: OnceTally, key: int) -> None:
        address = self.rng.choice(self.addresses)
        ticket = self._cached_ticket(address)
        self._request_count += 1
        request_id = bind_request_id(f'deed-{self._request_count}', ticket)
        needs_claim = self.rng.random() < self.claim_share
        started_s = time.monotonic()
        if needs_claim and not self.claims.try_claim(request_id):
            tally.outcomes['refused'] += 1
            tally.refused.add(request_id)
            return
        body = _build_body(request_id, ticket, key)
        reply = http.post(address, _PATH, body, _RESPONSE_TIMEOUT_MS)
        _record_reply(tally, request_id, reply)
        if reply.is_success:
            elapsed_s = time.monotonic() - started_s
            tally.latencies_ms.append(elapsed_s * _MS_PER_S)

    def _cached_ticket(self, address: str) -> str:
        """Return a ticket of a daemon, cached for half of its lifetime."""
        ticket, expires_s = self._tickets.get(address, ('', 0))
        if time.monotonic() < expires_s:
            return ticket
        entries = http.get(address, '/v1/entries').body
        cache_s = entries['ticket_ms'] / _MS_PER_S / 2
        self._tickets[address] = entries['ticket'], time.monotonic() + cache_s
        return str(entries['ticket'])


def _build_body(request_id: str, ticket: str, key: int) -> dict[str, Any]:
    return {
        'request_id': request_id,
        'ticket': ticket,
        'deadline_ms': _DEADLINE_MS,
        'tenant': 'salvare',
        'class': 'counter',
        'key': key,
        'action': 'issue',
    }


def _record_reply(
    tally: OnceTally, request_id: str, reply: http.HttpResponse
) -> None:
    if reply.is_success:
        tally.outcomes['done'] += 1
    elif reply.body.get('verdict') == 'not_run':
        tally.outcomes['refused'] += 1
        tally.refused.add(request_id)
    else:
        tally.outcomes['in_doubt'] += 1

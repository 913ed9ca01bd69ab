"""Time and memory that tickets and request ids cost a daemon."""

import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Final

from fennelfork import system_clock
from fennelfork.once import (
    ExecuteRequest,
    OnceGate,
    OnceLimits,
    bind_request_id,
    once_gate,
    ticket_key,
)

_REQUESTS: Final = 4096
_LIFETIME_MS: Final = 600_000
_SECRET_BYTES: Final = 32
_US_PER_S: Final = 1_000_000
_OUTCOME: Final = 'certificate-0000004096'


def measure_memory_costs(seed: int) -> dict[str, float]:
    """Measure the time of ticket operations and the memory per request id.

    Args:
        seed: seed of the ticket serials.
    """
    gate = _build_gate(seed)
    issue_us = _time_us(lambda: gate.issue(_LIFETIME_MS))
    requests = [_build_request(gate, number) for number in range(_REQUESTS)]
    fresh = iter(requests)
    admit_us = _time_us(lambda: _run_request(gate, next(fresh)))
    repeated = iter(requests)
    repeat_us = _time_us(lambda: gate.admit(next(repeated)))
    return {
        'issue_us': issue_us,
        'run_us': admit_us,
        'repeat_us': repeat_us,
        'bytes_per_id': _bytes_per_id(seed),
    }


def _bytes_per_id(seed: int) -> float:
    gate = _build_gate(seed)
    tracemalloc.start()
    for number in range(_REQUESTS):
        _run_request(gate, _build_request(gate, number))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / _REQUESTS


def _time_us(action: Callable[[], object]) -> float:
    started_s = time.perf_counter()
    for _ in range(_REQUESTS):
        action()
    return (time.perf_counter() - started_s) * _US_PER_S / _REQUESTS


def _run_request(gate: OnceGate, request: ExecuteRequest) -> None:
    gate.admit(request)
    gate.table.begin_send(request.request_id)
    gate.table.record_outcome(request.request_id, f'{_OUTCOME}-{request.key}')


def _build_gate(seed: int) -> OnceGate:
    rng = random.Random(seed)
    key = ticket_key('vm-1', 1, rng.randbytes(_SECRET_BYTES))
    return once_gate(
        key, system_clock(), rng, OnceLimits(max_entries=_REQUESTS)
    )


def _build_request(gate: OnceGate, number: int) -> ExecuteRequest:
    ticket = gate.issue(_LIFETIME_MS)
    text = '' if ticket is None else ticket.text
    return ExecuteRequest(
        request_id=bind_request_id(f'deed-{number}', text),
        ticket=text,
        front='raft-search',
        key=number,
        action='issue',
        tenant='salvare',
    )

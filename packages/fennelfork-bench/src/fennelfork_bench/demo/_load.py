"""Continuous lookups of several callers while the demo kills processes."""

import itertools
import random
import time
from typing import Final

import attrs
import eventlet

from fennelfork_bench.demo._check import ExpectedAnswer, find_faults
from fennelfork_bench.demo._fleet import (
    CEDOLE,
    CEDOLE_FRONT,
    KEYS,
    SALVARE,
    SALVARE_FRONT,
)
from fennelfork_bench.demo._table import Step
from fennelfork_bench.rig._caller import Caller

_CALLERS: Final = 6
_PAUSE_S: Final = 0.03
_LOCATIONS: Final = tuple(
    f'?region=region-{number}&data_centre=dc-{number}' for number in (1, 2, 3)
)
_TENANTS: Final = ((SALVARE_FRONT, SALVARE), (CEDOLE_FRONT, CEDOLE))


@attrs.define(kw_only=True)
class LookupLoad:
    """Callers that send lookups until the load is stopped.

    Attributes:
        step: step of the demo that records the next requests.
    """

    step: Step
    _seeds: tuple[str, ...]
    _randomness: random.Random
    _is_stopped: bool = False
    _pool: eventlet.GreenPool = attrs.field(factory=eventlet.GreenPool)

    def start(self) -> None:
        """Start all callers."""
        for number in range(_CALLERS):
            self._pool.spawn(self._run_caller, number)

    def stop(self) -> None:
        """Stop all callers after their current requests."""
        self._is_stopped = True
        self._pool.waitall()

    def _run_caller(self, number: int) -> None:
        front, tenant = _TENANTS[number % len(_TENANTS)]
        entry_query = _LOCATIONS[number % len(_LOCATIONS)]
        caller = Caller(seeds=self._seeds, entry_query=entry_query)
        for _ in itertools.takewhile(self._is_running, itertools.count()):
            step = self.step
            key = self._randomness.randrange(KEYS)
            asked = caller.query(front, lookup_body(tenant, key))
            step.add(asked, find_faults(asked, expect_one_key(key)))
            time.sleep(_PAUSE_S)

    def _is_running(self, _: int) -> bool:
        return not self._is_stopped


def lookup_body(tenant: str, key: int) -> dict[str, object]:
    """Build the body of a lookup of one record."""
    return {
        'tenant': tenant,
        'class': 'lookup',
        'query': {'keys': [key]},
        'coverage': {'mode': 'whole'},
    }


def expect_one_key(key: int) -> ExpectedAnswer:
    """Return the expected answer to a lookup of one record."""
    return ExpectedAnswer(keys=KEYS, wanted=frozenset((key,)))


def register_body(
    tenant: str, mode: str, floor: float = 0
) -> dict[str, object]:
    """Build the body of a query for a whole register."""
    return {
        'tenant': tenant,
        'class': 'register',
        'query': {},
        'coverage': {'mode': mode, 'floor': floor},
    }

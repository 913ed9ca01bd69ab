"""Steady lookups of several callers while the demo kills processes."""

import itertools
import random
import time
from typing import Final

import attrs
import eventlet

from fennelfork_bench.demo._check import Expected, faults_of
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
_GAP_S: Final = 0.03
_PLACES: Final = tuple(
    f'?region=region-{number}&data_centre=dc-{number}' for number in (1, 2, 3)
)
_TENANTS: Final = ((SALVARE_FRONT, SALVARE), (CEDOLE_FRONT, CEDOLE))


@attrs.define(kw_only=True)
class Load:
    """Callers that ask until told to stop.

    Attributes:
        step: takes the answers of requests sent from now on.
    """

    step: Step
    _seeds: tuple[str, ...]
    _randomness: random.Random
    _stopped: bool = False
    _pool: eventlet.GreenPool = attrs.field(factory=eventlet.GreenPool)

    def start(self) -> None:
        """Start every caller."""
        for number in range(_CALLERS):
            self._pool.spawn(self._call, number)

    def stop(self) -> None:
        """Let every caller finish its request and end."""
        self._stopped = True
        self._pool.waitall()

    def _call(self, number: int) -> None:
        front, tenant = _TENANTS[number % len(_TENANTS)]
        place = _PLACES[number % len(_PLACES)]
        caller = Caller(seeds=self._seeds, place=place)
        for _ in itertools.takewhile(self._goes_on, itertools.count()):
            step = self.step
            key = self._randomness.randrange(KEYS)
            asked = caller.query(front, lookup(tenant, key))
            step.add(asked, faults_of(asked, one_key(key)))
            time.sleep(_GAP_S)

    def _goes_on(self, _: int) -> bool:
        return not self._stopped


def lookup(tenant: str, key: int) -> dict[str, object]:
    """Build the body of a lookup of one record."""
    return {
        'tenant': tenant,
        'class': 'lookup',
        'query': {'keys': [key]},
        'coverage': {'mode': 'whole'},
    }


def one_key(key: int) -> Expected:
    """Give what the answer to a lookup must hold."""
    return Expected(keys=KEYS, wanted=frozenset((key,)))


def register(tenant: str, mode: str, floor: float = 0) -> dict[str, object]:
    """Build the body of a query for a whole register."""
    return {
        'tenant': tenant,
        'class': 'register',
        'query': {},
        'coverage': {'mode': mode, 'floor': floor},
    }

"""At most once under random troubles, by the backend servers' own logs."""

import random
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest
from bench_builders_once import (
    Caller,
    assert_once,
    faults,
    once_spec,
    start_once_fleet,
)
from bench_builders_once_chaos import Deeds, trouble

from fennelfork_bench.rig._process import rig

_CALLERS = 6
_DEEDS = 30
_TTL_MS = 2000


@pytest.mark.process
class TestChaos:
    """Kills, pauses, lost, late and crossed replies, platform away."""

    @pytest.mark.parametrize('seed', [1, 2])
    def test_no_deed_is_done_twice(self, seed: int) -> None:
        """No id runs twice, no refusal lies, no deed is done twice."""
        rng = random.Random(seed)
        with rig() as own, ThreadPoolExecutor(_CALLERS) as pool:
            fleet = start_once_fleet(own, once_spec(3, ttl_ms=_TTL_MS))
            workers = [
                Deeds(
                    caller=Caller(),
                    fleet=fleet,
                    rng=random.Random(f'{seed}/{number}'),
                )
                for number in range(_CALLERS)
            ]
            tasks = [pool.submit(worker.work, _DEEDS) for worker in workers]
            while not all(task.done() for task in tasks):
                trouble(fleet, rng)
            for task in tasks:
                task.result()
            for server in fleet.backends:
                faults(fleet, server)
            started = assert_once(fleet, *(each.caller for each in workers))
            names = [worker.names for worker in workers]
        deeds = Counter(
            name
            for known in names
            for request_id, name in known.items()
            if request_id in started
        )
        assert max(deeds.values()) == 1
        # Enough of them ran for the run to mean something.
        assert len(deeds) > _CALLERS * _DEEDS / 2

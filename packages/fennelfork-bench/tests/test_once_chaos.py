"""At-most-once execution under random faults, from the servers' logs."""

import random
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest
from bench_builders_once import (
    Caller,
    assert_at_most_once,
    once_spec,
    set_faults,
    start_once_fleet,
)
from bench_builders_once_chaos import ChaosCaller, inject_fault

from fennelfork_bench.rig._process import rig

_CALLERS = 6
_OPERATIONS = 30
_TTL_MS = 2000


@pytest.mark.process
class TestChaos:
    """Kills, pauses, response faults and an unavailable platform."""

    @pytest.mark.parametrize('seed', [1, 2])
    def test_no_operation_runs_twice(self, seed: int) -> None:
        """No request or operation runs twice, and no refused request runs."""
        rng = random.Random(seed)
        with rig() as own, ThreadPoolExecutor(_CALLERS) as pool:
            fleet = start_once_fleet(own, once_spec(3, ttl_ms=_TTL_MS))
            workers = [
                ChaosCaller(
                    caller=Caller(),
                    fleet=fleet,
                    rng=random.Random(f'{seed}/{number}'),
                )
                for number in range(_CALLERS)
            ]
            tasks = [
                pool.submit(worker.run_operations, _OPERATIONS)
                for worker in workers
            ]
            while not all(task.done() for task in tasks):
                inject_fault(fleet, rng)
            for task in tasks:
                task.result()
            for server in fleet.backends:
                set_faults(fleet, server)
            started = assert_at_most_once(
                fleet, *(each.caller for each in workers)
            )
            names_by_id = [worker.names_by_id for worker in workers]
        operations = Counter(
            name
            for known in names_by_id
            for request_id, name in known.items()
            if request_id in started
        )
        assert max(operations.values()) == 1
        # Most operations run in spite of the faults.
        assert len(operations) > _CALLERS * _OPERATIONS / 2

"""Part of experiment `fanout`: what sharing a call to a server brings."""

import json
import time
from typing import Final

import urllib3

from fennelfork_bench.experiments._processor import processor_us
from fennelfork_bench.rig._process import Process, Rig, RigError
from fennelfork_bench.rig._report import Arm

_BATCHES: Final = (1, 8, 30)
_CALLS: Final = 300
_KEYS: Final = 1000
_US_PER_SECOND: Final = 1_000_000
_OK: Final = 200
_OPTIONS: Final = (
    '--multi-search',
    '--slots=100',
    '--mean-ms=0.1',
    '--connect-ms=0',
    f'--hi={_KEYS}',
    f'--keys={_KEYS}',
)


def batch_arms(rig: Rig) -> list[Arm]:
    """Measure both ends of calls that carry 1, 8 and 30 searches.

    Args:
        rig: takes the server; the caller is this process, so that nothing
            but the calls is in the figures.
    """
    server = rig.start_module(
        'batch-server',
        'fennelfork_bench.backend',
        _OPTIONS,
    ).await_ready()
    _send(server, 1)
    return [_arm(server, batch) for batch in _BATCHES]


def _arm(server: Process, batch: int) -> Arm:
    server_us = processor_us((server,))
    client_s = time.process_time()
    _send(server, batch)
    client_us = (time.process_time() - client_s) * _US_PER_SECOND
    searches = _CALLS * batch
    return Arm(
        name=f'server batch {batch}',
        metrics={
            'client_us_per_sub_query': client_us / searches,
            'server_us_per_sub_query': (processor_us((server,)) - server_us)
            / searches,
        },
    )


def _send(server: Process, batch: int) -> None:
    address = server.ready['address']
    pool = urllib3.connection_from_url(f'http://{address}', retries=False)
    for number in range(_CALLS):
        reply = pool.request(
            'POST',
            '/v1/multi-search',
            body=json.dumps({'searches': _searches(number, batch)}),
        )
        found = json.loads(reply.data)
        whole = reply.status == _OK and all(
            one.get('count') == 1 for one in found['replies']
        )
        if not whole:
            raise RigError(f'a call of {batch} gave {reply.data!r}')


def _searches(number: int, batch: int) -> list[dict[str, object]]:
    return [
        {
            'request_id': f'batch-{batch}-{number}',
            'sub_query': str(index),
            'snapshot': 1,
            'lo': 0,
            'hi': _KEYS,
            'query': {'keys': [index]},
            'deadline_ms': 5000,
        }
        for index in range(batch)
    ]

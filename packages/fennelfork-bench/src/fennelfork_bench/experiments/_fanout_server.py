"""Part of experiment `fanout`: cost of batched searches on a server."""

import json
import time
from typing import Final

import urllib3

from fennelfork_bench.experiments._processor_time import read_processor_us
from fennelfork_bench.rig._process import Process, Rig, RigError
from fennelfork_bench.rig._report import Arm

_BATCHES: Final = (1, 8, 30)
_REQUESTS: Final = 300
_KEYS: Final = 1000
_US_PER_S: Final = 1_000_000
_HTTP_OK: Final = 200
_OPTIONS: Final = (
    '--multi-search',
    '--slots=100',
    '--mean-ms=0.1',
    '--connect-ms=0',
    f'--hi={_KEYS}',
    f'--keys={_KEYS}',
)


def measure_batch_arms(rig: Rig) -> list[Arm]:
    """Measure the client and the server for each batch size.

    The client is the current process, so its processor time covers nothing
    but the requests.

    Args:
        rig: rig that starts the backend server.
    """
    server = rig.start_module(
        'batch-server',
        'fennelfork_bench.backend',
        _OPTIONS,
    ).await_ready()
    _send_batches(server, 1)
    return [_build_arm(server, batch) for batch in _BATCHES]


def _build_arm(server: Process, batch: int) -> Arm:
    server_us = read_processor_us((server,))
    client_started_s = time.process_time()
    _send_batches(server, batch)
    client_us = (time.process_time() - client_started_s) * _US_PER_S
    searches = _REQUESTS * batch
    return Arm(
        name=f'server batch {batch}',
        metrics={
            'client_us_per_sub_query': client_us / searches,
            'server_us_per_sub_query': (
                read_processor_us((server,)) - server_us
            )
            / searches,
        },
    )


def _send_batches(server: Process, batch: int) -> None:
    address = server.ready['address']
    pool = urllib3.connection_from_url(f'http://{address}', retries=False)
    for number in range(_REQUESTS):
        reply = pool.request(
            'POST',
            '/v1/multi-search',
            body=json.dumps({'searches': _build_searches(number, batch)}),
        )
        response_body = json.loads(reply.data)
        is_complete = reply.status == _HTTP_OK and all(
            one.get('count') == 1 for one in response_body['replies']
        )
        if not is_complete:
            raise RigError(
                f'incomplete response to a batch of {batch}: {reply.data!r}'
            )


def _build_searches(number: int, batch: int) -> list[dict[str, object]]:
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

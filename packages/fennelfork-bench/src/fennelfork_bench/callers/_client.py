"""Client of the caller stand-in, which records each query and its outcome."""

import json
import random
from typing import Any, Final

import attrs
import urllib3
from eventlet import sleep

from fennelfork_bench.callers._reply import QueryOutcome, parse_reply
from fennelfork_bench.callers._spec import LoadSpec
from fennelfork_bench.history._caller import (
    ConnectionCut,
    ConnectRefused,
    QueryAsked,
)
from fennelfork_bench.history._history import EventRecorder

_MS_PER_SECOND: Final = 1000
_TIMEOUT_MARGIN_MS: Final = 2000
_POOL_SIZE: Final = 500
_ENTRY_TTL_MS: Final = 3_600_000


@attrs.frozen(kw_only=True)
class CallerClient:
    """Client that sends queries and records their events."""

    _spec: LoadSpec
    _recorder: EventRecorder
    _randomness: random.Random
    _pools: urllib3.PoolManager

    def send_query(self, number: int) -> QueryOutcome:
        """Send a query to a random entry address and return the outcome."""
        query_event = self._build_query_event(number)
        self._recorder.record_event(query_event)
        sleep(self._spec.link_ms / _MS_PER_SECOND)
        outcome = self._send(query_event)
        self._recorder.record_event(outcome.event)
        return outcome

    def _build_query_event(self, number: int) -> QueryAsked:
        spec = self._spec
        request_id = f'{spec.caller}-{number}'
        return QueryAsked(
            at_ms=self._recorder.now_ms(),
            attempt=request_id,
            request_id=request_id,
            caller=spec.caller,
            daemon=self._randomness.choice(spec.entries.split(',')),
            entry_until_ms=self._recorder.now_ms() + _ENTRY_TTL_MS,
            front=spec.front,
            query=_build_query(spec, self._randomness),
            whole=spec.whole,
            floor=spec.floor,
        )

    def _send(self, query_event: QueryAsked) -> QueryOutcome:
        try:
            reply = self._post(query_event)
        except urllib3.exceptions.NewConnectionError as error:
            refused = ConnectRefused(
                at_ms=self._recorder.now_ms(),
                attempt=query_event.attempt,
                detail=repr(error),
            )
            return QueryOutcome(event=refused)
        except urllib3.exceptions.HTTPError as error:
            cut = ConnectionCut(
                at_ms=self._recorder.now_ms(),
                attempt=query_event.attempt,
                detail=repr(error),
            )
            return QueryOutcome(event=cut)
        sleep(self._spec.link_ms / _MS_PER_SECOND)
        return parse_reply(
            query_event.attempt,
            self._recorder.now_ms(),
            reply.status,
            reply.data,
        )

    def _post(self, query_event: QueryAsked) -> urllib3.BaseHTTPResponse:
        spec = self._spec
        return self._pools.request(
            'POST',
            f'http://{query_event.daemon}/v1/fronts/{spec.front}/query',
            body=json.dumps(_build_request_body(spec, query_event)),
            headers={'Content-Type': 'application/json'},
            timeout=(spec.deadline_ms + _TIMEOUT_MARGIN_MS) / _MS_PER_SECOND,
        )


def caller_client(spec: LoadSpec, recorder: EventRecorder) -> CallerClient:
    """Build a client without open connections."""
    return CallerClient(
        spec=spec,
        recorder=recorder,
        randomness=random.Random(f'choices {spec.seed}'),
        pools=urllib3.PoolManager(
            maxsize=_POOL_SIZE,
            num_pools=_POOL_SIZE,
            retries=False,
        ),
    )


def _build_query(spec: LoadSpec, randomness: random.Random) -> str:
    """Build a query for evenly spread keys, so that it reaches all shards."""
    step = max(1, spec.keys // spec.wanted)
    first = randomness.randrange(step)
    keys = list(range(first, spec.keys, step))
    return json.dumps({'keys': keys})


def _build_request_body(
    spec: LoadSpec, query_event: QueryAsked
) -> dict[str, Any]:
    mode = 'whole' if spec.whole else 'partial'
    return {
        'request_id': query_event.request_id,
        'deadline_ms': spec.deadline_ms,
        'tenant': spec.tenant,
        'class': spec.class_,
        'query': json.loads(query_event.query),
        'coverage': {'mode': mode, 'floor': spec.floor},
    }

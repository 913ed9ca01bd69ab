"""Sends one query of a caller and notes what came of it."""

import json
import random
from typing import Any, Final

import attrs
import urllib3
from eventlet import sleep

from fennelfork_bench.callers._reply import QueryEnd, query_end
from fennelfork_bench.callers._spec import LoadSpec
from fennelfork_bench.history._caller import (
    ConnectionCut,
    ConnectRefused,
    QueryAsked,
)
from fennelfork_bench.history._history import Recorder

_MS_PER_SECOND: Final = 1000
_GRACE_MS: Final = 2000
_POOL_SIZE: Final = 500
_ENTRY_TTL_MS: Final = 3_600_000


@attrs.frozen(kw_only=True)
class CallerClient:
    """The connections of one caller and its record of events."""

    _spec: LoadSpec
    _recorder: Recorder
    _randomness: random.Random
    _pools: urllib3.PoolManager

    def ask(self, number: int) -> QueryEnd:
        """Send one query to one of the entries and wait for its end."""
        asked = self._asked(number)
        self._recorder.note(asked)
        sleep(self._spec.link_ms / _MS_PER_SECOND)
        end = self._sent(asked)
        self._recorder.note(end.event)
        return end

    def _asked(self, number: int) -> QueryAsked:
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
            query=_query(spec, self._randomness),
            whole=spec.whole,
            floor=spec.floor,
        )

    def _sent(self, asked: QueryAsked) -> QueryEnd:
        try:
            reply = self._post(asked)
        except urllib3.exceptions.NewConnectionError as error:
            refused = ConnectRefused(
                at_ms=self._recorder.now_ms(),
                attempt=asked.attempt,
                detail=repr(error),
            )
            return QueryEnd(event=refused)
        except urllib3.exceptions.HTTPError as error:
            cut = ConnectionCut(
                at_ms=self._recorder.now_ms(),
                attempt=asked.attempt,
                detail=repr(error),
            )
            return QueryEnd(event=cut)
        sleep(self._spec.link_ms / _MS_PER_SECOND)
        return query_end(
            asked.attempt,
            self._recorder.now_ms(),
            reply.status,
            reply.data,
        )

    def _post(self, asked: QueryAsked) -> urllib3.BaseHTTPResponse:
        spec = self._spec
        return self._pools.request(
            'POST',
            f'http://{asked.daemon}/v1/fronts/{spec.front}/query',
            body=json.dumps(_body(spec, asked)),
            headers={'Content-Type': 'application/json'},
            timeout=(spec.deadline_ms + _GRACE_MS) / _MS_PER_SECOND,
        )


def caller_client(spec: LoadSpec, recorder: Recorder) -> CallerClient:
    """Build a caller that has no connection yet."""
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


def _query(spec: LoadSpec, randomness: random.Random) -> str:
    """Ask for keys spread evenly, so that every shard has some."""
    step = max(1, spec.keys // spec.wanted)
    first = randomness.randrange(step)
    keys = list(range(first, spec.keys, step))
    return json.dumps({'keys': keys})


def _body(spec: LoadSpec, asked: QueryAsked) -> dict[str, Any]:
    mode = 'whole' if spec.whole else 'partial'
    return {
        'request_id': asked.request_id,
        'deadline_ms': spec.deadline_ms,
        'tenant': spec.tenant,
        'class': spec.class_,
        'query': json.loads(asked.query),
        'coverage': {'mode': mode, 'floor': spec.floor},
    }

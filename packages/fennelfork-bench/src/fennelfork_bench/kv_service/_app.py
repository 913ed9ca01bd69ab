"""The key-value stand-in as a WSGI application."""

import itertools
from collections.abc import Iterable
from typing import Final

import attrs
import eventlet

from fennelfork import Clock
from fennelfork_bench.kv_service._handlers import (
    READS,
    WRITES,
    KeyValueService,
    key_value_service,
    problem,
)
from fennelfork_bench.kv_service._control import Control
from fennelfork_bench.kv_service._faults import Faults, Rate
from fennelfork_bench.kv_service._log import Call, CallLog, Outcome
from fennelfork_bench.kv_service._decoding import BadRequestError
from fennelfork_bench.kv_service._stream import Streams
from fennelfork_bench.rig._serving import (
    Answer,
    Json,
    StartResponse,
    TooLargeError,
    cut,
    read_json,
    send,
)

_LIMIT_BYTES: Final = 1_572_864
_EXPIRY_S: Final = 0.05
_MS_PER_S: Final = 1000
_WATCH: Final = '/v3/watch'
_OK: Final = '200 OK'
_BAD: Final = '400 Bad Request'
_INVALID: Final = 3
_UNAVAILABLE: Final = 8


@attrs.frozen(kw_only=True)
class Application:
    """Routes calls, applies faults and rates, and keeps the call log."""

    _service: KeyValueService
    _clock: Clock
    _faults: Faults
    _log: CallLog
    _reads: Rate
    _writes: Rate
    _streams: Streams
    _control: Control

    def __call__(
        self,
        environ: Json,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request."""
        path = environ['PATH_INFO']
        try:
            body = read_json(environ, _LIMIT_BYTES)
        except TooLargeError:
            answer = problem(
                _BAD,
                _INVALID,
                'etcdserver: request is too large',
            )
            return send(answer, start_response)
        except ValueError as error:
            answer = problem(_BAD, _INVALID, str(error))
            return send(answer, start_response)
        if path.startswith('/control/'):
            return send(self._control.answer(environ, body), start_response)
        return self._call(environ, body, start_response)

    def expire_forever(self) -> None:
        """End leases as they lapse; runs in a green thread of its own."""
        for _ in itertools.count():
            self._service.leases.expire()
            eventlet.sleep(_EXPIRY_S)

    def _call(
        self,
        environ: Json,
        body: Json,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        if self._faults.slow_ms:
            eventlet.sleep(self._faults.slow_ms / _MS_PER_S)
        if self._faults.down:
            self._note(environ, Outcome.CUT)
            cut(environ)
        rate = self._writes if path in WRITES else self._reads
        if self._faults.refuse or not rate.take():
            self._note(environ, Outcome.REFUSED)
            return send(_too_many(), start_response)
        if path == _WATCH:
            self._note(environ, Outcome.DONE)
            environ['eventlet.minimum_write_chunk_size'] = 1
            return self._streams.answer(environ, body, start_response)
        answer = self._answer(path, body)
        done = answer.status == _OK
        if path in WRITES and done and self._faults.takes_reply():
            self._note(environ, Outcome.REPLY_LOST)
            cut(environ)
        self._note(environ, Outcome.DONE if done else Outcome.REJECTED)
        return send(answer, start_response)

    def _answer(self, path: str, body: Json) -> Answer:
        call = READS.get(path) or WRITES.get(path)
        if call is None:
            return problem('404 Not Found', _INVALID, 'Not Found')
        try:
            return call(self._service, body)
        except BadRequestError as error:
            return problem(_BAD, _INVALID, str(error))

    def _note(self, environ: Json, outcome: Outcome) -> None:
        call = Call(
            at_ms=self._clock.now_ms(),
            name=environ['PATH_INFO'].removeprefix('/v3/'),
            outcome=outcome,
            body_bytes=int(environ.get('CONTENT_LENGTH') or 0),
        )
        self._log.add(call)


def application(
    clock: Clock,
    reads_per_s: float = 0,
    writes_per_s: float = 0,
) -> Application:
    """Build the application over an empty store.

    Args:
        clock: time of leases, rates and the call log.
        reads_per_s: ranges and watches above this rate are refused; 0: none.
        writes_per_s: the same for writes and lease calls.
    """
    service = key_value_service(clock)
    faults = Faults()
    log = CallLog()
    return Application(
        service=service,
        clock=clock,
        faults=faults,
        log=log,
        reads=Rate(per_s=reads_per_s, clock=clock),
        writes=Rate(per_s=writes_per_s, clock=clock),
        streams=Streams(service=service, faults=faults),
        control=Control(
            service=service,
            clock=clock,
            faults=faults,
            log=log,
        ),
    )


def _too_many() -> Answer:
    return problem(
        '429 Too Many Requests',
        _UNAVAILABLE,
        'etcdserver: too many requests',
    )

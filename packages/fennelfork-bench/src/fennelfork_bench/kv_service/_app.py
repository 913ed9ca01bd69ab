"""WSGI application of the key-value stand-in."""

import itertools
from collections.abc import Iterable
from typing import Final

import attrs
import eventlet

from fennelfork import Clock
from fennelfork_bench.kv_service._control import Control
from fennelfork_bench.kv_service._decoding import BadRequestError
from fennelfork_bench.kv_service._faults import Faults, RateLimiter
from fennelfork_bench.kv_service._handlers import (
    READ_HANDLERS,
    WRITE_HANDLERS,
    KeyValueService,
    build_error,
    key_value_service,
)
from fennelfork_bench.kv_service._log import CallLog, CallRecord, Outcome
from fennelfork_bench.kv_service._stream import WatchStreams
from fennelfork_bench.rig._serving import (
    Json,
    Response,
    StartResponse,
    TooLargeError,
    close_connection,
    read_json,
    send_response,
)

_MAX_BODY_BYTES: Final = 1_572_864
_EXPIRY_INTERVAL_S: Final = 0.05
_MS_PER_S: Final = 1000
_WATCH_PATH: Final = '/v3/watch'
_OK: Final = '200 OK'
_BAD_REQUEST: Final = '400 Bad Request'
_INVALID_ARGUMENT: Final = 3
_UNAVAILABLE: Final = 8


@attrs.frozen(kw_only=True)
class Application:
    """Dispatch calls, inject faults, limit rates and log the calls."""

    _service: KeyValueService
    _clock: Clock
    _faults: Faults
    _log: CallLog
    _read_limiter: RateLimiter
    _write_limiter: RateLimiter
    _streams: WatchStreams
    _control: Control

    def __call__(
        self,
        environ: Json,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Return the response to one HTTP request."""
        path = environ['PATH_INFO']
        try:
            body = read_json(environ, _MAX_BODY_BYTES)
        except TooLargeError:
            answer = build_error(
                _BAD_REQUEST,
                _INVALID_ARGUMENT,
                'etcdserver: request is too large',
            )
            return send_response(answer, start_response)
        except ValueError as error:
            answer = build_error(_BAD_REQUEST, _INVALID_ARGUMENT, str(error))
            return send_response(answer, start_response)
        if path.startswith('/control/'):
            return send_response(
                self._control.answer(environ, body), start_response
            )
        return self._handle_call(environ, body, start_response)

    def run_lease_expiry(self) -> None:
        """Revoke expired leases in a loop that runs in a green thread."""
        for _ in itertools.count():
            self._service.leases.revoke_expired()
            eventlet.sleep(_EXPIRY_INTERVAL_S)

    def _handle_call(
        self,
        environ: Json,
        body: Json,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        if self._faults.slow_ms:
            eventlet.sleep(self._faults.slow_ms / _MS_PER_S)
        if self._faults.down:
            self._record_call(environ, Outcome.CUT)
            close_connection(environ)
        limiter = (
            self._write_limiter
            if path in WRITE_HANDLERS
            else self._read_limiter
        )
        if self._faults.refuse or not limiter.try_acquire():
            self._record_call(environ, Outcome.REFUSED)
            return send_response(_build_rate_limit_error(), start_response)
        if path == _WATCH_PATH:
            self._record_call(environ, Outcome.DONE)
            environ['eventlet.minimum_write_chunk_size'] = 1
            return self._streams.answer(environ, body, start_response)
        answer = self._run_handler(path, body)
        has_succeeded = answer.status == _OK
        if (
            path in WRITE_HANDLERS
            and has_succeeded
            and self._faults.consume_lost_reply()
        ):
            self._record_call(environ, Outcome.REPLY_LOST)
            close_connection(environ)
        self._record_call(
            environ, Outcome.DONE if has_succeeded else Outcome.REJECTED
        )
        return send_response(answer, start_response)

    def _run_handler(self, path: str, body: Json) -> Response:
        handler = READ_HANDLERS.get(path) or WRITE_HANDLERS.get(path)
        if handler is None:
            return build_error('404 Not Found', _INVALID_ARGUMENT, 'Not Found')
        try:
            return handler(self._service, body)
        except BadRequestError as error:
            return build_error(_BAD_REQUEST, _INVALID_ARGUMENT, str(error))

    def _record_call(self, environ: Json, outcome: Outcome) -> None:
        record = CallRecord(
            at_ms=self._clock.now_ms(),
            name=environ['PATH_INFO'].removeprefix('/v3/'),
            outcome=outcome,
            body_bytes=int(environ.get('CONTENT_LENGTH') or 0),
        )
        self._log.record(record)


def application(
    clock: Clock,
    reads_per_s: float = 0,
    writes_per_s: float = 0,
) -> Application:
    """Build the application over an empty store.

    Args:
        clock: clock of the leases, the rate limits and the call log.
        reads_per_s: rate limit of ranges and watches; 0 means no limit.
        writes_per_s: rate limit of writes and lease calls; 0 means no limit.
    """
    service = key_value_service(clock)
    faults = Faults()
    log = CallLog()
    return Application(
        service=service,
        clock=clock,
        faults=faults,
        log=log,
        read_limiter=RateLimiter(per_s=reads_per_s, clock=clock),
        write_limiter=RateLimiter(per_s=writes_per_s, clock=clock),
        streams=WatchStreams(service=service, faults=faults),
        control=Control(
            service=service,
            clock=clock,
            faults=faults,
            log=log,
        ),
    )


def _build_rate_limit_error() -> Response:
    return build_error(
        '429 Too Many Requests',
        _UNAVAILABLE,
        'etcdserver: too many requests',
    )

"""Responses to `/v3/watch`: streams with one JSON message per line."""

import json
from collections.abc import Iterable, Iterator
from typing import Final

import attrs
import eventlet

from fennelfork_bench.kv_service import _decoding as decoding
from fennelfork_bench.kv_service._encoding import encode_event, encode_header
from fennelfork_bench.kv_service._faults import Faults
from fennelfork_bench.kv_service._handlers import KeyValueService, build_error
from fennelfork_bench.kv_service._watch import Watch
from fennelfork_bench.rig._serving import (
    Json,
    StartResponse,
    close_connection,
    is_peer_closed,
    send_response,
)

_POLL_INTERVAL_S: Final = 0.005
_PEER_CHECK_INTERVAL_POLLS: Final = 40
_INVALID_ARGUMENT: Final = 3


@attrs.frozen(kw_only=True)
class WatchStreams:
    """Serve watches as streams of events."""

    _service: KeyValueService
    _faults: Faults

    def answer(
        self,
        environ: Json,
        body: Json,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Return the response stream of one watch request."""
        request = decoding.get_field(body, 'create_request') or {}
        try:
            key_range = decoding.decode_key_range(request)
        except decoding.BadRequestError as error:
            error_answer = build_error(
                '400 Bad Request', _INVALID_ARGUMENT, str(error)
            )
            return send_response(error_answer, start_response)
        start_response('200 OK', [('Content-Type', 'application/json')])
        start_revision = decoding.decode_int(request, 'start_revision')
        if 0 < start_revision <= self._service.store.compacted_revision:
            return iter(
                (self._encode_compaction(),)
            )  # an iterator selects chunked encoding
        watch = self._service.hub.open(key_range, start_revision)
        return self._run_watch(environ, watch)

    def _run_watch(self, environ: Json, watch: Watch) -> Iterator[bytes]:
        try:
            yield from self._generate_messages(environ, watch)
        except GeneratorExit:
            self._service.hub.close(watch)
            raise
        self._service.hub.close(watch)
        close_connection(environ)

    def _generate_messages(
        self, environ: Json, watch: Watch
    ) -> Iterator[bytes]:
        yield self._encode_message({'created': True})
        polls = 0
        while not (self._faults.down or watch.is_cancelled):
            while watch.pending and not self._faults.stall_watches:
                events = watch.pending.popleft()
                yield self._encode_message(
                    {'events': list(map(encode_event, events))}
                )
            polls += 1
            if polls % _PEER_CHECK_INTERVAL_POLLS == 0 and is_peer_closed(
                environ
            ):
                return
            eventlet.sleep(_POLL_INTERVAL_S)

    def _encode_compaction(self) -> bytes:
        compacted = self._service.store.compacted_revision
        return self._encode_message(
            {'canceled': True, 'compact_revision': str(compacted)},
        )

    def _encode_message(self, fields: Json) -> bytes:
        current = encode_header(self._service.store.revision)
        line = json.dumps({'result': {'header': current, **fields}})
        return f'{line}\n'.encode()

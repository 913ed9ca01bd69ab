"""Answers to `/v3/watch`: one JSON line a message, as long as both live."""

import json
from collections.abc import Iterable, Iterator
from typing import Final

import attrs
import eventlet

from fennelfork_bench.kv_service import _decoding as decoding
from fennelfork_bench.kv_service._handlers import KeyValueService, problem
from fennelfork_bench.kv_service._faults import Faults
from fennelfork_bench.kv_service._watch import Watch
from fennelfork_bench.kv_service._encoding import header, write_event
from fennelfork_bench.rig._serving import (
    Json,
    StartResponse,
    cut,
    peer_is_gone,
    send,
)

_TICK_S: Final = 0.005
_PEER_CHECK_TICKS: Final = 40
_INVALID: Final = 3


@attrs.frozen(kw_only=True)
class Streams:
    """Streams the changes that watches wait for."""

    _service: KeyValueService
    _faults: Faults

    def answer(
        self,
        environ: Json,
        body: Json,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request for a watch."""
        create = decoding.member(body, 'create_request') or {}
        try:
            span = decoding.read_span(create)
        except decoding.BadRequestError as error:
            bad = problem('400 Bad Request', _INVALID, str(error))
            return send(bad, start_response)
        start_response('200 OK', [('Content-Type', 'application/json')])
        start_revision = decoding.number(create, 'start_revision')
        if 0 < start_revision <= self._service.store.compacted:
            return iter((self._compacted(),))  # no length: sent in chunks
        watch = self._service.hub.open(span, start_revision)
        return self._stream(environ, watch)

    def _stream(self, environ: Json, watch: Watch) -> Iterator[bytes]:
        try:
            yield from self._lines(environ, watch)
        except GeneratorExit:
            self._service.hub.close(watch)
            raise
        self._service.hub.close(watch)
        cut(environ)

    def _lines(self, environ: Json, watch: Watch) -> Iterator[bytes]:
        yield self._line({'created': True})
        ticks = 0
        while not (self._faults.down or watch.ended):
            while watch.pending and not self._faults.stall_watches:
                events = watch.pending.popleft()
                yield self._line({'events': list(map(write_event, events))})
            ticks += 1
            if ticks % _PEER_CHECK_TICKS == 0 and peer_is_gone(environ):
                return
            eventlet.sleep(_TICK_S)

    def _compacted(self) -> bytes:
        compacted = self._service.store.compacted
        return self._line(
            {'canceled': True, 'compact_revision': str(compacted)},
        )

    def _line(self, members: Json) -> bytes:
        current = header(self._service.store.revision)
        line = json.dumps({'result': {'header': current, **members}})
        return f'{line}\n'.encode()

"""The platform's lagging list of VMs."""

from collections import deque
from collections.abc import Iterable
from typing import Any, Final

import attrs

from fennelfork import Clock
from fennelfork_bench.rig._serving import (
    Answer,
    Json,
    StartResponse,
    TooLargeError,
    cut,
    read_json,
    send,
)

_LIMIT_BYTES: Final = 1_048_576
_HISTORY: Final = 1000
_OK: Final = '200 OK'
_BAD: Final = '400 Bad Request'


@attrs.frozen(kw_only=True)
class Sighting:
    """The list as it truly was from `at_ms` on."""

    at_ms: float
    vms: list[dict[str, Any]]


@attrs.define(kw_only=True)
class VmList:
    """Truth and what of it is shown.

    Attributes:
        lag_ms: a change shows only when it is this old.
        down: each read is cut.
        reads: how many reads were answered or cut.
    """

    lag_ms: float = 0
    down: bool = False
    reads: int = 0
    _clock: Clock
    _history: deque[Sighting] = attrs.field(
        factory=lambda: deque(maxlen=_HISTORY),
    )

    def set_truth(self, vms: list[dict[str, Any]]) -> None:
        """Change the truth."""
        now_ms = self._clock.now_ms()
        self._history.append(Sighting(at_ms=now_ms, vms=vms))

    def shown(self) -> list[dict[str, Any]]:
        """Give the newest list that is as old as the lag, the first if none."""
        horizon_ms = self._clock.now_ms() - self.lag_ms
        shown: list[dict[str, Any]] = []
        for index, sighting in enumerate(self._history):
            if index == 0 or sighting.at_ms <= horizon_ms:
                shown = sighting.vms
        return shown


@attrs.frozen(kw_only=True)
class Application:
    """The list as a WSGI application."""

    _vm_list: VmList

    def __call__(
        self,
        environ: Json,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request."""
        try:
            body = read_json(environ, _LIMIT_BYTES)
        except (TooLargeError, ValueError) as error:
            answer = Answer(status=_BAD, body={'detail': str(error)})
            return send(answer, start_response)
        return send(self._answer(environ, body), start_response)

    def _answer(self, environ: Json, body: Json) -> Answer:
        call = f'{environ["REQUEST_METHOD"]} {environ["PATH_INFO"]}'
        if call == 'GET /v1/vms':
            self._vm_list.reads += 1
            if self._vm_list.down:
                cut(environ)
            return Answer(status=_OK, body={'vms': self._vm_list.shown()})
        if call == 'PUT /control/vms':
            self._vm_list.set_truth(list(body.get('vms', ())))
            return Answer(status=_OK, body={})
        if call == 'POST /control/faults':
            self._vm_list.lag_ms = body.get('lag_ms', self._vm_list.lag_ms)
            self._vm_list.down = body.get('down', self._vm_list.down)
            return Answer(status=_OK, body={})
        if call == 'GET /control/log':
            return Answer(status=_OK, body={'reads': self._vm_list.reads})
        return Answer(status='404 Not Found', body={'detail': call})


def application(clock: Clock, lag_ms: float = 0) -> Application:
    """Build the application over an empty list."""
    return Application(vm_list=VmList(clock=clock, lag_ms=lag_ms))

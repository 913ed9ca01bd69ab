"""WSGI application of the VM list stand-in, which lags behind changes."""

from collections import deque
from collections.abc import Iterable
from typing import Any, Final

import attrs

from fennelfork import Clock
from fennelfork_bench.rig._serving import (
    Json,
    Response,
    StartResponse,
    TooLargeError,
    close_connection,
    read_json,
    send_response,
)

_MAX_BODY_BYTES: Final = 1_048_576
_MAX_VERSIONS: Final = 1000
_OK: Final = '200 OK'
_BAD_REQUEST: Final = '400 Bad Request'


@attrs.frozen(kw_only=True)
class VmListVersion:
    """Version of the VM list that replaces the previous version.

    Attributes:
        at_ms: time of the replacement in milliseconds.
        vms: VMs in this version of the list.
    """

    at_ms: float
    vms: list[dict[str, Any]]


@attrs.define(kw_only=True)
class VmList:
    """Versions of the VM list, shown to readers after a lag.

    Attributes:
        lag_ms: age in milliseconds at which a change becomes visible.
        is_down: whether the connection of each reader is closed without an
            answer.
        read_count: number of reads, including unanswered reads.
    """

    lag_ms: float = 0
    is_down: bool = False
    read_count: int = 0
    _clock: Clock
    _history: deque[VmListVersion] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_VERSIONS),
    )

    def set_vms(self, vms: list[dict[str, Any]]) -> None:
        """Replace the VM list."""
        now_ms = self._clock.now_ms()
        self._history.append(VmListVersion(at_ms=now_ms, vms=vms))

    def visible_vms(self) -> list[dict[str, Any]]:
        """Return the newest VM list older than the lag, else the first list."""
        horizon_ms = self._clock.now_ms() - self.lag_ms
        visible_vms: list[dict[str, Any]] = []
        for index, version in enumerate(self._history):
            if index == 0 or version.at_ms <= horizon_ms:
                visible_vms = version.vms
        return visible_vms


@attrs.frozen(kw_only=True)
class Application:
    """WSGI application that serves the VM list."""

    _vm_list: VmList

    def __call__(
        self,
        environ: Json,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Handle one HTTP request."""
        try:
            body = read_json(environ, _MAX_BODY_BYTES)
        except (TooLargeError, ValueError) as error:
            answer = Response(status=_BAD_REQUEST, body={'detail': str(error)})
            return send_response(answer, start_response)
        return send_response(self._answer(environ, body), start_response)

    def _answer(self, environ: Json, body: Json) -> Response:
        route = f'{environ["REQUEST_METHOD"]} {environ["PATH_INFO"]}'
        if route == 'GET /v1/vms':
            self._vm_list.read_count += 1
            if self._vm_list.is_down:
                close_connection(environ)
            return Response(
                status=_OK, body={'vms': self._vm_list.visible_vms()}
            )
        if route == 'PUT /control/vms':
            self._vm_list.set_vms(list(body.get('vms', ())))
            return Response(status=_OK, body={})
        if route == 'POST /control/faults':
            self._vm_list.lag_ms = body.get('lag_ms', self._vm_list.lag_ms)
            self._vm_list.is_down = body.get('down', self._vm_list.is_down)
            return Response(status=_OK, body={})
        if route == 'GET /control/log':
            return Response(
                status=_OK, body={'reads': self._vm_list.read_count}
            )
        return Response(status='404 Not Found', body={'detail': route})


def application(clock: Clock, lag_ms: float = 0) -> Application:
    """Build the application with an empty VM list."""
    return Application(vm_list=VmList(clock=clock, lag_ms=lag_ms))

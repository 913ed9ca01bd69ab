"""Monitor of a backend server that refused a request as draining."""

import contextlib
import random
from collections.abc import Callable
from typing import Final

import attrs
import eventlet
from returns.pipeline import is_successful

from fennelfork.config import Backoff
from fennelfork.servers import DrainState
from fennelfork_daemon._address import Address
from fennelfork_daemon.backend._connection import (
    BackendConnection,
    backend_connection,
)
from fennelfork_daemon.backend._liveness import has_server_crashed
from fennelfork_daemon.backend._request import JsonRequest
from fennelfork_daemon.backend._response import read_health, read_json

_MS: Final = 1000
_TIMEOUT_MS: Final = 400.0
_MAX_HEALTH_BYTES: Final = 1_048_576
_HEALTH: Final = JsonRequest(
    path='/v1/health', body=None, timeout_ms=_TIMEOUT_MS
)
_MIN_INTERVAL_MS: Final = 400
# A drain may take hours, and many daemons may monitor the same server.
_MAX_INTERVAL_MS: Final = 10_000
_INTERVAL: Final = Backoff(base_ms=_MIN_INTERVAL_MS, cap_ms=_MAX_INTERVAL_MS)


@attrs.define(kw_only=True)
class DrainMonitor:
    """Collects the evidence that ends the drain of one server.

    The monitor sends no work. It keeps a connection open, since the loss of a
    connection and a refused new connection prove that the process has ended,
    however fast the next process starts.
    """

    _address: Address
    _drain: DrainState
    _is_current: Callable[[], bool]
    _rng: random.Random
    _checks: int = 0

    @property
    def is_needed(self) -> bool:
        """Whether the server drains and its state is still in use."""
        return self._drain.is_draining and self._is_current()

    def run(self) -> str:
        """Monitor the server until it does not drain, or is not in use.

        Returns:
            The evidence that ended the monitoring, for the log.
        """
        while self.is_needed:
            self._follow_one_connection()
            if not self.is_needed:
                break
            if has_server_crashed(self._address):
                self._drain.record_process_ended()
                return 'end of the process'
            eventlet.sleep(self._next_delay_ms() / _MS)
        return 'health report' if self._is_current() else 'configuration'

    def _follow_one_connection(self) -> None:
        """Poll the health on a new connection until the connection is lost."""
        connection = backend_connection(self._address, _MAX_HEALTH_BYTES)
        with contextlib.closing(connection):
            is_open = is_successful(connection.open(_TIMEOUT_MS))
            while is_open and self.is_needed:
                is_open = self._poll(
                    connection
                ) and not connection.closes_within(self._next_delay_ms())

    def _poll(self, connection: BackendConnection) -> bool:
        """Record the health of the server.

        Returns:
            Whether the connection is still usable.
        """
        response = connection.exchange(_HEALTH)
        report = response.bind(read_json).bind(read_health).value_or(None)
        if report is not None and self.is_needed:
            self._drain.record_report(draining=report.draining)
        return is_successful(response) and connection.is_open

    def _next_delay_ms(self) -> float:
        self._checks += 1
        return _INTERVAL.delay_ms(self._checks, self._rng)


def drain_monitor(
    server_address: Address,
    drain: DrainState,
    is_current: Callable[[], bool],
) -> DrainMonitor:
    """Build the monitor of a server that refused a request as draining.

    Args:
        server_address: address of the server.
        drain: state that receives the evidence.
        is_current: function that returns whether the state is still in use.
    """
    return DrainMonitor(
        address=server_address,
        drain=drain,
        is_current=is_current,
        rng=random.Random(),
    )

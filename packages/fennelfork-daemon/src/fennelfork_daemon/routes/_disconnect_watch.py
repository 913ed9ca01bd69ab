"""Detection of callers that disconnect during their request."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import attrs
from eventlet import hubs, spawn
from eventlet.green import socket

from fennelfork_daemon.http._wsgi_protocol import CONNECTION_KEY


@attrs.frozen(kw_only=True)
class DisconnectWatch:
    """Watch for the close of the connection of a caller."""

    _connection: Any

    @contextmanager
    def call_on_disconnect(
        self, on_disconnect: Callable[[], None]
    ) -> Iterator[None]:
        """Call `on_disconnect` if the caller disconnects within the block.

        A caller that has disconnected before is reported at once.
        """
        if self._is_closed():
            on_disconnect()
        watcher = spawn(self._wait_for_close, on_disconnect)
        try:
            yield
        finally:
            watcher.kill()

    def _wait_for_close(self, on_disconnect: Callable[[], None]) -> None:
        try:
            hubs.trampoline(self._connection.fileno(), read=True)
        except (OSError, hubs.IOClosed):
            on_disconnect()
            return
        if self._is_closed():
            on_disconnect()

    def _is_closed(self) -> bool:
        """Whether the connection is closed instead of having data to read."""
        raw_socket = self._connection.fd
        try:
            return not raw_socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True


def disconnect_watch(environ: dict[str, Any]) -> DisconnectWatch:
    """Build the watch of the caller of a WSGI request."""
    return DisconnectWatch(connection=environ[CONNECTION_KEY])

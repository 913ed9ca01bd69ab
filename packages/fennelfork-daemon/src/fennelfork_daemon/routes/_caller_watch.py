"""Notices that a caller leaves while its request is worked on."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import attrs
from eventlet import hubs, spawn
from eventlet.green import socket


@attrs.frozen(kw_only=True)
class CallerWatch:
    """Watches the connection of a caller for its end."""

    _connection: Any

    @contextmanager
    def leaving(self, on_leave: Callable[[], None]) -> Iterator[None]:
        """Call a function if the caller closes within the block."""
        watcher = spawn(self._wait, on_leave)
        try:
            yield
        finally:
            watcher.kill()

    def _wait(self, on_leave: Callable[[], None]) -> None:
        try:
            hubs.trampoline(self._connection.fileno(), read=True)
        except (OSError, hubs.IOClosed):
            on_leave()
            return
        if self._ended():
            on_leave()

    def _ended(self) -> bool:
        """Tell the end of the connection from the next request on it."""
        plain = self._connection.fd
        try:
            return not plain.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

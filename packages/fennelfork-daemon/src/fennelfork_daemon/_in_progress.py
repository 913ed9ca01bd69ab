"""Counts requests in progress, for a stop that cuts none."""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

import attrs

from fennelfork_daemon.http._wsgi_protocol import CLOSE_KEY

Application = Callable[..., Iterable[bytes]]


@attrs.define(kw_only=True)
class InProgress:
    """How many requests are being served.

    Attributes:
        count: from when a request was read to when its answer was written.
    """

    count: int = 0

    @contextmanager
    def one(self) -> Iterator[None]:
        """Count one request for the length of a block."""
        self.begin()
        try:
            yield
        finally:
            self.finish()

    def begin(self) -> None:
        """Count a request as being served."""
        self.count += 1

    def finish(self) -> None:
        """Count a request as done."""
        self.count -= 1


@attrs.frozen(kw_only=True)
class _Body:
    """The body of an answer; eventlet closes it once it is written."""

    _parts: Iterable[bytes]
    _done: Callable[[], None]

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._parts)

    def close(self) -> None:
        """Note that the answer was written, or that it cannot be."""
        self._done()


@attrs.frozen(kw_only=True)
class CountedApplication:
    """A WSGI application whose requests are counted.

    While the daemon leaves, each answer ends its connection, so that no
    caller sends a request into a connection that is about to be closed.
    """

    _application: Application
    _in_progress: InProgress
    _is_leaving: Callable[[], bool]

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Answer one request."""
        if self._is_leaving():
            environ[CLOSE_KEY]()
        self._in_progress.begin()
        try:
            parts = self._application(environ, start_response)
        except BaseException:
            self._in_progress.finish()
            raise
        return _Body(parts=parts, done=self._in_progress.finish)

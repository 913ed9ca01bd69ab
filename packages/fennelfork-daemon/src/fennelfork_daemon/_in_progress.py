"""Counter of requests in progress, for the graceful stop."""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

import attrs

from fennelfork_daemon.http._wsgi_protocol import CLOSE_KEY

Application = Callable[..., Iterable[bytes]]


@attrs.define(kw_only=True)
class InProgress:
    """Counter of requests in progress.

    Attributes:
        count: number of requests that were read and whose answers are not
            completely written.
    """

    count: int = 0

    @contextmanager
    def count_request(self) -> Iterator[None]:
        """Count a request as in progress within a `with` block."""
        self.begin()
        try:
            yield
        finally:
            self.finish()

    def begin(self) -> None:
        """Count a request as in progress."""
        self.count += 1

    def finish(self) -> None:
        """Count a request as finished."""
        self.count -= 1


@attrs.frozen(kw_only=True)
class _Body:
    """Body of an answer; eventlet closes the body after the last write."""

    _chunks: Iterable[bytes]
    _on_close: Callable[[], None]

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._chunks)

    def close(self) -> None:
        """Report that the answer is written or that writing failed."""
        self._on_close()


@attrs.frozen(kw_only=True)
class CountedApplication:
    """WSGI application that counts requests in progress.

    While the daemon leaves, each answer closes the connection, so that no
    caller sends a request on a connection that is about to be closed.
    """

    _application: Application
    _in_progress: InProgress
    _is_leaving: Callable[[], bool]

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Answer a request and count the request until the body is closed."""
        if self._is_leaving():
            environ[CLOSE_KEY]()
        self._in_progress.begin()
        try:
            chunks = self._application(environ, start_response)
        except BaseException:
            self._in_progress.finish()
            raise
        return _Body(chunks=chunks, on_close=self._in_progress.finish)

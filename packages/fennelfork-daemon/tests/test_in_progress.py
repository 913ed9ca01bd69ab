"""Tests of counting requests in progress."""

from typing import Any

import pytest

from fennelfork_daemon._in_progress import CountedApplication, InProgress
from fennelfork_daemon.http._wsgi_protocol import CLOSE_KEY


class _CountingApplication:
    """Application that records the count of requests in progress."""

    def __init__(self, in_progress: InProgress) -> None:
        self.in_progress = in_progress
        self.observed_count = 0

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Answer, or raise an error if the request has the key `fails`."""
        self.observed_count = self.in_progress.count
        if environ.get('fails'):
            raise ValueError
        return [b'answer']


class _Harness:
    """Counted application and the number of closed connections."""

    def __init__(self, *, leaving: bool = False) -> None:
        self.in_progress = InProgress()
        self.inner = _CountingApplication(self.in_progress)
        self.closed_connections = 0
        self.counted = CountedApplication(
            application=self.inner,
            in_progress=self.in_progress,
            is_leaving=lambda: leaving,
        )

    def close_connection(self) -> None:
        """Count a closed connection."""
        self.closed_connections += 1

    def send_request(self, **extra: Any) -> Any:
        """Send one request to the application."""
        environ = {CLOSE_KEY: self.close_connection, **extra}
        return self.counted(environ, None)


class TestCountedApplication:
    """Requests that a graceful stop waits for."""

    def test_counts_until_the_answer_is_written(self) -> None:
        """A request counts until the server closes the body."""
        harness = _Harness()
        body = harness.send_request()
        assert list(body) == [b'answer']
        assert (harness.inner.observed_count, harness.in_progress.count) == (
            1,
            1,
        )
        body.close()
        assert harness.in_progress.count == 0

    def test_failed_request_is_uncounted(self) -> None:
        """A request that raises an error is not counted afterwards."""
        harness = _Harness()
        with pytest.raises(ValueError):
            harness.send_request(fails=True)
        assert harness.in_progress.count == 0

    @pytest.mark.parametrize('leaving', [True, False])
    def test_answers_close_connections_while_leaving(
        self,
        *,
        leaving: bool,
    ) -> None:
        """Answers close connections only while the daemon leaves."""
        harness = _Harness(leaving=leaving)
        harness.send_request().close()
        assert harness.closed_connections == int(leaving)

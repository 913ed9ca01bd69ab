"""Counting of requests in progress."""

from typing import Any

import pytest

from fennelfork_daemon._in_progress import CountedApplication, InProgress
from fennelfork_daemon.http._wsgi_protocol import CLOSE_KEY


class _CountingApplication:
    """Remembers how many requests were counted while it ran."""

    def __init__(self, in_progress: InProgress) -> None:
        self.in_progress = in_progress
        self.seen = 0

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Answer, or fail if the request says so."""
        self.seen = self.in_progress.count
        if environ.get('fails'):
            raise ValueError
        return [b'answer']


class _Case:
    """One counted application and what became of connections."""

    def __init__(self, *, leaving: bool = False) -> None:
        self.in_progress = InProgress()
        self.inner = _CountingApplication(self.in_progress)
        self.ended = 0
        self.counted = CountedApplication(
            application=self.inner,
            in_progress=self.in_progress,
            is_leaving=lambda: leaving,
        )

    def end_connection(self) -> None:
        """Count an end of a connection."""
        self.ended += 1

    def ask(self, **extra: Any) -> Any:
        """Make one request."""
        environ = {CLOSE_KEY: self.end_connection, **extra}
        return self.counted(environ, None)


class TestCountedApplication:
    """What a stop has to wait for."""

    def test_counts_until_the_answer_is_written(self) -> None:
        """The server closes the body after the last byte."""
        case = _Case()
        body = case.ask()
        assert list(body) == [b'answer']
        assert (case.inner.seen, case.in_progress.count) == (1, 1)
        body.close()
        assert case.in_progress.count == 0

    def test_failed_request_is_not_counted_for_ever(self) -> None:
        """An error leaves the count as it was."""
        case = _Case()
        with pytest.raises(ValueError):
            case.ask(fails=True)
        assert case.in_progress.count == 0

    @pytest.mark.parametrize('leaving', [True, False])
    def test_answers_end_connections_while_leaving(
        self,
        *,
        leaving: bool,
    ) -> None:
        """Only then, so that keep-alive works at other times."""
        case = _Case(leaving=leaving)
        case.ask().close()
        assert case.ended == int(leaving)

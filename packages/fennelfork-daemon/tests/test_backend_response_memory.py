"""Responses that are read at the same time.

Guards against servers that take the memory of the daemon together.
"""

import io
from collections.abc import Callable
from unittest.mock import Mock

import pytest
import urllib3
from returns.pipeline import is_successful
from returns.result import Result

from fennelfork import Failure, FailureCode, Verdict
from fennelfork_daemon.backend._response_memory import (
    ResponseMemory,
    response_memory,
)

_FREE_BYTES = 65_536
_MAX_BYTES = 200_000
_LONG = bytes(150_000)


class _ObservedBody(io.BytesIO):
    """Body that calls a function at its end."""

    on_end: Callable[[], object]

    def read(self, size: int | None = -1) -> bytes:
        """Read a part of the body."""
        block = super().read(size)
        if not block:
            self.on_end()
        return block


def _response(
    body: bytes, on_end: Callable[[], object] = bool
) -> urllib3.HTTPResponse:
    observed = _ObservedBody(body)
    observed.on_end = on_end
    return urllib3.HTTPResponse(observed, preload_content=False)


@pytest.fixture
def memory() -> ResponseMemory:
    """Build a memory for one long response beside another."""
    return response_memory(140_000)


def test_body_is_read(memory: ResponseMemory) -> None:
    """A body of several blocks is read whole."""
    body = bytes(range(250)) * 600
    assert memory.read_body(_response(body), _MAX_BYTES).unwrap() == body


def test_long_body_is_refused(memory: ResponseMemory) -> None:
    """The limit on one body holds beside the limit on all of them."""
    failure = memory.read_body(_response(_LONG), len(_LONG) - 1).failure()
    assert failure.code is FailureCode.BAD_REPLY
    assert failure.verdict is Verdict.MAY_HAVE_RUN


def test_bodies_share_the_memory(memory: ResponseMemory) -> None:
    """A second long body is refused while the first one is read."""
    inner: list[Result[bytes, Failure]] = []
    bodies = iter((_LONG, bytes(9)))
    outer = memory.read_body(
        _response(
            _LONG,
            lambda: inner.extend(
                memory.read_body(_response(body), _MAX_BYTES) for body in bodies
            ),
        ),
        _MAX_BYTES,
    )
    assert len(outer.unwrap()) == len(_LONG)
    assert inner[0].failure().verdict is Verdict.MAY_HAVE_RUN
    assert len(inner[1].unwrap()) == 9


@pytest.mark.parametrize('error', [OSError, KeyboardInterrupt])
def test_memory_is_released(
    memory: ResponseMemory, error: type[BaseException]
) -> None:
    """A response that fails, or whose thread is killed, holds no memory."""
    for _ in range(5):
        failing = _response(_LONG, Mock(side_effect=error))
        with pytest.raises((urllib3.exceptions.ProtocolError, error)):
            memory.read_body(failing, _MAX_BYTES)
    assert is_successful(memory.read_body(_response(_LONG), _MAX_BYTES))


def test_small_bodies_need_no_memory() -> None:
    """Usual responses are read while no memory is left."""
    body = bytes(_FREE_BYTES)
    assert is_successful(
        response_memory(0).read_body(_response(body), _MAX_BYTES)
    )

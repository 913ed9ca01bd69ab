"""Limit on the memory of responses that are read at the same time."""

import contextlib
from typing import Final

import attrs
import urllib3
from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import Failure, FailureCode, may_have_run

# Size of one read, and of the part of each response without a reservation.
_BLOCK_BYTES: Final = 65_536


@attrs.define(kw_only=True)
class ResponseMemory:
    """Memory that many responses share while their bodies are read.

    A server that sends without end on many connections would otherwise take
    the memory of the daemon, with a limit on each response alone.
    """

    _max_bytes: int
    _reserved_bytes: int = 0

    def read_body(
        self, response: urllib3.BaseHTTPResponse, max_bytes: int
    ) -> Result[bytes, Failure]:
        """Read the body of a response.

        Args:
            response: response whose body has not been read.
            max_bytes: size limit of this body, in bytes.

        Returns:
            The body, or a `BAD_REPLY` failure if the body or all bodies
            together are too long.
        """
        blocks: list[bytes] = []
        reservation = _Reservation(memory=self)
        with contextlib.ExitStack() as cleanup:
            # Also runs when the green thread is killed.
            cleanup.callback(reservation.release)
            while block := response.read(_BLOCK_BYTES):
                blocks.append(block)
                reservation.length += len(block)
                if reservation.length > max_bytes:
                    return _too_long(
                        f'the response is longer than {max_bytes} bytes'
                    )
                if not reservation.cover_length():
                    return _too_long(
                        'the responses that are read at the same time exceed '
                        f'{self._max_bytes} bytes'
                    )
        return Success(b''.join(blocks))

    def reserve(self, byte_count: int) -> bool:
        """Reserve memory if enough is left."""
        if self._reserved_bytes + byte_count > self._max_bytes:
            return False
        self._reserved_bytes += byte_count
        return True

    def release(self, byte_count: int) -> None:
        """Release reserved memory."""
        self._reserved_bytes -= byte_count


@attrs.define(kw_only=True)
class _Reservation:
    """Memory that one response has reserved.

    Attributes:
        length: number of bytes that have been read.
    """

    length: int = 0
    _memory: ResponseMemory
    _reserved_bytes: int = 0

    def cover_length(self) -> bool:
        """Reserve memory for all bytes except the first block, if enough is left."""
        needed = self.length - _BLOCK_BYTES - self._reserved_bytes
        if needed <= 0:
            return True
        if not self._memory.reserve(needed):
            return False
        self._reserved_bytes += needed
        return True

    def release(self) -> None:
        """Release all memory of the response."""
        self._memory.release(self._reserved_bytes)


def response_memory(max_bytes: int) -> ResponseMemory:
    """Build the memory of some responses.

    Args:
        max_bytes: limit on all bodies together, in bytes, without the first
            64 KiB of each.
    """
    return ResponseMemory(max_bytes=max_bytes)


def _too_long(detail: str) -> Result[bytes, Failure]:
    return Bad(may_have_run(FailureCode.BAD_REPLY, detail))

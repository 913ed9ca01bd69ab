"""Raw reader that yields to other green threads and has a time limit."""

import io
import math
from typing import Any, Final

import eventlet

from fennelfork import Clock

# A read that finds bytes does not wait, so no other green thread runs.
_READS_PER_YIELD: Final = 4


class LateMessage(ConnectionError):
    """Message that did not end within its time limit."""


class PacedReader(io.RawIOBase):
    """Reader of the bytes of a connection, below any buffer."""

    _raw: Any
    _clock: Clock
    _timeout_ms: float = math.inf
    _end_ms: float = math.inf
    _reads: int = 0
    _has_stopped: bool = False

    def __init__(self, raw: Any, clock: Clock) -> None:
        """Read from a raw reader, which the caller must not use afterwards."""
        super().__init__()
        self._raw = raw
        self._clock = clock

    def readable(self) -> bool:
        """Whether bytes can be read."""
        return True

    def fileno(self) -> int:
        """Return the descriptor of the connection."""
        return int(self._raw.fileno())

    def limit_time(self, timeout_ms: float) -> None:
        """Limit the time in which bytes are read, from now on."""
        self._timeout_ms = timeout_ms
        self._end_ms = self._clock.now_ms() + timeout_ms

    def stop(self) -> None:
        """Read no further bytes, as if none had arrived."""
        self._has_stopped = True

    def readinto(self, target: Any) -> int | None:
        """Read bytes, like `readinto` of a raw file.

        Raises:
            LateMessage: if the time limit has passed.
        """
        if self._has_stopped:
            return None
        self.yield_regularly()
        if self._clock.now_ms() >= self._end_ms:
            raise LateMessage(
                f'the message did not end within {self._timeout_ms:.0f} ms'
            )
        count: int | None = self._raw.readinto(target)
        return count

    def yield_regularly(self) -> None:
        """Let other green threads run once in a number of calls."""
        self._reads += 1
        if self._reads >= _READS_PER_YIELD:
            self._reads = 0
            eventlet.sleep(0)

    def close(self) -> None:
        """Close the connection."""
        if not self.closed:
            self._raw.close()
        super().close()

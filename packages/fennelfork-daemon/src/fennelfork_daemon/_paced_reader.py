"""Raw reader that gives way to other green threads and ends in time."""

import io
import math
from typing import Any, Final

import eventlet

from fennelfork import Clock

# A read that finds bytes does not wait, so no other green thread runs.
_READS_PER_TURN: Final = 4


class LateMessage(ConnectionError):
    """Message whose end did not arrive in time."""


class PacedReader(io.RawIOBase):
    """Reader of the bytes of a connection, below any buffer.

    Attributes:
        end_ms: time after which no byte is read; infinite for no limit.
    """

    end_ms: float = math.inf
    _raw: Any
    _clock: Clock
    _turn: int = 0

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

    def readinto(self, target: Any) -> int | None:
        """Read bytes, like `readinto` of a raw file.

        Raises:
            LateMessage: if bytes still arrive after the end of the time.
        """
        self.take_turn()
        if self._clock.now_ms() >= self.end_ms:
            raise LateMessage('the end of the message did not arrive in time')
        return self._raw.readinto(target)  # type: ignore[no-any-return]

    def take_turn(self) -> None:
        """Let other green threads run after a bounded number of calls."""
        self._turn += 1
        if self._turn >= _READS_PER_TURN:
            self._turn = 0
            eventlet.sleep(0)

    def close(self) -> None:
        """Close the connection."""
        if not self.closed:
            self._raw.close()
        super().close()

"""Non-blocking output of log lines."""

import os
from typing import Final

import attrs

# Maximum size of buffered lines; further lines are dropped.
_MAX_PENDING_BYTES: Final = 262_144
_NEWLINE: Final = '\n'


@attrs.define(kw_only=True, eq=False)
class NonBlockingSink:
    """File-like output of log lines to a non-blocking file descriptor.

    Attributes:
        dropped: number of lines that were dropped since the start of the
            process.
    """

    dropped: int = 0
    _descriptor: int
    _pending: bytearray = attrs.field(factory=bytearray)

    def write(self, text: str) -> int:
        """Buffer a whole line, or drop the line if the buffer is full."""
        line = text.encode(errors='replace')
        if len(self._pending) + len(line) > _MAX_PENDING_BYTES:
            self.dropped += 1
            return 0
        self._pending += line
        return len(text)

    def flush(self) -> None:
        """Write as many buffered bytes as the descriptor accepts."""
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The pipe is closed, which must not fail a request.
            self.dropped += self._pending.count(_NEWLINE.encode())
            self._pending.clear()
            return
        self._pending = self._pending[written:]


def non_blocking_sink(descriptor: int) -> NonBlockingSink:
    """Build a sink and set the file descriptor to non-blocking mode."""
    os.set_blocking(descriptor, False)
    return NonBlockingSink(descriptor=descriptor)

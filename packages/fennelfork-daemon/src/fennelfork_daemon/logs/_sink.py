"""Writes log lines without ever waiting for who reads them."""

import os
from typing import Final

import attrs

# Lines that a slow reader has not taken yet; beyond that, lines are dropped.
_MOST_WAITING: Final = 262_144
_NEWLINE: Final = '\n'


@attrs.define(kw_only=True, eq=False)
class NonBlockingSink:
    """A file of log lines over a descriptor that does not block.

    Attributes:
        dropped: lines that found no room, since the start.
    """

    dropped: int = 0
    _descriptor: int
    _waiting: bytearray = attrs.field(factory=bytearray)

    def write(self, text: str) -> int:
        """Take a whole line, or drop it."""
        line = text.encode(errors='replace')
        if len(self._waiting) + len(line) > _MOST_WAITING:
            self.dropped += 1
            return 0
        self._waiting += line
        return len(text)

    def flush(self) -> None:
        """Hand over as much as the reader takes now."""
        try:
            taken = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more: a closed pipe must not stop a request.
            self.dropped += self._waiting.count(_NEWLINE.encode())
            self._waiting.clear()
            return
        self._waiting = self._waiting[taken:]


def non_blocking_sink(descriptor: int) -> NonBlockingSink:
    """Build a sink over a descriptor, which does not block from now on."""
    os.set_blocking(descriptor, False)
    return NonBlockingSink(descriptor=descriptor)

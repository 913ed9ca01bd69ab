"""Calls that wait until another one gives its connection back."""

import contextlib
from collections import deque
from typing import Final

import attrs
from eventlet.event import Event

_MS: Final = 1000


@attrs.define(kw_only=True)
class WaitQueue:
    """Wakes waiting calls one by one, in the order in which they came."""

    _waiting: deque[Event] = attrs.field(factory=deque)

    def wait(self, max_wait_ms: float) -> None:
        """Wait until it is this call's turn, or no longer.

        Args:
            most_ms: how long at most.
        """
        turn = Event()
        self._waiting.append(turn)
        with contextlib.ExitStack() as waiting:
            # Also when the green thread of the call is ended from outside.
            waiting.callback(self._remove, turn)
            turn.wait(max_wait_ms / _MS)

    def wake_first(self) -> None:
        """Tell the first call that waits, if any, that it may try."""
        if self._waiting:
            self._waiting.popleft().send()

    def _remove(self, turn: Event) -> None:
        if turn in self._waiting:
            self._waiting.remove(turn)

"""Calls that wait until another one gives its connection back."""

import contextlib
from collections import deque
from typing import Final

import attrs
from eventlet.event import Event

_MS_PER_SECOND: Final = 1000


@attrs.define(kw_only=True)
class Turns:
    """Wakes waiting calls one by one, in the order in which they came."""

    _waiting: deque[Event] = attrs.field(factory=deque)

    def wait(self, most_ms: float) -> None:
        """Wait until it is this call's turn, or no longer.

        Args:
            most_ms: how long at most.
        """
        freed = Event()
        self._waiting.append(freed)
        with contextlib.ExitStack() as waiting:
            # Also when the green thread of the call is ended from outside.
            waiting.callback(self._leave, freed)
            freed.wait(most_ms / _MS_PER_SECOND)

    def wake(self) -> None:
        """Tell the first call that waits, if any, that it may try."""
        if self._waiting:
            self._waiting.popleft().send()

    def _leave(self, freed: Event) -> None:
        if freed in self._waiting:
            self._waiting.remove(freed)

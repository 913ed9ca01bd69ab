"""Queue of requests that wait for a free connection."""

import contextlib
from collections import deque
from typing import Final

import attrs
from eventlet.event import Event

_MS: Final = 1000


@attrs.define(kw_only=True)
class WaitQueue:
    """First-in, first-out queue of waiting green threads."""

    _waiting: deque[Event] = attrs.field(factory=deque)

    def wait(self, max_wait_ms: float) -> None:
        """Wait until the calling green thread is woken or the wait ends.

        Args:
            max_wait_ms: maximum wait, in milliseconds.
        """
        wake_event = Event()
        self._waiting.append(wake_event)
        with contextlib.ExitStack() as cleanup:
            # Also runs when the green thread is killed.
            cleanup.callback(self._remove, wake_event)
            wake_event.wait(max_wait_ms / _MS)

    def wake_first(self) -> None:
        """Wake the green thread that has waited longest, if any."""
        if self._waiting:
            self._waiting.popleft().send()

    def _remove(self, wake_event: Event) -> None:
        if wake_event in self._waiting:
            self._waiting.remove(wake_event)

"""Event loop that handles arrived data before the timers that are overdue.

`eventlet.hubs.use_hub` takes a module with the names `Hub` and `is_available`.
"""

from typing import Final

from eventlet.hubs import epolls

# A timer that is late by more than this may be overtaken by data that arrived
# before it was due.
_LATE_S: Final = 0.005


def is_available() -> bool:
    """Whether this system has the calls that the hub needs."""
    return bool(epolls.is_available())


class Hub(epolls.Hub):  # type: ignore[misc]  # eventlet has no types
    """Hub whose overdue timers fire after the data that has arrived.

    The hub of eventlet fires all due timers before it looks at the sockets. In
    a late event loop, a timeout would then end a wait whose data has been there
    for long, and the lateness of this process would count as a silent peer.
    """

    def fire_timers(self, when: float) -> None:
        """Fire the timers that are due, after the data if they are overdue."""
        if self.timers and when - self.timers[0][0] > _LATE_S:
            self.wait(0)
        super().fire_timers(when)

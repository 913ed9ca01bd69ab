"""Slots of a stand-in and the requests that occupy them."""

import enum
from typing import Final

import attrs
from eventlet.event import Event
from eventlet.timeout import Timeout

_MS_PER_SECOND: Final = 1000


@enum.unique
class Ending(enum.Enum):
    """How the service time of a request ended."""

    FINISHED = 'finished'
    CANCELLED = 'cancelled'


@attrs.frozen(kw_only=True, eq=False)
class Work:
    """One request in a slot."""

    request_id: str
    sub_query: str
    _cancelled: Event = attrs.field(factory=Event)

    def cancel(self) -> None:
        """End the request before its time; a second call does nothing."""
        if not self._cancelled.ready():
            self._cancelled.send()

    def wait(self, for_ms: float) -> Ending:
        """Spend service time in the slot.

        Args:
            for_ms: how long, unless cancelled before.

        Returns:
            Whether the time was spent in full.
        """
        with Timeout(max(0, for_ms) / _MS_PER_SECOND, exception=False):
            self._cancelled.wait()
        if self._cancelled.ready():
            return Ending.CANCELLED
        return Ending.FINISHED


@attrs.define(kw_only=True)
class Slots:
    """A fixed number of slots, each taken by one request."""

    size: int
    _taken: list[Work] = attrs.field(factory=list)

    @property
    def busy(self) -> int:
        """How many slots are taken."""
        return len(self._taken)

    def take(self, request_id: str, sub_query: str) -> Work | None:
        """Take a slot, or none if all are busy."""
        if self.busy >= self.size:
            return None
        work = Work(request_id=request_id, sub_query=sub_query)
        self._taken.append(work)
        return work

    def free(self, work: Work) -> None:
        """Give a slot back; a second call does nothing."""
        if work in self._taken:
            self._taken.remove(work)

    def cancel(self, request_id: str, sub_query: str) -> bool:
        """End the oldest run of a request and free its slot.

        Returns:
            Whether one was running.
        """
        for work in self._taken:
            if (work.request_id, work.sub_query) == (request_id, sub_query):
                work.cancel()
                self.free(work)
                return True
        return False

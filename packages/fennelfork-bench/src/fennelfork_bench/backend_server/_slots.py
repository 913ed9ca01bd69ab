"""Slots of a stand-in and the requests that run in them."""

import enum
from typing import Final

import attrs
from eventlet.event import Event
from eventlet.timeout import Timeout

_MS_PER_SECOND: Final = 1000


@enum.unique
class RunOutcome(enum.Enum):
    """Whether a request ran for its full service time."""

    FINISHED = 'finished'
    CANCELLED = 'cancelled'


@attrs.frozen(kw_only=True, eq=False)
class RunningRequest:
    """A request that occupies a slot."""

    request_id: str
    sub_query: str
    _cancelled: Event = attrs.field(factory=Event)

    def cancel(self) -> None:
        """Cancel the request; has no effect on a cancelled request."""
        if not self._cancelled.ready():
            self._cancelled.send()

    def wait(self, for_ms: float) -> RunOutcome:
        """Wait for the service time or for a cancellation.

        Args:
            for_ms: service time.

        Returns:
            Outcome of the run.
        """
        with Timeout(max(0, for_ms) / _MS_PER_SECOND, exception=False):
            self._cancelled.wait()
        if self._cancelled.ready():
            return RunOutcome.CANCELLED
        return RunOutcome.FINISHED


@attrs.define(kw_only=True)
class Slots:
    """A fixed number of slots, each for one running request."""

    size: int
    _running: list[RunningRequest] = attrs.field(factory=list)

    @property
    def busy(self) -> int:
        """Number of occupied slots."""
        return len(self._running)

    def acquire(self, request_id: str, sub_query: str) -> RunningRequest | None:
        """Occupy a slot; return none if all slots are busy."""
        if self.busy >= self.size:
            return None
        request = RunningRequest(request_id=request_id, sub_query=sub_query)
        self._running.append(request)
        return request

    def release(self, request: RunningRequest) -> None:
        """Release the slot of a request, if it still occupies one."""
        if request in self._running:
            self._running.remove(request)

    def cancel(self, request_id: str, sub_query: str) -> bool:
        """Cancel the oldest run of a request and release its slot.

        Returns:
            Whether the request was running.
        """
        for request in self._running:
            if (request.request_id, request.sub_query) == (
                request_id,
                sub_query,
            ):
                request.cancel()
                self.release(request)
                return True
        return False

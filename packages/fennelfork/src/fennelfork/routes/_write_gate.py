"""Last check of an attempt, right before its request is written.

An attempt waits for the event loop and for a connection after its decision. What
was decided may no longer hold when the request can be written.
"""

from typing import Any, Final

import attrs
from returns.result import Failure as Refused
from returns.result import Result, Success

from fennelfork._verdict import Failure, FailureCode, not_run
from fennelfork.routes._retry_budget import RetryBudgets
from fennelfork.routes._send import Send
from fennelfork.routes._server_directory import ServerDirectory
from fennelfork.routes._sub_request import SubRequest
from fennelfork.routes._sub_requests import SubRequests

# A backend server is told the time left in whole milliseconds, and no response
# takes less.
_MIN_LEFT_MS: Final = 2.0


@attrs.define(kw_only=True)
class WriteGate:
    """Admits or refuses the writes of the attempts of one request.

    Attributes:
        write_delay_ms: longest time between the decision on an attempt and the
            write of its request.
    """

    write_delay_ms: float = 0
    _sub_requests: SubRequests[Any]
    _retry_budgets: RetryBudgets
    _directory: ServerDirectory
    _deadline_ms: float
    _is_closed: bool = False

    def close(self) -> None:
        """Refuse all further writes."""
        self._is_closed = True

    def admit(self, attempt: int, now_ms: float) -> Result[Send, Failure]:
        """Admit the write of an attempt that happens right after this call.

        Args:
            attempt: number of an attempt in flight.
            now_ms: current time.

        Returns:
            The attempt with the time of the write, or a `NOT_RUN` failure.
        """
        sub_request = self._sub_requests.find(attempt)
        if sub_request is None:
            return _refuse('the attempt has ended')
        send = sub_request.in_flight[attempt]
        problem = self._find_problem(sub_request, send, now_ms)
        if problem is not None:
            return _refuse(problem)
        self.write_delay_ms = max(self.write_delay_ms, now_ms - send.sent_ms)
        return Success(sub_request.record_write(attempt, now_ms))

    def _find_problem(
        self, sub_request: SubRequest[Any], send: Send, now_ms: float
    ) -> str | None:
        """Return why an attempt must not be written, if there is a reason."""
        if now_ms + _MIN_LEFT_MS >= self._deadline_ms:
            return 'the deadline passed before the request was written'
        if self._is_closed:
            return 'the caller was answered, or left, before the request was written'
        if sub_request.part is not None:
            return 'the service responded before the request was written'
        if not self._directory.may_get_requests(send.server):
            return 'the server left before the request was written'
        if send.repeat and not self._retry_budgets.may_write(
            sub_request.service
        ):
            return 'the share in the retry budget is not usable any more'
        return None


def _refuse(reason: str) -> Result[Send, Failure]:
    return Refused(not_run(FailureCode.CANCELLED, reason))

"""Record of the attempts of one request at the time of their writes."""

from typing import Any

import attrs

from fennelfork.routes._sub_requests import SubRequests


@attrs.define(kw_only=True)
class WriteGate:
    """Follows the attempts of one request from their decisions to the writes.

    Attributes:
        write_delay_ms: longest time between the decision on an attempt and the
            write of its request.
    """

    write_delay_ms: float = 0
    _sub_requests: SubRequests[Any]

    def record_write(self, attempt: int, now_ms: float) -> None:
        """Record that the request of an attempt is being written."""
        sub_request = self._sub_requests.find(attempt)
        if sub_request is not None:
            delay_ms = now_ms - sub_request.in_flight[attempt].sent_ms
            self.write_delay_ms = max(self.write_delay_ms, delay_ms)

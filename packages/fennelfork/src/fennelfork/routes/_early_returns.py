"""Callers that return before the time that their refusal named."""

from collections import OrderedDict
from typing import Final

import attrs

# Bounds the memory: 0.2 MB. The oldest refusals are forgotten first.
_MAX_CALLERS: Final = 2048


@attrs.define(kw_only=True)
class EarlyReturns:
    """Times before which refused requests were asked not to return."""

    _until_ms: OrderedDict[str, float] = attrs.field(factory=OrderedDict)

    def record_refusal(
        self, fingerprint: str, now_ms: float, retry_after_ms: float
    ) -> None:
        """Record the refusal of a request.

        Args:
            fingerprint: fingerprint of the request.
            now_ms: current time.
            retry_after_ms: time after which the request may return.
        """
        self._until_ms[fingerprint] = now_ms + retry_after_ms
        self._until_ms.move_to_end(fingerprint)
        if len(self._until_ms) > _MAX_CALLERS:
            self._until_ms.popitem(last=False)

    def is_early(self, fingerprint: str, now_ms: float) -> bool:
        """Whether a request returns before its time."""
        return now_ms < self._until_ms.get(fingerprint, 0)

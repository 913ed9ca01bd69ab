"""Requests by which the platform tests the configuration of a daemon."""

from typing import Final

import attrs

_MS_PER_S: Final = 1000
# Number of tests of one service that may arrive together.
_MAX_TOGETHER: Final = 5.0


@attrs.define(kw_only=True)
class ConfigTests:
    """Counts how many requests to a service may have been tests.

    A test looks like a request of a caller, but no caller sent it. So as many
    requests as there may be tests are taken for tests, whatever they were.
    """

    _left: float = _MAX_TOGETHER
    _counted_ms: float = 0

    def may_include(self, now_ms: float, per_s: float) -> bool:
        """Take a request for a test if that many tests may have arrived.

        Args:
            now_ms: time of the request.
            per_s: tests that each daemon gets in a second.
        """
        earned = (now_ms - self._counted_ms) * per_s / _MS_PER_S
        self._left = min(_MAX_TOGETHER, self._left + earned)
        self._counted_ms = now_ms
        if not per_s or self._left < 1:
            return False
        self._left -= 1
        return True

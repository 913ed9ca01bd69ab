"""Log of the quotas of workspaces."""

from typing import Final

import attrs

from fennelfork import Clock
from fennelfork_daemon.logs._decision_log import DecisionLog
from fennelfork_daemon.routes import _events_requests as requests

# Time without a refusal after which a workspace counts as below its limit.
_KEPT_MS: Final = 10_000.0


@attrs.define(kw_only=True)
class _Excess:
    """Refusals of a workspace that is over its quota."""

    refused: int = 0
    latest_ms: float = 0


@attrs.define(kw_only=True)
class RouteQuotaReporter:
    """Logs when a workspace goes over its quota and is below it again."""

    _clock: Clock
    _log: DecisionLog
    _excesses: dict[str, _Excess] = attrs.field(factory=dict)

    def record_refusal(self, workspace: str) -> None:
        """Record a request that was refused."""
        excess = self._excesses.get(workspace)
        if excess is None:
            excess = _Excess()
            self._excesses[workspace] = excess
            self._log.log_decision(requests.QuotaReached(workspace=workspace))
        excess.refused += 1
        excess.latest_ms = self._clock.now_ms()

    def check(self) -> None:
        """Log the workspaces without a refusal for a while."""
        oldest_ms = self._clock.now_ms() - _KEPT_MS
        for workspace, excess in tuple(self._excesses.items()):
            if excess.latest_ms < oldest_ms:
                self._excesses.pop(workspace)
                self._log.log_decision(
                    requests.QuotaKept(
                        workspace=workspace, refused=excess.refused
                    )
                )

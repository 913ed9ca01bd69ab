"""Quotas of workspaces at one daemon: decisions, messages and reports."""

from collections.abc import Callable, Mapping
from typing import Final, Protocol

import attrs
import eventlet
from returns.pipeline import is_successful
from returns.result import Result

from fennelfork import Failure
from fennelfork.workspaces import (
    Admission,
    MustAsk,
    PermitAsk,
    PermitGrant,
    Quota,
    Report,
    Workspace,
)
from fennelfork_daemon.quota._client import PermitClient

_MS_PER_SECOND: Final = 1000
_TICK_MS: Final = 100.0
# Delay between two looks at the configuration while no workspace has a limit.
_IDLE_MS: Final = 500.0
# A report is no part of a request, so a slow link may take its time.
_REPORT_TIMEOUT_MS: Final = 500.0


class QuotaReporter(Protocol):
    """Log and metrics of quotas."""

    def record_refusal(self, workspace: str) -> None:
        """Record a request that was refused."""

    def check(self) -> None:
        """Look for workspaces that are below their limits again."""


@attrs.define(kw_only=True)
class Quotas:
    """Admits the requests of limited workspaces."""

    _quota: Quota
    _client: PermitClient
    _reporter: QuotaReporter
    _workspaces: Callable[[], Mapping[str, Workspace]]
    _applied: Mapping[str, Workspace] | None = None

    def run(self) -> None:
        """Apply configurations and send reports as long as the daemon runs."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            self.step()
            delay_ms = _TICK_MS if self._quota.is_active else _IDLE_MS
            eventlet.sleep(delay_ms / _MS_PER_SECOND)

    def step(self) -> None:
        """Apply a changed configuration and send the reports that are due."""
        self._apply_configuration()
        self._reporter.check()
        if not self._quota.is_active:
            return
        for report in self._quota.due_reports():
            eventlet.spawn_n(self._send_report, report)

    def admit(
        self, workspace: Workspace | None, left_ms: float
    ) -> Result[Admission, Failure]:
        """Admit a request, or return the failure that answers it.

        Args:
            workspace: workspace of the request, or None.
            left_ms: time that is left for the request.
        """
        self._apply_configuration()
        decided = self._quota.admit(workspace, left_ms)
        if is_successful(decided) and isinstance(decided.unwrap(), MustAsk):
            asked = decided.unwrap()
            grants = self._client.send(asked.owner, asked.ask, asked.timeout_ms)
            decided = self._quota.conclude(asked.ask.needs[0].workspace, grants)
        if workspace is not None and not is_successful(decided):
            self._reporter.record_refusal(workspace.name)
        return decided

    def give_back(self, admission: Admission) -> None:
        """Return the admission of a request that did not run."""
        self._quota.give_back(admission)

    def answer(self, ask: PermitAsk) -> tuple[PermitGrant, ...]:
        """Answer a message of another daemon."""
        self._apply_configuration()
        return self._quota.answer(ask)

    def _apply_configuration(self) -> None:
        workspaces = self._workspaces()
        if workspaces is not self._applied:
            self._applied = workspaces
            self._quota.apply(workspaces)

    def _send_report(self, report: Report) -> None:
        grants = self._client.send(report.owner, report.ask, _REPORT_TIMEOUT_MS)
        self._quota.record_reply(report, grants)

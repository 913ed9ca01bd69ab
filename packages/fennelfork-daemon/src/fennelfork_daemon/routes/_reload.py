"""Reload of the settings while the daemon runs."""

import signal
from collections.abc import Callable
from typing import Any

import attrs
import eventlet
from returns.result import Result, Success

from fennelfork.routes import RetryBudgets
from fennelfork_daemon.logs._decision_log import DecisionLog
from fennelfork_daemon.routes._events_process import Reloaded, ReloadRefused
from fennelfork_daemon.routes._fleet_shares import FleetShares
from fennelfork_daemon.routes._settings import RouteSettings

# Maximum delay between the signal and the reload.
_POLL_INTERVAL_S = 0.5

_Problems = tuple[str, ...]
ReadSettings = Callable[[], Result[RouteSettings, _Problems]]


@attrs.define(kw_only=True)
class SettingsReload:
    """Reads the settings file again on SIGHUP.

    A new retry budget applies at once. Addresses and locations change only
    with a restart of the daemon.
    """

    _settings: RouteSettings
    _retry_budgets: RetryBudgets
    _fleet_shares: FleetShares
    _read_settings: ReadSettings
    _log: DecisionLog
    _is_requested: bool = False

    def listen_to_signal(self) -> None:
        """Install the handler of SIGHUP."""
        signal.signal(signal.SIGHUP, self._on_signal)

    def run(self) -> None:
        """Reload after each signal until the process exits."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            eventlet.sleep(_POLL_INTERVAL_S)
            if self._is_requested:
                self._is_requested = False
                self.reload()

    def reload(self) -> None:
        """Read the file and apply the settings that can change at run time."""
        result = self._read_settings()
        if not isinstance(result, Success):
            self._log.log_decision(ReloadRefused(reason=result.failure()))
            return
        new_settings = result.unwrap()
        changed = [
            field.name
            for field in attrs.fields(RouteSettings)
            if getattr(new_settings, field.name)
            != getattr(self._settings, field.name)
        ]
        self._retry_budgets.policy = new_settings.repeats
        self._fleet_shares.apply_settings(new_settings)
        self._settings = new_settings
        self._log.log_decision(Reloaded(changed=changed))

    def _on_signal(self, number: int, frame: Any) -> None:
        # A signal handler must not do I/O, so a green thread reads the file.
        self._is_requested = True

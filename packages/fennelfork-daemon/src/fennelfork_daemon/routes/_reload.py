"""Takes changed settings while the daemon runs."""

import signal
from collections.abc import Callable
from typing import Any

import attrs
import eventlet
from returns.result import Result, Success

from fennelfork.routes import RetryBudgets
from fennelfork_daemon.logs._budget import DecisionLog
from fennelfork_daemon.routes._events_process import Reloaded, ReloadRefused
from fennelfork_daemon.routes._settings import RouteSettings

# How soon after the signal the file is read.
_POLL_INTERVAL_S = 0.5

_Problems = tuple[str, ...]
ReadSettings = Callable[[], Result[RouteSettings, _Problems]]


@attrs.define(kw_only=True)
class SettingsReload:
    """Reads the settings file again when it is told to.

    The budget of repeats changes at once. Addresses and places of a running
    daemon stay as they are until it starts again, which the log says.
    """

    _settings: RouteSettings
    _retry_budgets: RetryBudgets
    _read_settings: ReadSettings
    _log: DecisionLog
    _is_requested: bool = False

    def listen_to_signal(self) -> None:
        """Read the file again after each SIGHUP."""
        signal.signal(signal.SIGHUP, self._on_signal)

    def run(self) -> None:
        """Wait for signals until the process ends."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            eventlet.sleep(_POLL_INTERVAL_S)
            if self._is_requested:
                self._is_requested = False
                self.reload()

    def reload(self) -> None:
        """Read the file and take what may change while running."""
        result = self._read_settings()
        if not isinstance(result, Success):
            self._log.tell(ReloadRefused(reason=result.failure()))
            return
        new_settings = result.unwrap()
        changed = [
            field.name
            for field in attrs.fields(RouteSettings)
            if getattr(new_settings, field.name)
            != getattr(self._settings, field.name)
        ]
        self._retry_budgets.policy = new_settings.repeats
        self._settings = new_settings
        self._log.tell(Reloaded(changed=changed))

    def _on_signal(self, number: int, frame: Any) -> None:
        # The file is read by the green thread: nothing else is safe here.
        self._is_requested = True

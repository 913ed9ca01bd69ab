"""Passes on updates of the store to other daemons of the data centre."""

from typing import Any, Final

import attrs
import eventlet
from eventlet.event import Event

from fennelfork import Clock
from fennelfork.routes import RelayLog, StoreEra, StorePosition
from fennelfork_daemon.routes._availability import StoreAvailability
from fennelfork_daemon.routes._ports import (
    HistoryCompacted,
    RelayedBatch,
    UpdateBatch,
)

_MS_PER_SECOND: Final = 1000
# Updates are kept while other daemons ask for them. After a listing they are
# kept as well: daemons that start together list the store at different revisions
# and continue from a relay.
_RECORDING_MS: Final = 10_000.0
# Bounds the wait that another daemon can ask for.
_MAX_WAIT_MS: Final = 5000.0


@attrs.define(kw_only=True)
class Relay:
    """Keeps recent updates and hands them to daemons that ask for them.

    Attributes:
        is_connected: whether this daemon receives current updates.
    """

    is_connected: bool = False
    _availability: StoreAvailability
    _era: StoreEra
    _clock: Clock
    _log: RelayLog = attrs.field(factory=RelayLog)
    _recording_from_ms: float | None = None
    _changed: Event = attrs.field(factory=Event)

    def reset(self, revision: int) -> None:
        """Discard the updates after a listing of the store."""
        self._log.reset(revision)
        self._recording_from_ms = self._clock.now_ms()
        self._notify(HistoryCompacted())

    def discard(self) -> None:
        """Discard all updates until the next listing of the store."""
        self.is_connected = False
        self._log.reset(0)
        self._notify(HistoryCompacted())

    def extend(self, changes: UpdateBatch) -> None:
        """Add updates that this daemon has received."""
        if self._is_recording:
            self._log.extend(changes.encoded, changes.revision)
        else:
            self._log.reset(changes.revision)
        if changes.encoded:
            self._notify(None)

    def updates_after(
        self, position: StorePosition, wait_ms: float
    ) -> RelayedBatch | HistoryCompacted:
        """Wait for updates after a position; none may arrive in time.

        Args:
            position: latest position that the other daemon knows. Updates of
                another era are not passed on.
            wait_ms: maximum time to wait. A daemon without current updates
                answers at once.
        """
        if position.era != self._era.number:
            return HistoryCompacted()
        self._recording_from_ms = self._clock.now_ms()
        deadline_ms = self._clock.now_ms() + min(wait_ms, _MAX_WAIT_MS)
        while self.is_connected and self._log.revision <= position.revision:
            if self._wait_for_change(deadline_ms) is not None:
                return HistoryCompacted()
            if self._clock.now_ms() >= deadline_ms:
                break
        updates = self._log.since(position.revision)
        if updates is None:
            return HistoryCompacted()
        return RelayedBatch(
            changes=UpdateBatch(
                updates=(), revision=self._log.revision, encoded=updates
            ),
            age_ms=self._availability.data_age_ms,
            is_connected=self.is_connected,
            outage_end_age_ms=self._availability.outage_end_age_ms,
        )

    @property
    def _is_recording(self) -> bool:
        """Whether another daemon may ask for updates of this moment."""
        if self._recording_from_ms is None:
            return False
        return self._clock.now_ms() - self._recording_from_ms < _RECORDING_MS

    def _wait_for_change(self, deadline_ms: float) -> Any:
        """Wait for a change of the log.

        Returns:
            `HistoryCompacted` after a listing, None after updates or a timeout.
        """
        remaining_ms = max(0, deadline_ms - self._clock.now_ms())
        with eventlet.Timeout(remaining_ms / _MS_PER_SECOND, exception=False):
            return self._changed.wait()
        return None

    def _notify(self, reason: HistoryCompacted | None) -> None:
        """Wake the daemons that wait for updates."""
        changed = self._changed
        self._changed = Event()
        changed.send(reason)

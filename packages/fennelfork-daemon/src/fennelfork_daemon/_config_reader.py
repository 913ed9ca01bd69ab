"""Reads and watches the configuration in the platform, where it is due."""

from typing import Final

import attrs
import eventlet
from returns.pipeline import is_successful

from fennelfork import (
    Blackboard,
    ConfigFollower,
    ConfigSource,
    StoredDocument,
)
from fennelfork_daemon._config_holder import ConfigHolder
from fennelfork_daemon._kv_client import ConfigKey
from fennelfork_daemon._logs import StateLog

_TICK_S: Final = 0.1
_PLATFORM: Final = 'key-value service'


@attrs.define(kw_only=True)
class ConfigReader:
    """Offers what the platform shows to the holder.

    Attributes:
        failure: why the last read failed; empty if it did not.
    """

    failure: str = ''
    _board: Blackboard
    _holder: ConfigHolder
    _key: ConfigKey
    _follower: ConfigFollower
    _log: StateLog
    _revision: int | None = None

    def read_forever(self) -> None:
        """Read the key whenever it is due here."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            if self._follower.read_is_due() and self._is_reader():
                self._read()
            eventlet.sleep(_TICK_S)

    def watch_forever(self) -> None:
        """Watch the key while this daemon reads it; a read comes first."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            if self._revision is not None and self._is_reader():
                self._watch(self._revision)
            eventlet.sleep(_TICK_S)

    def _is_reader(self) -> bool:
        board = self._board
        return self._follower.reads_platform(board.local, board.members)

    def _read(self) -> None:
        reply = self._key.read()
        answered = is_successful(reply)
        self._follower.note_read(answered=answered)
        if answered:
            self.failure = ''
            self._take(reply.unwrap())
        else:
            self.failure = reply.failure().detail
            self._revision = None
        state = 'answers' if answered else 'fails'
        self._log.change(_PLATFORM, state, detail=self.failure)

    def _watch(self, revision: int) -> None:
        try:
            for stored in self._key.changes(revision):
                self._take(stored)
                if not self._is_reader():
                    break
        except (OSError, ValueError) as error:
            self._log.change('watch', 'broken', detail=str(error))
        # The next watch starts from a fresh read, which backs off.
        self._revision = None

    def _take(self, stored: StoredDocument) -> None:
        self._revision = max(self._revision or 0, stored.revision)
        self._holder.offer(stored.raw, ConfigSource.PLATFORM)

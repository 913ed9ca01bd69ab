"""Reads and watches the configuration in the platform, where it is due."""

from typing import Final

import attrs
import eventlet
from returns.pipeline import is_successful

from fennelfork import Blackboard, Failure
from fennelfork.config import ConfigSource, StoredDocument
from fennelfork.placement import ConfigFollower
from fennelfork_daemon.config._activator import ConfigHolder
from fennelfork_daemon.kv._client import ConfigKey
from fennelfork_daemon.logs._logs import StateLog, state_log

_TICK_S: Final = 0.1
_PLATFORM: Final = 'key-value service'


@attrs.define(kw_only=True)
class ConfigReader:
    """Offers what the platform shows to the holder.

    Between changes it reads the key's revision alone: the document may be
    hundreds of kilobytes.

    Attributes:
        failure: why the last read failed; empty if it did not.
    """

    failure: str = ''
    _board: Blackboard
    _holder: ConfigHolder
    _key: ConfigKey
    _follower: ConfigFollower
    _log: StateLog
    _seen: int | None = None
    _watched: int | None = None

    def read_forever(self) -> None:
        """Read the key whenever it is due here."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            if self._follower.is_read_due():
                self._read_if_reader()
            eventlet.sleep(_TICK_S)

    def watch_forever(self) -> None:
        """Watch the key while this daemon reads it; a read comes first."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            if self._watched is not None and self._is_reader():
                self._watch(self._watched)
            eventlet.sleep(_TICK_S)

    def _read_if_reader(self) -> None:
        if self._is_reader():
            self._read()
        else:
            self._follower.defer_role_check()

    def _is_reader(self) -> bool:
        board = self._board
        return self._follower.reads_platform(board.local, board.members)

    def _read(self) -> None:
        failure = self._refresh()
        self._follower.record_read(answered=failure is None)
        self.failure = '' if failure is None else failure.detail
        if failure is not None:
            self._watched = None
        state = 'answers' if failure is None else 'fails'
        self._log.change(_PLATFORM, state, detail=self.failure)

    def _refresh(self) -> Failure | None:
        """Read the document only if the key changed since it was read."""
        revision = self._key.revision()
        if not is_successful(revision):
            return revision.failure()
        if revision.unwrap() == self._seen:
            self._holder.state.confirm_unchanged()
            self._watched = self._seen
            return None
        reply = self._key.read()
        if not is_successful(reply):
            return reply.failure()
        self._take(reply.unwrap())
        return None

    def _watch(self, revision: int) -> None:
        try:
            for stored in self._key.changes(revision):
                self._take(stored)
                if not self._is_reader():
                    break
        except (OSError, ValueError) as error:
            self._log.change('watch', 'broken', detail=str(error))
        # The next watch starts after a fresh read, which backs off.
        self._watched = None

    def _take(self, stored: StoredDocument) -> None:
        self._seen = stored.revision
        self._watched = stored.revision
        self._holder.offer(stored.raw, ConfigSource.PLATFORM)


def config_reader(
    board: Blackboard,
    holder: ConfigHolder,
    key: ConfigKey,
    follower: ConfigFollower,
) -> ConfigReader:
    """Build the reader of a daemon that has read nothing yet."""
    return ConfigReader(
        board=board,
        holder=holder,
        key=key,
        follower=follower,
        log=state_log(daemon=board.local.name),
    )

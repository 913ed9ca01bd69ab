"""Reads and watches of the configuration key in the platform."""

from typing import Final

import attrs
import eventlet
from returns.pipeline import is_successful

from fennelfork import Blackboard, Failure
from fennelfork.config import ConfigSource, StoredDocument
from fennelfork.placement import ConfigFollower
from fennelfork_daemon.config._activator import ConfigActivator
from fennelfork_daemon.kv._client import ConfigKey
from fennelfork_daemon.logs._logs import StateLog, state_log

_CHECK_INTERVAL_S: Final = 0.1
_STORE: Final = 'key-value service'


@attrs.define(kw_only=True)
class ConfigReader:
    """Offers the documents that are stored in the platform to the activator.

    While the key does not change, the reader fetches only the revision of the
    key, because a document may have hundreds of kilobytes.

    Attributes:
        failure: reason why the last read failed; empty if the read succeeded.
    """

    failure: str = ''
    _blackboard: Blackboard
    _activator: ConfigActivator
    _key: ConfigKey
    _follower: ConfigFollower
    _log: StateLog
    _known_revision: int | None = None
    _watch_revision: int | None = None

    def read_forever(self) -> None:
        """Read the configuration key whenever a read by this daemon is due."""
        while True:  # noqa: WPS457  # the loop runs until the daemon exits
            if self._follower.is_read_due():
                self._read_if_assigned()
            eventlet.sleep(_CHECK_INTERVAL_S)

    def watch_forever(self) -> None:
        """Watch the configuration key from the last revision that was read.

        Only daemons that are assigned to read the platform watch the key.
        """
        while True:  # noqa: WPS457  # the loop runs until the daemon exits
            if self._watch_revision is not None and self._is_assigned():
                self._watch(self._watch_revision)
            eventlet.sleep(_CHECK_INTERVAL_S)

    def _read_if_assigned(self) -> None:
        if self._is_assigned():
            self._read()
        else:
            self._follower.defer_role_check()

    def _is_assigned(self) -> bool:
        blackboard = self._blackboard
        return self._follower.reads_platform(
            blackboard.local, blackboard.members
        )

    def _read(self) -> None:
        failure = self._refresh()
        self._follower.record_read(answered=failure is None)
        self.failure = '' if failure is None else failure.detail
        if failure is not None:
            self._watch_revision = None
        state = 'answers' if failure is None else 'fails'
        self._log.change(_STORE, state, detail=self.failure)

    def _refresh(self) -> Failure | None:
        """Read the configuration document if the key has changed."""
        revision = self._key.revision()
        if not is_successful(revision):
            return revision.failure()
        if revision.unwrap() == self._known_revision:
            self._activator.state.confirm_unchanged()
            self._watch_revision = self._known_revision
            return None
        reply = self._key.read()
        if not is_successful(reply):
            return reply.failure()
        self._offer_stored(reply.unwrap())
        return None

    def _watch(self, revision: int) -> None:
        try:
            for stored in self._key.watch(revision):
                self._offer_stored(stored)
                if not self._is_assigned():
                    break
        except (OSError, ValueError) as error:
            self._log.change('watch', 'broken', detail=str(error))
        # The next watch starts after the next read, which has a backoff.
        self._watch_revision = None

    def _offer_stored(self, stored: StoredDocument) -> None:
        self._known_revision = stored.revision
        self._watch_revision = stored.revision
        self._activator.offer(stored.raw, ConfigSource.PLATFORM)


def config_reader(
    blackboard: Blackboard,
    activator: ConfigActivator,
    key: ConfigKey,
    follower: ConfigFollower,
) -> ConfigReader:
    """Build the reader of the configuration key."""
    return ConfigReader(
        blackboard=blackboard,
        activator=activator,
        key=key,
        follower=follower,
        log=state_log(daemon=blackboard.local.name),
    )

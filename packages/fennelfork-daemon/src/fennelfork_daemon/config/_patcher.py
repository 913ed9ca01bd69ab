"""Carries operators' patches to the platform."""

import random
from collections.abc import Callable
from typing import Final

import attrs
from eventlet import sleep
from eventlet.semaphore import Semaphore
from returns.pipeline import is_successful
from returns.result import Failure as Bad

from fennelfork import Blackboard, Clock, FailureCode, not_run
from fennelfork.config import (
    ConfigSource,
    PatchDone,
    PatchOutcome,
    PatchRefused,
    PatchRequest,
    PatchWriter,
    ReadDocument,
    WriteDocument,
    advance_patch,
)
from fennelfork_daemon.config._activator import ConfigHolder
from fennelfork_daemon.kv._client import ConfigKey
from fennelfork_daemon.kv._patch_steps import read_event, write_event

_MS: Final = 1000
_TRIES: Final = 6
_PATIENCE_MS: Final = 2500
_PATCHES_AT_ONCE: Final = 16
_RETRY_AFTER_MS: Final = 1000


@attrs.define(kw_only=True)
class ConfigPatcher:
    """Runs one `PatchWriter` for each patch, a bounded number at once."""

    _board: Blackboard
    _holder: ConfigHolder
    _key: ConfigKey
    _clock: Clock
    _civil: Clock
    _jitter: random.Random
    _ask_fleet: Callable[[], int]
    _slots: Semaphore = attrs.field(
        factory=lambda: Semaphore(_PATCHES_AT_ONCE),
    )

    def patch(self, request: PatchRequest) -> PatchOutcome:
        """Bring a patch into force, or say why it is not.

        Args:
            request: a checked request.

        Returns:
            The outcome, with what is certain of it.
        """
        if self._slots.locked():
            return Bad(_too_many())
        with self._slots:
            return self._run(self._writer(request))

    def _known_version(self) -> int:
        """Give the highest version that this daemon can learn of.

        One that holds no document asks all others first: an emptied platform
        must not be given a second version 1.
        """
        state = self._holder.state
        if state.active is None:
            return self._ask_fleet()
        members = self._board.members.values()
        heard = max((member.config_version for member in members), default=0)
        return max(state.version, heard)

    def _writer(self, request: PatchRequest) -> PatchWriter:
        return PatchWriter(
            request=request,
            known_version=self._known_version(),
            previous=self._holder.state.parsed,
            now_ms=int(self._civil.now_ms()),
            attempts_left=_TRIES,
            deadline_ms=self._clock.now_ms() + _PATIENCE_MS,
            clock=self._clock,
            jitter=self._jitter,
        )

    def _run(self, writer: PatchWriter) -> PatchOutcome:
        while not isinstance(writer.step, PatchDone):
            self._take_step(writer, writer.step)
        outcome = writer.step.outcome
        if is_successful(outcome) and outcome.unwrap().raw is not None:
            self._holder.offer(outcome.unwrap().raw, ConfigSource.PLATFORM)
        return outcome

    def _take_step(
        self,
        writer: PatchWriter,
        step: ReadDocument | WriteDocument,
    ) -> None:
        sleep(step.delay_ms / _MS)
        if isinstance(step, ReadDocument):
            advance_patch(read_event(self._key), writer)
        else:
            advance_patch(write_event(self._key, step.write), writer)


def _too_many() -> PatchRefused:
    return PatchRefused(
        failure=not_run(
            FailureCode.SHED,
            f'{_PATCHES_AT_ONCE} patches are being written by this daemon',
            _RETRY_AFTER_MS,
        ),
    )

"""Writes patches of operators to the key-value store of the platform."""

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
from fennelfork_daemon.config._activator import ConfigActivator
from fennelfork_daemon.kv._client import ConfigKey
from fennelfork_daemon.kv._patch_steps import execute_read, execute_write

_MS_PER_S: Final = 1000
_MAX_ATTEMPTS: Final = 6
_TIMEOUT_MS: Final = 2500
_MAX_CONCURRENT_PATCHES: Final = 16
_RETRY_AFTER_MS: Final = 1000


@attrs.define(kw_only=True)
class ConfigPatcher:
    """Writes configuration patches, with a limit on concurrent patches."""

    _blackboard: Blackboard
    _activator: ConfigActivator
    _key: ConfigKey
    _clock: Clock
    _wall_clock: Clock
    _jitter: random.Random
    _query_fleet_version: Callable[[], int]
    _slots: Semaphore = attrs.field(
        factory=lambda: Semaphore(_MAX_CONCURRENT_PATCHES),
    )

    def patch(self, request: PatchRequest) -> PatchOutcome:
        """Write a configuration patch to the platform and activate the result.

        Args:
            request: validated patch request.

        Returns:
            The outcome; the verdict of a failure tells whether the patch may
            have been written.
        """
        if self._slots.locked():
            return Bad(_build_overload_refusal())
        with self._slots:
            return self._run_writer(self._build_writer(request))

    def _known_version(self) -> int:
        """Return the highest configuration version that the fleet knows.

        A daemon without a configuration document queries all other daemons,
        so that a platform that lost its data does not get a second version 1.
        """
        state = self._activator.state
        if state.active is None:
            return self._query_fleet_version()
        members = self._blackboard.members.values()
        announced = max(
            (member.config_version for member in members), default=0
        )
        return max(state.version, announced)

    def _build_writer(self, request: PatchRequest) -> PatchWriter:
        return PatchWriter(
            request=request,
            known_version=self._known_version(),
            previous=self._activator.state.parsed,
            now_ms=int(self._wall_clock.now_ms()),
            attempts_left=_MAX_ATTEMPTS,
            deadline_ms=self._clock.now_ms() + _TIMEOUT_MS,
            clock=self._clock,
            jitter=self._jitter,
        )

    def _run_writer(self, writer: PatchWriter) -> PatchOutcome:
        while not isinstance(writer.step, PatchDone):
            self._run_step(writer, writer.step)
        outcome = writer.step.outcome
        if is_successful(outcome) and outcome.unwrap().raw is not None:
            self._activator.offer(outcome.unwrap().raw, ConfigSource.PLATFORM)
        return outcome

    def _run_step(
        self,
        writer: PatchWriter,
        step: ReadDocument | WriteDocument,
    ) -> None:
        sleep(step.delay_ms / _MS_PER_S)
        if isinstance(step, ReadDocument):
            advance_patch(execute_read(self._key), writer)
        else:
            advance_patch(execute_write(self._key, step.write), writer)


def _build_overload_refusal() -> PatchRefused:
    return PatchRefused(
        failure=not_run(
            FailureCode.SHED,
            f'{_MAX_CONCURRENT_PATCHES} patches are being written by this daemon',
            _RETRY_AFTER_MS,
        ),
    )

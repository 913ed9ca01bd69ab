"""State that one daemon keeps of a suspected poison request."""

import enum
import math
from typing import Final

import attrs

# Crashes within this time count as one, because servers that crash one after
# the other for an unrelated reason meet many attempts of the same request.
_MIN_INTERVAL_MS: Final = 1000.0
# A single isolated crash may be a coincidence.
_MIN_ISOLATED_CRASHES: Final = 2
_MIN_CRASHES: Final = 3
# Bounds the size of a record, which every daemon holds.
_MAX_CRASHES: Final = 16


@enum.unique
class RequestStatus(enum.StrEnum):
    """Status of a request during whose attempts backend servers crashed.

    `SUSPECTED`: sent to one backend server at a time until a server responds.
    `QUARANTINED`: refused. `RELEASED`: treated as an ordinary request;
    overrides the suspicions that other daemons still hold.
    """

    SUSPECTED = 'suspected'
    QUARANTINED = 'quarantined'
    RELEASED = 'released'


@attrs.frozen(kw_only=True)
class ServerCrash:
    """Crash of a backend server during an attempt of a request.

    Attributes:
        run: incarnation of the backend server.
        service: service of the backend server.
        alone: whether the request was already suspected and this attempt was
            the only one in flight. An isolated crash rules out that many
            servers crashed for a common cause.
    """

    run: str
    service: str
    alone: bool


@attrs.frozen(kw_only=True)
class SuspicionRecord:
    """Record of a suspected poison request, exchanged through the store.

    Attributes:
        fingerprint: fingerprint of the request.
        status: status of the request.
        crashes: the first crashes during attempts of the request.
        isolated_crashes: number of isolated crashes, where crashes within one
            second count once.
        trials: number of attempts since the request is quarantined.
        last_crash_ms: time of day of the last crash, by the clock of the
            daemon that observed the crash.
    """

    fingerprint: str
    status: RequestStatus
    crashes: tuple[ServerCrash, ...] = ()
    isolated_crashes: int = 0
    trials: int = 0
    last_crash_ms: int = 0

    @property
    def is_durable(self) -> bool:
        """Whether the record outlives the daemon that published it."""
        return _is_durable(self.status, self.isolated_crashes)


@attrs.define(kw_only=True)
class Suspicion:
    """State that this daemon keeps of one suspected poison request.

    Attributes:
        status: status of the request.
        isolated_crashes: number of isolated crashes, where crashes within one
            second count once.
        trials: number of attempts since the request is quarantined.
        status_since_ms: time at which this daemon set the status.
        updated_ms: time at which this daemon last learned of a crash.
        last_crash_ms: time of day of the last crash.
        stored: record in the store and the revision of the entry, none if the
            store holds no record.
        is_own: whether this daemon published the record.
    """

    status: RequestStatus = RequestStatus.SUSPECTED
    isolated_crashes: int = 0
    trials: int = 0
    status_since_ms: float = 0
    updated_ms: float = 0
    last_crash_ms: int = 0
    stored: tuple[SuspicionRecord, int] | None = None
    is_own: bool = False
    _crashes: dict[str, ServerCrash] = attrs.field(factory=dict)
    _isolated_ms: float = -math.inf

    @property
    def crashes(self) -> tuple[ServerCrash, ...]:
        """The crashes of services that have not responded since."""
        return tuple(self._crashes.values())

    @property
    def services(self) -> frozenset[str]:
        """The services whose backend servers crashed."""
        return frozenset(crash.service for crash in self._crashes.values())

    @property
    def is_durable(self) -> bool:
        """Whether the suspicion outlives this daemon."""
        return _is_durable(self.status, self.isolated_crashes)

    def add_crash(
        self,
        crash: ServerCrash,
        now_ms: float,
        crash_ms: int,
    ) -> bool:
        """Record a crash that this daemon observed.

        Args:
            crash: crash of a backend server.
            now_ms: current time.
            crash_ms: time of day of the crash, in milliseconds.

        Returns:
            Whether the crash was not known before.
        """
        if not self._insert_crash(crash):
            return False
        self.updated_ms = now_ms
        self.last_crash_ms = max(self.last_crash_ms, crash_ms)
        if crash.alone and now_ms - self._isolated_ms >= _MIN_INTERVAL_MS:
            self._isolated_ms = now_ms
            self.isolated_crashes += 1
        self._update_status(now_ms)
        return True

    def apply_record(
        self,
        record: SuspicionRecord,
        revision: int,
        now_ms: float,
    ) -> None:
        """Merge a suspicion record from the store into this suspicion.

        The arrival of a record does not tell when its crashes happened, so
        only the daemons that observed a crash count isolated crashes. The
        current time is an upper bound of the time of a crash.

        Args:
            record: record in the store.
            revision: revision of the entry in the store.
            now_ms: current time.
        """
        self.stored = (record, revision)
        if record.status is RequestStatus.RELEASED:
            self.release(now_ms)
            return
        if any([self._insert_crash(crash) for crash in record.crashes]):
            self.updated_ms = now_ms
        self.last_crash_ms = max(self.last_crash_ms, record.last_crash_ms)
        if record.isolated_crashes > self.isolated_crashes:
            self.isolated_crashes = record.isolated_crashes
            self._isolated_ms = now_ms
        self.trials = max(self.trials, record.trials)
        if record.status is RequestStatus.QUARANTINED:
            self._set_status(record.status, now_ms)
        self._update_status(now_ms)

    def record_response(self, service: str) -> bool:
        """Remove the crashes of a service that responded to the request.

        Args:
            service: name of the service.

        Returns:
            Whether no crashes remain. A poison request never gets a response.
        """
        for run, crash in tuple(self._crashes.items()):
            if crash.service == service:
                self._crashes.pop(run)
        return not self._crashes

    def release(self, now_ms: float) -> None:
        """Remove all crashes and set the status to `RELEASED`."""
        self._crashes.clear()
        self.isolated_crashes = 0
        self.updated_ms = now_ms
        self._set_status(RequestStatus.RELEASED, now_ms)

    def to_trial_record(self, fingerprint: str) -> SuspicionRecord:
        """Return the record to publish when this daemon claims a trial."""
        known = self.to_record(fingerprint)
        return attrs.evolve(known, trials=known.trials + 1)

    def to_record(self, fingerprint: str) -> SuspicionRecord:
        """Return the record of this suspicion for other daemons."""
        return SuspicionRecord(
            fingerprint=fingerprint,
            status=self.status,
            crashes=self.crashes,
            isolated_crashes=self.isolated_crashes,
            trials=self.trials,
            last_crash_ms=self.last_crash_ms,
        )

    def _insert_crash(self, crash: ServerCrash) -> bool:
        """Insert a crash and return whether it was not known before."""
        if crash.run in self._crashes:
            return False
        self._crashes[crash.run] = crash
        if len(self._crashes) > _MAX_CRASHES:
            # Isolated crashes are the strongest evidence and are kept.
            evicted = min(
                self._crashes,
                key=lambda run: self._crashes[run].alone,
            )
            self._crashes.pop(evicted)
        return True

    def _update_status(self, now_ms: float) -> None:
        """Quarantine the request if enough crashes are known."""
        if (
            self.isolated_crashes >= _MIN_ISOLATED_CRASHES
            and len(self._crashes) >= _MIN_CRASHES
        ):
            self._set_status(RequestStatus.QUARANTINED, now_ms)

    def _set_status(self, status: RequestStatus, now_ms: float) -> None:
        if self.status is not status:
            self.status = status
            self.status_since_ms = now_ms


def _is_durable(status: RequestStatus, isolated_crashes: int) -> bool:
    """Return whether the status rests on more than simultaneous crashes."""
    return isolated_crashes > 0 or status is not RequestStatus.SUSPECTED

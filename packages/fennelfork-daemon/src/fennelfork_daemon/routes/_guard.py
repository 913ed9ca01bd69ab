"""Protection of backend servers against poison requests."""

from typing import Final

import attrs
from returns.pipeline import is_successful
from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import Failure, FailureCode, not_run
from fennelfork.routes import (
    Quarantine,
    RequestStatus,
    Send,
    ServerCrash,
    Suspicion,
)
from fennelfork_daemon.routes._caller_request import CallerRequest
from fennelfork_daemon.routes._ports import Store
from fennelfork_daemon.routes._request_reporter import RequestReporter
from fennelfork_daemon.routes._store_reporter import StoreReporter
from fennelfork_daemon.routes._suspicion_publisher import SuspicionPublisher

_NO_SERVICES: Final = frozenset[str]()
# Minimum time until a trial can release a quarantined request.
_TRIAL_RETRY_MS: Final = 30_000
# Time in which the outcome of an isolated attempt reaches all daemons.
_SUSPECTED_RETRY_MS: Final = 500


@attrs.frozen(kw_only=True)
class RequestGuard:
    """Admission of requests, based on the crashes that they caused."""

    _quarantine: Quarantine
    _store: Store
    _publisher: SuspicionPublisher
    _request_reporter: RequestReporter
    _store_reporter: StoreReporter

    def admit(self, fingerprint: str) -> Result[frozenset[str], Failure]:
        """Decide whether a request may be sent to backend servers.

        Returns:
            The services in which the request may have crashed servers, or the
            failure if the request is refused.
        """
        suspicion = self._quarantine.find(fingerprint)
        if suspicion is None:
            return Success(_NO_SERVICES)
        if not suspicion.is_durable or self._claim_attempt(
            fingerprint, suspicion
        ):
            return Success(suspicion.services)
        return Bad(_build_refusal(suspicion))

    def record_response(
        self, send: Send, caller_request: CallerRequest
    ) -> None:
        """Record that a backend server responded to a request."""
        if self._quarantine.find(caller_request.fingerprint) is None:
            return
        was_released = self._quarantine.record_response(
            caller_request.fingerprint,
            send.server.service,
            alone=send.alone,
        )
        if was_released:
            self._report_status(
                caller_request.fingerprint, RequestStatus.RELEASED, 'own'
            )

    def record_crash(self, send: Send, caller_request: CallerRequest) -> None:
        """Record that a backend server crashed during an attempt."""
        self._request_reporter.log_crash(send, caller_request)
        crash = ServerCrash(
            run=send.server.incarnation,
            service=send.server.service,
            alone=send.alone,
        )
        status = self._quarantine.record_crash(
            caller_request.fingerprint, crash
        )
        if status is None:
            self._publisher.wake()
        else:
            self._report_status(caller_request.fingerprint, status, 'own')

    def release(self, fingerprint: str) -> bool:
        """Release a quarantined request on behalf of an operator.

        Returns:
            Whether the request was suspected or quarantined.
        """
        released = self._quarantine.release(fingerprint)
        if released:
            self._report_status(fingerprint, RequestStatus.RELEASED, 'operator')
        return released

    def _claim_attempt(self, fingerprint: str, suspicion: Suspicion) -> bool:
        """Claim an isolated attempt or a trial of a request in the store.

        The store grants the claim to one daemon, and only if this daemon knows
        the latest revision of the suspicion. While the store is unavailable,
        the attempt is refused.
        """
        if suspicion.stored is None:
            return False
        record = suspicion.to_record(fingerprint)
        if suspicion.status is RequestStatus.QUARANTINED:
            if not self._quarantine.is_trial_due(fingerprint):
                return False
            record = suspicion.to_trial_record(fingerprint)
        claimed = self._store.claim_trial(record, suspicion.stored[1])
        if not is_successful(claimed) or not claimed.unwrap():
            return False
        suspicion.trials = max(suspicion.trials, record.trials)
        return True

    def _report_status(
        self, fingerprint: str, status: RequestStatus, by: str
    ) -> None:
        suspicion = self._quarantine.exchange.record_of(fingerprint)
        self._store_reporter.request_status_changed(suspicion, status, by)
        self._publisher.wake()


def _build_refusal(suspicion: Suspicion) -> Failure:
    incarnations = ', '.join(crash.run for crash in suspicion.crashes)
    if suspicion.status is RequestStatus.QUARANTINED:
        detail = (
            f'backend servers ended each time that they ran it: {incarnations}'
        )
        return not_run(FailureCode.QUARANTINED, detail, _TRIAL_RETRY_MS)
    detail = (
        f'another attempt may crash a backend server as before: {incarnations}'
    )
    return not_run(FailureCode.QUARANTINED, detail, _SUSPECTED_RETRY_MS)

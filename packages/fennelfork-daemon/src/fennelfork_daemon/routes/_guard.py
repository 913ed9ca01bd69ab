"""Keeps requests that end backend servers away from them."""

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
from fennelfork_daemon.routes._ask import Ask
from fennelfork_daemon.routes._ports import Store
from fennelfork_daemon.routes._request_reporter import RequestReporter
from fennelfork_daemon.routes._store_reporter import StoreReporter
from fennelfork_daemon.routes._suspicion_teller import SuspicionTeller

# Nothing is known of most requests.
_NOTHING: Final = frozenset[str]()
# No sooner can a trial let a request in quarantine through again.
_TRIAL_MS: Final = 30_000
# Until all daemons have heard what the last try of a suspected request came to.
_NEXT_TRY_MS: Final = 500


@attrs.frozen(kw_only=True)
class RequestGuard:
    """Notes under which requests servers end, and refuses those."""

    _quarantine: Quarantine
    _store: Store
    _teller: SuspicionTeller
    _requests: RequestReporter
    _judgements: StoreReporter

    def admit(self, fingerprint: str) -> Result[frozenset[str], Failure]:
        """Tell whether a request may be sent at all.

        Returns:
            The services that lost servers to it, none for most; or the
            refusal of a request in quarantine.
        """
        known = self._quarantine.find(fingerprint)
        if known is None:
            return Success(_NOTHING)
        if not known.is_durable or self._may_be_tried(fingerprint, known):
            return Success(known.services)
        return Bad(_refusal(known))

    def note_answer(self, send: Send, ask: Ask) -> None:
        """Note that a server answered a request, and so lives on."""
        if self._quarantine.find(ask.fingerprint) is None:
            return
        cleared = self._quarantine.record_response(
            ask.fingerprint,
            send.server.service,
            alone=send.alone,
        )
        if cleared:
            self._judged(ask.fingerprint, RequestStatus.RELEASED, 'own')

    def note_end(self, send: Send, ask: Ask) -> None:
        """Note that a server ended while it had a request."""
        self._requests.server_ended(send, ask)
        end = ServerCrash(
            run=send.server.incarnation,
            service=send.server.service,
            alone=send.alone,
        )
        status = self._quarantine.record_crash(ask.fingerprint, end)
        if status is None:
            self._teller.wake()
        else:
            self._judged(ask.fingerprint, status, 'own')

    def release(self, fingerprint: str) -> bool:
        """Let a request through again, as an operator says; tell if known."""
        released = self._quarantine.release(fingerprint)
        if released:
            self._judged(fingerprint, RequestStatus.RELEASED, 'operator')
        return released

    def _may_be_tried(self, fingerprint: str, known: Suspicion) -> bool:
        """Claim a try of a request that most likely ends its server.

        Only one of all daemons makes it, and knows what the last one came to:
        whoever does not hold what the store holds has to hear of that first.
        While the store is away nobody may.
        """
        if known.stored is None:
            return False
        record = known.to_record(fingerprint)
        if known.status is RequestStatus.QUARANTINED:
            if not self._quarantine.is_trial_due(fingerprint):
                return False
            record = known.to_trial_record(fingerprint)
        claimed = self._store.claim(record, known.stored[1])
        if not is_successful(claimed) or not claimed.unwrap():
            return False
        known.trials = max(known.trials, record.trials)
        return True

    def _judged(self, fingerprint: str, status: RequestStatus, by: str) -> None:
        known = self._quarantine.exchange.record_of(fingerprint)
        self._judgements.request_judged(known, status, by)
        self._teller.wake()


def _refusal(known: Suspicion) -> Failure:
    runs = ', '.join(end.run for end in known.crashes)
    if known.status is RequestStatus.QUARANTINED:
        detail = f'backend servers ended each time that they ran it: {runs}'
        return not_run(FailureCode.QUARANTINED, detail, _TRIAL_MS)
    detail = f'another try of it may end a backend server as before: {runs}'
    return not_run(FailureCode.QUARANTINED, detail, _NEXT_TRY_MS)

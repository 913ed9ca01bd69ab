"""Counter of the calls of the store, by reason and outcome."""

import enum
import functools
from collections.abc import Callable
from typing import Any, Protocol

import attrs
from greenlet import GreenletExit
from returns.result import Failure as Failed
from returns.result import Result, Success

from fennelfork import Failure, Verdict
from fennelfork.membership import Member
from fennelfork.placement import relay_parents
from fennelfork.routes import (
    StoreEra,
    SuspicionRecord,
    SuspicionUpdates,
    WatchTimeouts,
)
from fennelfork_daemon.routes._blackboard import RouteBlackboard
from fennelfork_daemon.routes._ports import (
    HistoryCompacted,
    Listing,
    Store,
    UpdateBatch,
)


class CallReason(enum.StrEnum):
    """Reason for a call of the store, as in the metrics."""

    STALE_LISTING = 'stale_listing'
    LISTING = 'listing'
    # No other daemon of the data centre is known.
    WATCH_ALONE = 'watch_alone'
    # Other daemons of the data centre read from this one.
    WATCH_AS_READER = 'watch_as_reader'
    # The daemons that pass on updates did not respond or were not current.
    WATCH_WITHOUT_RELAY = 'watch_without_relay'
    LEASE = 'lease'
    RENEWAL = 'renewal'
    REGISTRATION = 'registration'
    SUSPICION = 'suspicion'
    TRIAL = 'trial'
    END_OF_LEASE = 'end_of_lease'


class CallOutcome(enum.StrEnum):
    """Outcome of a call of the store, as in the metrics."""

    OK = 'ok'
    # The lease has expired, or the entry has changed.
    OUTDATED = 'outdated'
    COMPACTED = 'compacted'
    # The call did not reach the store, or the store rejected the call.
    REFUSED = 'refused'
    # No valid response; the call may have been executed.
    LOST = 'lost'
    # The call was no longer needed.
    ABANDONED = 'abandoned'


class CallCounter(Protocol):
    """Counts the calls of the store."""

    def count_store_call(self, reason: str, outcome: str, times: int) -> None:
        """Count calls of the store by reason and outcome."""


@attrs.frozen(kw_only=True)
class CountedStore:
    """Store whose calls are counted; `Store` documents the methods."""

    _store: Store
    _counter: CallCounter
    _blackboard: RouteBlackboard

    @property
    def era(self) -> StoreEra:
        """Era that the responses of the store state."""
        return self._store.era

    def list_all(
        self, timeout_ms: float, *, may_be_stale: bool
    ) -> Result[Listing, Failure]:
        """Read all entries and count each page."""
        return self._count(
            CallReason.STALE_LISTING if may_be_stale else CallReason.LISTING,
            lambda: self._store.list_all(timeout_ms, may_be_stale=may_be_stale),
        )

    def watch(
        self, after: int, timeouts: WatchTimeouts
    ) -> Result[UpdateBatch | HistoryCompacted, Failure]:
        """Wait for updates after a revision."""
        return self._count(
            _watch_reason(self._blackboard),
            lambda: self._store.watch(after, timeouts),
        )

    def open_lease(self, ttl_ms: float) -> Result[int, Failure]:
        """Open a lease."""
        return self._count(
            CallReason.LEASE, lambda: self._store.open_lease(ttl_ms)
        )

    def renew(self, lease: int) -> Result[bool, Failure]:
        """Renew a lease."""
        return self._count(CallReason.RENEWAL, lambda: self._store.renew(lease))

    def register(self, member: Member, lease: int) -> Result[bool, Failure]:
        """Register a daemon."""
        return self._count(
            CallReason.REGISTRATION,
            lambda: self._store.register(member, lease),
        )

    def publish(
        self, updates: SuspicionUpdates, lease: int
    ) -> Result[bool, Failure]:
        """Publish the status of suspected poison requests."""
        return self._count(
            CallReason.SUSPICION, lambda: self._store.publish(updates, lease)
        )

    def claim_trial(
        self, record: SuspicionRecord, revision: int
    ) -> Result[bool, Failure]:
        """Reserve the trial of a request."""
        return self._count(
            CallReason.TRIAL,
            lambda: self._store.claim_trial(record, revision),
        )

    def revoke_lease(self, lease: int) -> Result[bool, Failure]:
        """Revoke a lease."""
        return self._count(
            CallReason.END_OF_LEASE, lambda: self._store.revoke_lease(lease)
        )

    def _count(
        self, reason: CallReason, call: Callable[[], Result[Any, Failure]]
    ) -> Result[Any, Failure]:
        """Make a call and count it, also if the call is cancelled."""
        try:
            result = call()
        except GreenletExit:
            self._counter.count_store_call(reason, CallOutcome.ABANDONED, 1)
            raise
        outcome = _result_outcome(result)
        times = _page_count(result)
        self._counter.count_store_call(reason, outcome, times)
        return result


def counted_store(
    store: Store, counter: CallCounter, blackboard: RouteBlackboard
) -> CountedStore:
    """Count the calls that a daemon makes.

    Args:
        store: store that executes the calls.
        counter: receiver of the counts.
        blackboard: facts that tell why the daemon watches the store.
    """
    return CountedStore(store=store, counter=counter, blackboard=blackboard)


def _watch_reason(blackboard: RouteBlackboard) -> CallReason:
    local = blackboard.local
    others = blackboard.members.entries.values()
    if relay_parents(local, others):
        return CallReason.WATCH_WITHOUT_RELAY
    has_neighbour = any(
        other.data_centre == local.data_centre and other.name != local.name
        for other in others
    )
    if has_neighbour:
        return CallReason.WATCH_AS_READER
    return CallReason.WATCH_ALONE


def _result_outcome(result: Result[Any, Failure]) -> CallOutcome:
    if isinstance(result, Success):
        return _response_outcome(result.unwrap())
    failure = result.failure()
    if failure.verdict is Verdict.NOT_RUN:
        return CallOutcome.REFUSED
    return CallOutcome.LOST


@functools.singledispatch
def _response_outcome(response: Any) -> CallOutcome:
    """Return the outcome of a call that has a response."""
    return CallOutcome.OK


@_response_outcome.register
def _precondition_outcome(response: bool) -> CallOutcome:
    return CallOutcome.OK if response else CallOutcome.OUTDATED


@_response_outcome.register
def _compacted_outcome(response: HistoryCompacted) -> CallOutcome:
    return CallOutcome.COMPACTED


def _page_count(result: Result[Any, Failure]) -> int:
    """Return the number of calls that led to a result."""
    if isinstance(result, Failed):
        return 1
    response = result.unwrap()
    return response.pages if isinstance(response, Listing) else 1

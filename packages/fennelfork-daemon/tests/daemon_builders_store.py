"""Stand-ins of the store and of relays for tests of a daemon."""

from typing import Any

import attrs
import eventlet
from returns.result import Failure as Bad
from returns.result import Result, Success

from fennelfork import Failure, FailureCode, not_run
from fennelfork.membership import Member
from fennelfork.routes import (
    StoreEra,
    StorePosition,
    SuspicionRecord,
    SuspicionUpdates,
    WatchTimeouts,
)
from fennelfork_daemon.routes import (
    HistoryCompacted,
    Listing,
    RelayedBatch,
    UpdateBatch,
)

STORE_UNAVAILABLE = not_run(FailureCode.PLATFORM, 'the store answered 503')
# Marks a call of the store that gets no response.
NO_RESPONSE = 'silence'
# Duration of a call without a response, longer than any test.
_HANG_S = 60


@attrs.define(kw_only=True)
class FakeStore:
    """Stand-in of the store that records calls and returns set results."""

    listings: list[Any] = attrs.field(factory=list)
    told: list[Any] = attrs.field(factory=list)
    claims: list[Any] = attrs.field(factory=list)
    watch_results: list[Any] = attrs.field(factory=list)
    renewals: list[Any] = attrs.field(factory=list)
    calls: list[tuple[Any, ...]] = attrs.field(factory=list)
    stale_listings: list[bool] = attrs.field(factory=list)
    leases: int = 0
    era: StoreEra = attrs.field(factory=StoreEra)

    def list_all(
        self, timeout_ms: float, *, may_be_stale: bool
    ) -> Result[Listing, Failure]:
        """Return the next listing, or a failure if none is left."""
        self.calls.append(('list_all', timeout_ms))
        self.stale_listings.append(may_be_stale)
        if not self.listings:
            return Bad(STORE_UNAVAILABLE)
        updates = self.listings.pop(0)
        if updates is NO_RESPONSE:
            eventlet.sleep(_HANG_S)
        return Success(Listing(updates=tuple(updates), revision=5))

    def watch(
        self,
        after: int,
        timeouts: WatchTimeouts,
    ) -> Result[UpdateBatch | HistoryCompacted, Failure]:
        """Return the next watch result, or a failure if none is left."""
        self.calls.append(('watch', after, timeouts))
        if not self.watch_results:
            return Bad(STORE_UNAVAILABLE)
        updates = self.watch_results.pop(0)
        if updates is NO_RESPONSE:
            eventlet.sleep(_HANG_S)
        if isinstance(updates, HistoryCompacted):
            return Success(updates)
        return Success(UpdateBatch(updates=tuple(updates), revision=after + 1))

    def open_lease(self, ttl_ms: float) -> Result[int, Failure]:
        """Record a new lease and return its number."""
        self.calls.append(('open_lease', ttl_ms))
        self.leases += 1
        return Success(self.leases)

    def renew(self, lease: int) -> Result[bool, Failure]:
        """Return the next result of a renewal."""
        self.calls.append(('renew', lease))
        return self.renewals.pop(0)

    def register(self, member: Member, lease: int) -> Result[bool, Failure]:
        """Record a registration and return success."""
        self.calls.append(('register', member.name, lease))
        return Success(True)

    def publish(
        self, updates: SuspicionUpdates, lease: int
    ) -> Result[bool, Failure]:
        """Record updates of suspicions and return the next set result."""
        self.calls.append(('tell', updates, lease))
        return self.told.pop(0) if self.told else Success(True)

    def claim_trial(
        self,
        record: SuspicionRecord,
        revision: int,
    ) -> Result[bool, Failure]:
        """Return the next result of a claim."""
        self.calls.append(('claim', record, revision))
        return self.claims.pop(0)

    def revoke_lease(self, lease: int) -> Result[bool, Failure]:
        """Record the end of a lease and return success."""
        self.calls.append(('end_lease', lease))
        return Success(True)


@attrs.define(kw_only=True)
class ActingStore(FakeStore):
    """Stand-in of the store during one call of which something happens.

    A call during which the era changes fails.

    Attributes:
        call: name of the call.
        action: function that is called during the call.
    """

    call: str
    action: Any = None

    def open_lease(self, ttl_ms: float) -> Result[int, Failure]:
        """Record a new lease and return its number."""
        opened = super().open_lease(ttl_ms)
        return self._act_during('open_lease', opened)

    def renew(self, lease: int) -> Result[bool, Failure]:
        """Return the next result of a renewal."""
        renewed = super().renew(lease)
        return self._act_during('renew', renewed)

    def register(self, member: Member, lease: int) -> Result[bool, Failure]:
        """Record a registration and return success."""
        registered = super().register(member, lease)
        return self._act_during('register', registered)

    def _act_during(self, call: str, result: Result[Any, Failure]) -> Any:
        if call != self.call:
            return result
        sent_in = self.era.number
        self.action()
        eventlet.sleep(0)
        return result if self.era.number == sent_in else Bad(STORE_UNAVAILABLE)


@attrs.define(kw_only=True)
class FakeRelays:
    """Stand-in of other daemons that pass on updates of the store.

    Attributes:
        replies: next results by peer address; a peer without one fails.
        calls: peer address and revision of each request.
    """

    replies: dict[str, list[Any]] = attrs.field(factory=dict)
    calls: list[tuple[str, int]] = attrs.field(factory=list)

    def fetch(
        self, peer: str, after: StorePosition, timeouts: WatchTimeouts
    ) -> Result[RelayedBatch | HistoryCompacted, Failure]:
        """Return the next reply of a peer."""
        self.calls.append((peer, after.revision))
        if not self.replies.get(peer):
            return Bad(STORE_UNAVAILABLE)
        return Success(self.replies[peer].pop(0))

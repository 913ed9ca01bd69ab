"""Interfaces that an adapter to a platform implements."""

from collections.abc import Callable
from typing import Any, Protocol

import attrs
from returns.result import Result

from fennelfork import Failure
from fennelfork.membership import Member
from fennelfork.routes import (
    BackendServer,
    EncodedUpdate,
    StoreEra,
    StorePosition,
    SuspicionRecord,
    SuspicionUpdates,
    WatchTimeouts,
)
from fennelfork.workspaces import Workspace
from fennelfork_daemon.backend._request import BackendResponse, ForwardRequest
from fennelfork_daemon.http._router import HttpReply
from fennelfork_daemon.routes._answer import Answer
from fennelfork_daemon.routes._caller_request import (
    CallerRequest,
    SignedResponse,
)
from fennelfork_daemon.routes._updates import StoreUpdate


@attrs.frozen(kw_only=True)
class Listing:
    """All entries of the store.

    Attributes:
        updates: one update for each entry.
        revision: revision after which the store is watched.
        pages: number of calls of the store that returned the entries.
    """

    updates: tuple[StoreUpdate, ...]
    revision: int
    pages: int = 1


@attrs.frozen(kw_only=True)
class UpdateBatch:
    """Updates of the store in order.

    Attributes:
        updates: updates in order of their revisions.
        revision: revision after which the store is watched.
        encoded: the same updates for daemons to which they are passed on.
    """

    updates: tuple[StoreUpdate, ...]
    revision: int
    encoded: tuple[EncodedUpdate, ...] = ()


@attrs.frozen(kw_only=True)
class RelayedBatch:
    """Updates of the store that a daemon passes on to another one.

    Attributes:
        changes: updates up to the latest revision that the sender knows.
        age_ms: time since the updates were read from the store.
        is_connected: whether the sender receives current updates.
        outage_end_age_ms: time since the end of the latest outage of the
            store, or None.
    """

    changes: UpdateBatch
    age_ms: float
    is_connected: bool
    outage_end_age_ms: float | None = None


@attrs.frozen(kw_only=True)
class HistoryCompacted:
    """The updates after a revision are not known: a listing is needed."""


class Store(Protocol):
    """The operations of the platform's store that a daemon uses."""

    @property
    def era(self) -> StoreEra:
        """Era that the responses of the store state."""

    def list_all(
        self, timeout_ms: float, *, may_be_stale: bool
    ) -> Result[Listing, Failure]:
        """Read all entries, each page within the timeout.

        Args:
            timeout_ms: maximum time for each page.
            may_be_stale: whether a cheaper listing that may be seconds old
                is sufficient.
        """

    def watch(
        self,
        after: int,
        timeouts: WatchTimeouts,
    ) -> Result[UpdateBatch | HistoryCompacted, Failure]:
        """Wait for updates after a revision; none may arrive in time."""

    def open_lease(self, ttl_ms: float) -> Result[int, Failure]:
        """Open a lease and return its number."""

    def renew(self, lease: int) -> Result[bool, Failure]:
        """Renew a lease; return false if it has expired."""

    def register(self, member: Member, lease: int) -> Result[bool, Failure]:
        """Register a daemon; return false if the lease has expired."""

    def publish(
        self, updates: SuspicionUpdates, lease: int
    ) -> Result[bool, Failure]:
        """Publish the status of suspected poison requests to the other daemons.

        Entries that are not durable are attached to the lease. Returns false
        if the lease has expired.
        """

    def claim_trial(
        self,
        record: SuspicionRecord,
        revision: int,
    ) -> Result[bool, Failure]:
        """Reserve the trial of a request for this daemon.

        Returns false if the entry has changed since the revision.
        """

    def revoke_lease(self, lease: int) -> Result[bool, Failure]:
        """Revoke a lease, which removes the registration of the daemon."""


class RelayClient(Protocol):
    """Reads updates that another daemon passes on."""

    def fetch(
        self,
        peer: str,
        after: StorePosition,
        timeouts: WatchTimeouts,
    ) -> Result[RelayedBatch | HistoryCompacted, Failure]:
        """Wait for updates after a position; none may arrive in time.

        Args:
            peer: peer address of the other daemon.
            after: latest known position in the history of the store.
            timeouts: timeouts of the call.
        """


class CallerCodec(Protocol):
    """Codec for the requests of callers and the answers to callers."""

    def read_request(
        self,
        environ: dict[str, Any],
        body: bytes | None,
    ) -> Result[CallerRequest, Failure]:
        """Decode a request."""

    def assign_workspace(
        self, caller_request: CallerRequest, workspace: Workspace | None
    ) -> CallerRequest:
        """Return the request as backend servers get it, without keys.

        Args:
            caller_request: request with the headers of the caller.
            workspace: workspace of the request, or None if it has none.
        """

    def write_answer(self, answer: Answer) -> HttpReply:
        """Encode an answer."""


class BackendCodec(Protocol):
    """Codec for the requests to backend servers and their responses."""

    def write_request(
        self,
        caller_request: CallerRequest,
        server: BackendServer,
        remaining_ms: Callable[[], float],
    ) -> ForwardRequest:
        """Encode the attempt that forwards a request to a server.

        Args:
            caller_request: request of the caller.
            server: server that gets the attempt.
            remaining_ms: function that returns the time until the deadline.
                It is called again when the request is written.
        """

    def read_response(
        self,
        response: BackendResponse,
    ) -> Result[SignedResponse, Failure]:
        """Decode a response; return a failure if it is invalid."""


@attrs.frozen(kw_only=True)
class Ports:
    """Adapter to one platform."""

    store: Store
    relays: RelayClient
    callers: CallerCodec
    backends: BackendCodec

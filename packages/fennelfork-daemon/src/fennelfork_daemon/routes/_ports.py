"""What the daemon needs of an adapter to a platform."""

from typing import Any, Protocol

import attrs
from returns.result import Result

from fennelfork import Failure
from fennelfork.membership import Member
from fennelfork.routes import (
    BackendServer,
    SuspicionRecord,
    SuspicionUpdates,
    WatchTimeouts,
)
from fennelfork_daemon.backend._call import BackendResponse, ForwardCall
from fennelfork_daemon.http._router import HttpReply
from fennelfork_daemon.routes._answer import Answer
from fennelfork_daemon.routes._ask import Ask, BackendAnswer
from fennelfork_daemon.routes._facts import Fact


@attrs.frozen(kw_only=True)
class Listing:
    """All that the store holds.

    Attributes:
        facts: one for each item.
        revision: from which on changes have to be asked for.
    """

    updates: tuple[Fact, ...]
    revision: int


@attrs.frozen(kw_only=True)
class Changes:
    """What changed in the store, in order; arguments as in `Listing`."""

    updates: tuple[Fact, ...]
    revision: int


@attrs.frozen(kw_only=True)
class HistoryGone:
    """The store no longer knows what changed: all has to be read again."""


class Store(Protocol):
    """The platform's store, as far as this daemon uses it."""

    def list_all(self, timeout_ms: float) -> Result[Listing, Failure]:
        """Read everything, linearizably; each page within a time."""

    def watch(
        self,
        after: int,
        timeouts: WatchTimeouts,
    ) -> Result[Changes | HistoryGone, Failure]:
        """Ask for changes after a revision; none may come in time."""

    def open_lease(self, ttl_ms: float) -> Result[int, Failure]:
        """Open a lease and give its number."""

    def renew(self, lease: int) -> Result[bool, Failure]:
        """Renew a lease; false if it has ended."""

    def register(self, member: Member, lease: int) -> Result[bool, Failure]:
        """Register this daemon under a lease; false if that has ended."""

    def publish(
        self, updates: SuspicionUpdates, lease: int
    ) -> Result[bool, Failure]:
        """Tell of requests that ended servers; false if the lease has ended.

        What does not last is told under the lease.
        """

    def claim(
        self,
        record: SuspicionRecord,
        revision: int,
    ) -> Result[bool, Failure]:
        """Tell that a request is tried; false if another told of it since."""

    def end_lease(self, lease: int) -> Result[bool, Failure]:
        """End a lease, and with it the registration."""


class CallerCodec(Protocol):
    """How requests and answers look to callers."""

    def read_ask(
        self,
        environ: dict[str, Any],
        body: bytes | None,
    ) -> Result[Ask, Failure]:
        """Read a request."""

    def write_answer(self, answer: Answer) -> HttpReply:
        """Write an answer."""


class BackendCodec(Protocol):
    """How requests and answers look to backend servers."""

    def write_call(
        self,
        ask: Ask,
        server: BackendServer,
        remaining_ms: float,
    ) -> ForwardCall:
        """Write the call that passes a request on."""

    def read_answer(
        self,
        response: BackendResponse,
    ) -> Result[BackendAnswer, Failure]:
        """Read the answer, or why it is none."""


@attrs.frozen(kw_only=True)
class Ports:
    """The adapter to one platform."""

    store: Store
    callers: CallerCodec
    backends: BackendCodec

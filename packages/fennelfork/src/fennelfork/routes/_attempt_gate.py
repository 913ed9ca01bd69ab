"""Limit on the attempts of a request that may be a poison request.

A poison request crashes one backend server with each attempt. After the
connection of an attempt is lost, or if the request is already suspected, only
one isolated attempt is in flight at a time. A response to the isolated attempt
lets all deferred attempts proceed; another lost connection stops them.
"""

from collections.abc import Iterable
from typing import Any

import attrs

from fennelfork.routes._send import Send
from fennelfork.routes._sub_request import SubRequest


@attrs.define(kw_only=True)
class AttemptGate:
    """State that decides which attempts of one request may proceed.

    Attributes:
        is_suspected: whether backend servers crashed during earlier attempts
            of the request.
        is_serial: whether attempts are sent one at a time now.
    """

    is_suspected: bool
    is_serial: bool
    _isolated: set[int] = attrs.field(factory=set)
    _deferred: list[SubRequest[Any]] = attrs.field(factory=list)

    @property
    def has_isolated_attempt(self) -> bool:
        """Whether an isolated attempt is in flight."""
        return bool(self._isolated)

    def isolates_any(self, attempts: Iterable[int]) -> bool:
        """Return whether any of the attempts is an isolated attempt."""
        return not self._isolated.isdisjoint(attempts)

    def record_sent(self, sends: Iterable[Send]) -> None:
        """Record the isolated attempts among new attempts."""
        self._isolated.update(send.attempt for send in sends if send.alone)

    def defer(self, sub_request: SubRequest[Any]) -> None:
        """Defer the next attempt of a sub-request."""
        self._deferred.append(sub_request)

    def take_deferred(self) -> list[SubRequest[Any]]:
        """Return the deferred sub-requests and clear the list."""
        deferred = list(self._deferred)
        self._deferred.clear()
        return deferred

    def record_response(self, attempt: int) -> bool:
        """Record the response to an attempt.

        Any response clears a request that was not suspected from the start. A
        suspected request is cleared by the response to an isolated attempt.

        Args:
            attempt: number of the attempt.

        Returns:
            Whether the response lets all deferred attempts proceed.
        """
        cleared = self.is_serial and (
            not self.is_suspected or attempt in self._isolated
        )
        self._isolated.discard(attempt)
        if cleared:
            self.is_serial = False
            self.is_suspected = False
            self._isolated.clear()
        return cleared

    def record_failure(self, attempt: int, *, connection_lost: bool) -> bool:
        """Record the failure of an attempt.

        Args:
            attempt: number of the attempt.
            connection_lost: whether the connection was lost, so that the
                backend server may have crashed.

        Returns:
            Whether the failure stops all further attempts.
        """
        was_isolated = attempt in self._isolated
        self._isolated.discard(attempt)
        self.is_serial = self.is_serial or connection_lost
        return was_isolated and connection_lost


def attempt_gate(*, suspected: bool) -> AttemptGate:
    """Build the attempt gate of a request that has no attempts yet.

    Args:
        suspected: whether backend servers crashed during earlier attempts of
            the request.
    """
    return AttemptGate(is_suspected=suspected, is_serial=suspected)

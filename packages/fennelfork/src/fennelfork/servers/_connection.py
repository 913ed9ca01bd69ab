"""Bookkeeping of the connections to one backend server."""

from typing import Final

import attrs

# A connection that was idle for longer is probed before it is reused.
_PROBE_IDLE_MS: Final = 1000.0
_MAX_IDLE_MS: Final = 30_000.0
# Delay before a new connection is opened to a server that refused one. The
# server may be at its connection limit because of daemons that lost power,
# whose connections it closes within seconds.
CONNECT_BACKOFF_MS: Final = 250.0


@attrs.frozen(kw_only=True)
class ConnectionChoice:
    """Connection that is selected for one request.

    Attributes:
        connection: number of the connection.
        opened: whether the adapter must open the connection.
        probe: whether the connection must be probed before use because it was
            idle for long.
        close: idle connections to close first, to respect the limit.
        idle_ms: time for which the connection was idle.
    """

    connection: int
    opened: bool
    probe: bool = False
    close: tuple[int, ...] = ()
    idle_ms: float = 0


@attrs.define(kw_only=True)
class ConnectionLedger:
    """Open and idle connections to one backend server.

    Attributes:
        limit: maximum number of open connections from this daemon to the
            server.
    """

    limit: int
    _opened_ms: dict[int, float] = attrs.field(factory=dict)
    _idle_since_ms: dict[int, float] = attrs.field(factory=dict)
    _invalidated: set[int] = attrs.field(factory=set)
    _last_connection: int = 0
    _refused_until_ms: float = 0

    @property
    def open(self) -> int:
        """Number of open connections."""
        return len(self._opened_ms)

    @property
    def has_capacity(self) -> bool:
        """Whether a connection is available for one more request."""
        return bool(self._idle_since_ms) or self.open < self.limit

    def use(self, now_ms: float, *, fresh: bool) -> ConnectionChoice | None:
        """Select the connection for one request.

        Args:
            now_ms: current time.
            fresh: whether a new connection is required.

        Returns:
            The selected connection, or `None` if no connection is available.
        """
        if self._idle_since_ms and not fresh:
            return self._reuse(now_ms)
        close: tuple[int, ...] = ()
        if self.open >= self.limit or now_ms < self._refused_until_ms:
            if not self._idle_since_ms:
                return None
            close = (self._remove(next(iter(self._idle_since_ms))),)
        self._last_connection += 1
        self._opened_ms[self._last_connection] = now_ms
        return ConnectionChoice(
            connection=self._last_connection, opened=True, close=close
        )

    def record_refused_connection(self, now_ms: float) -> None:
        """Record that the server refused a new connection."""
        self._refused_until_ms = now_ms + CONNECT_BACKOFF_MS

    def release(self, connection: int, now_ms: float, *, usable: bool) -> bool:
        """Return a connection to the pool after a request.

        Args:
            connection: number of the connection.
            now_ms: current time.
            usable: whether the connection may be reused; false if it failed
                or a response may still arrive on it.

        Returns:
            Whether to keep the connection open.
        """
        is_open = connection in self._opened_ms
        if is_open and usable and connection not in self._invalidated:
            self._idle_since_ms[connection] = now_ms
            return True
        self._remove(connection)
        return False

    def record_unresponsive(self, connection: int) -> tuple[int, ...]:
        """Invalidate an unresponsive connection and all older connections.

        The cause, such as a middlebox that dropped its state, affects every
        connection that is at least as old.

        Returns:
            The connections to close now: the unresponsive one and idle ones
            that are at least as old. Connections in use are closed when their
            request ends.
        """
        opened_ms = self._opened_ms.get(connection)
        if opened_ms is None:
            return ()
        peers = {
            other
            for other, other_ms in self._opened_ms.items()
            if other_ms <= opened_ms
        }
        close = {connection} | (peers & self._idle_since_ms.keys())
        self._invalidated |= peers - close
        return tuple(
            self._remove(connection_id) for connection_id in sorted(close)
        )

    def invalidate_all(self) -> tuple[int, ...]:
        """Invalidate all connections, and return the idle ones to close now."""
        idle = tuple(self._idle_since_ms)
        self._invalidated |= self._opened_ms.keys() - self._idle_since_ms.keys()
        return tuple(self._remove(connection_id) for connection_id in idle)

    def evict_idle(self, now_ms: float) -> tuple[int, ...]:
        """Remove and return the connections that were idle for too long."""
        expired = [
            connection_id
            for connection_id, since_ms in self._idle_since_ms.items()
            if now_ms - since_ms >= _MAX_IDLE_MS
        ]
        return tuple(self._remove(connection_id) for connection_id in expired)

    def _reuse(self, now_ms: float) -> ConnectionChoice:
        """Select the most recently used connection, so that others expire."""
        connection_id, since_ms = self._idle_since_ms.popitem()
        idle_ms = now_ms - since_ms
        return ConnectionChoice(
            connection=connection_id,
            opened=False,
            probe=idle_ms > _PROBE_IDLE_MS,
            idle_ms=idle_ms,
        )

    def _remove(self, connection: int) -> int:
        self._opened_ms.pop(connection, None)
        self._idle_since_ms.pop(connection, None)
        self._invalidated.discard(connection)
        return connection

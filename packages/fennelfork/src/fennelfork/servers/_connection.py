"""Connections to one backend server: limit, reuse, and silence."""

from typing import Final

import attrs

# An idle connection younger than this is used as it is.
_PROBE_IDLE_MS: Final = 1000.0
_MAX_IDLE_MS: Final = 30_000.0
# A server that turned a connection away holds as many as it may, perhaps of
# daemons that lost power: it forgets those within seconds. Until it is asked
# for a further one again, some five calls go by.
TURNED_AWAY_MS: Final = 250.0


@attrs.frozen(kw_only=True)
class ConnectionChoice:
    """What the adapter does for one request.

    Attributes:
        connection: number of the connection.
        opened: whether it is to be opened now.
        probe: whether it idled too long to be trusted without a probe.
        close: idle connections to close first, to stay below the limit.
        idle_ms: for how long it was not used.
    """

    connection: int
    opened: bool
    probe: bool = False
    close: tuple[int, ...] = ()
    idle_ms: float = 0


@attrs.define(kw_only=True)
class ConnectionLedger:
    """Which connections to a server are open, and which of them idle.

    Attributes:
        limit: most open connections of this daemon to the server.
    """

    limit: int
    _opened_ms: dict[int, float] = attrs.field(factory=dict)
    _idle_since_ms: dict[int, float] = attrs.field(factory=dict)
    _invalidated: set[int] = attrs.field(factory=set)
    _last_connection: int = 0
    _refused_until_ms: float = 0

    @property
    def open(self) -> int:
        """How many connections are open."""
        return len(self._opened_ms)

    @property
    def has_capacity(self) -> bool:
        """Whether one more request finds a connection."""
        return bool(self._idle_since_ms) or self.open < self.limit

    def use(self, now_ms: float, *, fresh: bool) -> ConnectionChoice | None:
        """Choose the connection of one request.

        Args:
            now_ms: the present time.
            fresh: open a new one, whatever idles.

        Returns:
            The choice, or none if all are in use at the limit.
        """
        if self._idle_since_ms and not fresh:
            return self._reuse(now_ms)
        close: tuple[int, ...] = ()
        if self.open >= self.limit or now_ms < self._refused_until_ms:
            if not self._idle_since_ms:
                return None
            close = (self._forget(next(iter(self._idle_since_ms))),)
        self._last_connection += 1
        self._opened_ms[self._last_connection] = now_ms
        return ConnectionChoice(
            connection=self._last_connection, opened=True, close=close
        )

    def turned_away(self, now_ms: float) -> None:
        """Note that the server takes no further connection at present."""
        self._refused_until_ms = now_ms + TURNED_AWAY_MS

    def done(self, connection: int, now_ms: float, *, usable: bool) -> bool:
        """Take a connection back after a request.

        Args:
            connection: its number.
            now_ms: the present time.
            usable: false if a reply may still arrive on it, or it broke.

        Returns:
            Whether to keep it open.
        """
        has_enough_samples = connection in self._opened_ms
        if (
            has_enough_samples
            and usable
            and connection not in self._invalidated
        ):
            self._idle_since_ms[connection] = now_ms
            return True
        self._forget(connection)
        return False

    def record_unresponsive(self, connection: int) -> tuple[int, ...]:
        """Note that a connection carries nothing while new ones work.

        What lost track of it lost its peers of that age or older too.

        Returns:
            The connections to close now: this one and the idle ones of that
            age. Those in use are closed when their request ends.
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
        return tuple(self._forget(number) for number in sorted(close))

    def invalidate_all(self) -> tuple[int, ...]:
        """Have every connection closed: the idle ones, given here, now."""
        idle = tuple(self._idle_since_ms)
        self._invalidated |= self._opened_ms.keys() - self._idle_since_ms.keys()
        return tuple(self._forget(number) for number in idle)

    def evict_idle(self, now_ms: float) -> tuple[int, ...]:
        """Give the connections that idled too long, to be closed."""
        old = [
            number
            for number, since_ms in self._idle_since_ms.items()
            if now_ms - since_ms >= _MAX_IDLE_MS
        ]
        return tuple(self._forget(number) for number in old)

    def _reuse(self, now_ms: float) -> ConnectionChoice:
        """Take the one that idled least, so that the rest can retire."""
        number, since_ms = self._idle_since_ms.popitem()
        idle_ms = now_ms - since_ms
        return ConnectionChoice(
            connection=number,
            opened=False,
            probe=idle_ms > _PROBE_IDLE_MS,
            idle_ms=idle_ms,
        )

    def _forget(self, connection: int) -> int:
        self._opened_ms.pop(connection, None)
        self._idle_since_ms.pop(connection, None)
        self._invalidated.discard(connection)
        return connection

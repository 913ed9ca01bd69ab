"""Accounting of the server slots that a home daemon uses."""

import attrs


@attrs.define(kw_only=True)
class SlotTable:
    """Slots that attempts hold on servers.

    A slot is held until the server responds, refuses the attempt or confirms
    the cancellation.
    """

    _held: dict[str, set[int]] = attrs.field(factory=dict)
    _server_of: dict[int, str] = attrs.field(factory=dict)

    @property
    def total(self) -> int:
        """Number of slots in use on all servers."""
        return len(self._server_of)

    def count_busy(self, server: str) -> int:
        """Return how many slots of a server are in use."""
        return len(self._held.get(server, ()))

    def acquire(self, server: str, attempt: int) -> None:
        """Assign a slot of a server to an attempt.

        Raises:
            ValueError: if the attempt already holds a slot.
        """
        if attempt in self._server_of:
            raise ValueError(f'attempt {attempt} already holds a slot')
        self._server_of[attempt] = server
        self._held.setdefault(server, set()).add(attempt)

    def release(self, attempt: int) -> bool:
        """Release the slot of an attempt, and return whether it held one."""
        server = self._server_of.pop(attempt, None)
        if server is None:
            return False
        self._held[server].discard(attempt)
        return True

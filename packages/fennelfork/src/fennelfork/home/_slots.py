"""Exact count of the slots that the home has handed out."""

import attrs


@attrs.define(kw_only=True)
class SlotTable:
    """Which attempt holds a slot of which server.

    A slot stays held until the server is known to be done with it: a reply,
    a refusal or a confirmed cancel.
    """

    _held: dict[str, set[int]] = attrs.field(factory=dict)
    _server_of: dict[int, str] = attrs.field(factory=dict)

    @property
    def total(self) -> int:
        """How many slots are held on all servers."""
        return len(self._server_of)

    def busy(self, server: str) -> int:
        """Tell how many slots of a server are held."""
        return len(self._held.get(server, ()))

    def acquire(self, server: str, attempt: int) -> None:
        """Hand out a slot.

        Raises:
            ValueError: if the attempt holds one already.
        """
        if attempt in self._server_of:
            raise ValueError(f'attempt {attempt} already holds a slot')
        self._server_of[attempt] = server
        self._held.setdefault(server, set()).add(attempt)

    def release(self, attempt: int) -> bool:
        """Take a slot back; tell whether it was held."""
        server = self._server_of.pop(attempt, None)
        if server is None:
            return False
        self._held[server].discard(attempt)
        return True

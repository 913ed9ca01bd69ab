"""Which backend servers there are, as they register themselves."""

from collections.abc import Iterable

import attrs

from fennelfork.routes._registry import Registry


@attrs.frozen(kw_only=True)
class BackendServer:
    """One run of a backend server.

    Attributes:
        instance: names this run and no other.
        service: which service it belongs to.
        address: `ip:port`; another server may get it later.
        data_centre: where it runs.
        slots: how many requests it runs at the same time.
        draining: whether it is about to leave.
        warm_ms: time from which on it works at full speed.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    warm_ms: float = 0


@attrs.define(kw_only=True)
class Roster:
    """The registered servers of every service.

    Attributes:
        registry: the registrations by instance.
    """

    registry: Registry[BackendServer]
    _by_service: dict[str, list[BackendServer]] = attrs.field(factory=dict)
    _indexed: tuple[int, int] = (0, 0)
    _changes: int = 0

    def usable(self, service: str) -> list[BackendServer]:
        """Give the servers of a service that may get new work."""
        self._index()
        return self._by_service.get(service, [])

    def put(self, server: BackendServer) -> BackendServer | None:
        """Take what a server registered, and give what it had before."""
        self._changes += 1
        return self.registry.put(server.instance, server)

    def remove(self, instance: str) -> bool:
        """Note a missing registration; tell whether the server is gone now."""
        self._changes += 1
        return self.registry.remove(instance)

    def keep(self, instances: Iterable[str]) -> list[str]:
        """Remove all servers but these; give those that are gone now."""
        self._changes += 1
        return self.registry.keep(instances)

    def _index(self) -> None:
        """Sort the servers by service, if any came or went."""
        entries = self.registry.entries
        state = (self._changes, len(entries))
        if state == self._indexed:
            return
        self._indexed = state
        self._by_service = {}
        for server in entries.values():
            if not server.draining:
                known = self._by_service.setdefault(server.service, [])
                known.append(server)

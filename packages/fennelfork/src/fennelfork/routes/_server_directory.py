"""Which backend servers there are, as they register themselves."""

from collections.abc import Iterable

import attrs

from fennelfork.routes._registry import Registry


@attrs.frozen(kw_only=True)
class BackendServer:
    """One run of a backend server.

    Attributes:
        instance: its name; it may start again under the same.
        service: which service it belongs to.
        address: `ip:port`; another server may get it later.
        data_centre: where it runs.
        slots: how many requests it runs at the same time.
        draining: whether it is about to leave.
        warm_ms: time from which on it works at full speed.
        born_ms: time of day of its start, by its own clock; 0 if it does not
            say.
        run: names this start and no other. What is seen of a server belongs
            to its run: one that started again knows nothing of before.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    warm_ms: float = 0
    born_ms: int = 0
    run: str = attrs.field(init=False)

    @run.default
    def _name_run(self) -> str:
        return f'{self.instance}@{self.born_ms}'


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

    @property
    def runs(self) -> set[str]:
        """The runs of all servers that still count."""
        return {server.run for server in self.registry.entries.values()}

    def is_outdated(self, server: BackendServer) -> bool:
        """Tell whether news are of an earlier run than is known already.

        A write of the earlier run may reach the store late.
        """
        known = self.registry.entries.get(server.instance)
        return known is not None and server.born_ms < known.born_ms

    def is_leaving(self, server: BackendServer) -> bool:
        """Tell whether a run of a server has said that it leaves."""
        known = self.registry.entries.get(server.instance)
        return known is not None and known.draining and known.run == server.run

    def put(self, server: BackendServer) -> BackendServer | None:
        """Take what a server registered, and give what it had before."""
        self._changes += 1
        return self.registry.put(server.instance, server)

    def remove(self, instance: str) -> bool:
        """Note a missing registration; tell whether the server is gone now."""
        self._changes += 1
        return self.registry.remove(instance)

    def drop(self, instance: str) -> bool:
        """Forget a server at once; tell whether it was known."""
        self._changes += 1
        return self.registry.drop(instance)

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

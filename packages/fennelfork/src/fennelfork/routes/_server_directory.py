"""Directory of the backend servers that are registered."""

from collections.abc import Iterable

import attrs

from fennelfork.routes._evacuations import Evacuations
from fennelfork.routes._registry import Registry


@attrs.frozen(kw_only=True)
class BackendServer:
    """One incarnation of a backend server.

    Attributes:
        instance: name of the server; the same for all its incarnations.
        service: name of the service that the server belongs to.
        address: `ip:port`; may be reused by another server later.
        data_centre: data centre of the server.
        slots: number of requests that the server runs concurrently.
        draining: whether the server takes no new work before it leaves.
        warm_from_ms: time from which the server runs at full speed.
        started_ms: time of day of the start by the clock of the server; 0 if
            unknown.
        incarnation: identifier of this incarnation. Observations are kept by
            incarnation, so a server that restarts begins without any.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    warm_from_ms: float = 0
    started_ms: int = 0
    incarnation: str = attrs.field(init=False)

    @incarnation.default
    def _default_incarnation(self) -> str:
        return f'{self.instance}@{self.started_ms}'


@attrs.define(kw_only=True)
class ServerDirectory:
    """Registered backend servers of all services.

    Attributes:
        registry: registrations, by instance.
        evacuations: data centres whose servers are not usable.
    """

    registry: Registry[BackendServer]
    evacuations: Evacuations = attrs.field(
        default=attrs.Factory(
            lambda directory: Evacuations(clock=directory.registry.clock),
            takes_self=True,
        ),
    )
    _by_service: dict[str, list[BackendServer]] = attrs.field(factory=dict)
    _indexed: tuple[int, int, int] = (0, 0, 0)
    _changes: int = 0

    def usable_servers(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that may get new requests.

        Draining servers and those in evacuated data centres may not.
        """
        self._update_index()
        return self._by_service.get(service, [])

    @property
    def incarnations(self) -> set[str]:
        """Incarnations of all servers that are registered."""
        return {server.incarnation for server in self.registry.entries.values()}

    def find_other_service(self, server: BackendServer) -> str | None:
        """Return the service of the last other server at an address, if any."""
        others = [
            other
            for other in self.registry.entries.values()
            if other.address == server.address
            and other.service != server.service
        ]
        latest = max(others, key=lambda one: one.started_ms, default=None)
        return None if latest is None else latest.service

    def is_outdated(self, server: BackendServer) -> bool:
        """Whether a registration belongs to an earlier incarnation.

        The store may apply a write of an earlier incarnation late.
        """
        known = self.registry.entries.get(server.instance)
        return known is not None and server.started_ms < known.started_ms

    def may_get_requests(self, server: BackendServer) -> bool:
        """Whether an incarnation of a server is registered and not draining."""
        known = self.registry.entries.get(server.instance)
        return (
            known is not None
            and known.incarnation == server.incarnation
            and not known.draining
        )

    def is_draining(self, server: BackendServer) -> bool:
        """Whether an incarnation of a server is registered as draining."""
        known = self.registry.entries.get(server.instance)
        return (
            known is not None
            and known.draining
            and known.incarnation == server.incarnation
        )

    def put(self, server: BackendServer) -> BackendServer | None:
        """Add or replace the registration of a server.

        Returns:
            The previous registration of the instance, if any.
        """
        self._changes += 1
        return self.registry.put(server.instance, server)

    def remove(self, instance: str) -> bool:
        """Remove a server, during a grace period only once the period ends.

        Returns:
            Whether the server has been removed now.
        """
        self._changes += 1
        return self.registry.remove(instance)

    def discard(self, instance: str) -> bool:
        """Remove a server at once, even during a grace period.

        Returns:
            Whether the server was known.
        """
        self._changes += 1
        return self.registry.discard(instance)

    def retain(self, instances: Iterable[str]) -> list[str]:
        """Remove all servers except the given instances.

        Returns:
            Instances that have been removed now.
        """
        self._changes += 1
        return self.registry.retain(instances)

    def _update_index(self) -> None:
        """Rebuild the index by service if servers or evacuations changed."""
        entries = self.registry.entries
        evacuated = self.evacuations.active
        state = (self._changes, len(entries), self.evacuations.change_count)
        if state == self._indexed:
            return
        self._indexed = state
        self._by_service = {}
        for server in entries.values():
            if not (server.draining or server.data_centre in evacuated):
                known = self._by_service.setdefault(server.service, [])
                known.append(server)

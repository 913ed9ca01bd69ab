"""What a daemon that serves routes logs of the store and what it tells."""

import attrs

from fennelfork import Failure
from fennelfork.membership import Member
from fennelfork.routes import (
    BackendServer,
    RequestStatus,
    RouteTable,
    SuspicionRecord,
)
from fennelfork_daemon.logs._budget import DecisionLog
from fennelfork_daemon.routes import _events_requests as requests
from fennelfork_daemon.routes import _events_servers as servers
from fennelfork_daemon.routes import _events_store as store
from fennelfork_daemon.routes._facts import UnreadableFact
from fennelfork_daemon.routes._metrics import RouteMetrics


@attrs.define(kw_only=True)
class StoreReporter:
    """Logs what changes in what the daemon believes."""

    _log: DecisionLog
    _metrics: RouteMetrics

    def store_unavailable(self, call: str, failure: Failure) -> None:
        """The store is not reached: a call of it failed."""
        self._log.tell(store.StoreLost(call=call, reason=failure.detail))

    def store_available(self, away_ms: float, told_ms: float) -> None:
        """The store is reached again."""
        self._log.tell(
            store.StoreRegained(
                away_ms=round(away_ms),
                told_ms=round(told_ms),
            ),
        )

    def lease_granted(self, lease: int, ttl_ms: float) -> None:
        """This daemon is registered."""
        self._log.tell(store.LeaseGranted(lease=lease, ttl_ms=round(ttl_ms)))

    def lease_expired(self, lease: int, renewed_ms_ago: float) -> None:
        """The store ended this daemon's registration."""
        self._log.tell(
            store.LeaseLapsed(
                lease=lease,
                renewed_ms_ago=round(renewed_ms_ago),
            ),
        )

    def config_applied(self, table: RouteTable, previous: int) -> None:
        """A version is in force from now on."""
        self._metrics.follow(table)
        self._log.tell(
            store.ConfigTaken(
                version=table.version,
                before=previous,
                routes=len(table.routes),
            ),
        )

    def server_registered(
        self,
        server: BackendServer,
        previous: BackendServer | None,
    ) -> None:
        """A backend server is new, or changed what it says of itself."""
        is_same_incarnation = (
            previous is not None and previous.incarnation == server.incarnation
        )
        if is_same_incarnation and previous.draining == server.draining:
            return
        self._log.tell(
            servers.ServerSeen(
                server=server.instance,
                service=server.service,
                address=server.address,
                data_centre=server.data_centre,
                draining=server.draining,
            ),
        )

    def server_removed(self, instance: str) -> None:
        """A backend server is not used any more."""
        self._log.tell(servers.ServerGone(server=instance))

    def daemon_registered(self, member: Member) -> None:
        """Another daemon registered itself."""
        self._log.tell(store.DaemonSeen(peer=member.name, at=member.caller))

    def daemon_removed(self, name: str) -> None:
        """A daemon is no longer registered."""
        self._log.tell(store.DaemonGone(peer=name))

    def request_judged(
        self,
        record: SuspicionRecord,
        status: RequestStatus,
        by: str = 'another',
    ) -> None:
        """A request that ended servers is treated in another way now."""
        self._log.tell(
            requests.RequestJudged(
                fingerprint=record.fingerprint,
                standing=status.value,
                by=by,
                rounds=record.isolated_crashes,
                trials=record.trials,
                ends=[f'{end.service} {end.run}' for end in record.crashes],
            ),
        )

    def entry_rejected(self, update: UnreadableFact) -> None:
        """An item of the store could not be read; it names nobody to use."""
        self._log.tell(store.ItemRefused(key=update.key, reason=update.problem))

"""Log lines and metrics for the store and its updates."""

import attrs

from fennelfork import Failure
from fennelfork.membership import Member
from fennelfork.routes import (
    BackendServer,
    RequestStatus,
    RouteTable,
    SuspicionRecord,
)
from fennelfork_daemon.logs._decision_log import DecisionLog
from fennelfork_daemon.routes import _events_fleet as fleet
from fennelfork_daemon.routes import _events_requests as requests
from fennelfork_daemon.routes import _events_servers as servers
from fennelfork_daemon.routes import _events_store as store
from fennelfork_daemon.routes._metrics import RouteMetrics
from fennelfork_daemon.routes._updates import InvalidEntry


@attrs.define(kw_only=True)
class StoreReporter:
    """Logs updates from the store and changes of its availability."""

    _log: DecisionLog
    _metrics: RouteMetrics

    def store_unavailable(self, call: str, failure: Failure) -> None:
        """Log that the store is unavailable because a call failed."""
        self._log.log_decision(
            store.StoreLost(call=call, reason=failure.detail)
        )

    def store_available(
        self, away_ms: float, told_ms: float, failed_calls: int
    ) -> None:
        """Log that the store is available again."""
        self._log.log_decision(
            store.StoreRegained(
                away_ms=round(away_ms),
                told_ms=round(told_ms),
                failed_calls=failed_calls,
            ),
        )

    def lease_granted(self, lease: int, ttl_ms: float) -> None:
        """Log that this daemon is registered under a lease."""
        self._log.log_decision(
            store.LeaseGranted(lease=lease, ttl_ms=round(ttl_ms))
        )

    def lease_adopted(self, lease: int) -> None:
        """Log that this daemon uses the lease of its earlier process."""
        self._log.log_decision(store.LeaseAdopted(lease=lease))

    def lease_expired(self, lease: int, renewed_ms_ago: float) -> None:
        """Log that the lease of this daemon has expired."""
        self._log.log_decision(
            store.LeaseLapsed(
                lease=lease,
                renewed_ms_ago=round(renewed_ms_ago),
            ),
        )

    def config_applied(self, table: RouteTable, previous: int) -> None:
        """Log a new active version and update its metrics."""
        self._metrics.allow_names_of(table)
        self._log.log_decision(
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
        """Log a new incarnation or a change of the draining state."""
        is_same_incarnation = (
            previous is not None and previous.incarnation == server.incarnation
        )
        if is_same_incarnation and previous.draining == server.draining:
            return
        self._log.log_decision(
            servers.ServerSeen(
                server=server.instance,
                service=server.service,
                address=server.address,
                data_centre=server.data_centre,
                draining=server.draining,
            ),
        )

    def server_removed(self, instance: str) -> None:
        """Log that a backend server was removed."""
        self._log.log_decision(servers.ServerGone(server=instance))

    def daemon_registered(self, member: Member) -> None:
        """Log the registration of another daemon."""
        self._log.log_decision(
            fleet.DaemonSeen(peer=member.name, at=member.caller)
        )

    def daemon_removed(self, name: str) -> None:
        """Log that the registration of a daemon was removed."""
        self._log.log_decision(fleet.DaemonGone(peer=name))

    def request_status_changed(
        self,
        record: SuspicionRecord,
        status: RequestStatus,
        by: str = 'another',
    ) -> None:
        """Log a status change of a suspected poison request."""
        self._log.log_decision(
            requests.RequestJudged(
                fingerprint=record.fingerprint,
                standing=status.value,
                by=by,
                rounds=record.isolated_crashes,
                trials=record.trials,
                ends=[f'{end.service} {end.run}' for end in record.crashes],
            ),
        )

    def entry_rejected(self, update: InvalidEntry) -> None:
        """Log an entry of the store with invalid content."""
        self._log.log_decision(
            store.ItemRefused(key=update.key, reason=update.problem)
        )

"""A daemon that serves routes."""

from collections.abc import Callable
from typing import Any, Final

import attrs
import eventlet

from fennelfork_daemon._address import Address
from fennelfork_daemon._in_progress import CountedApplication, InProgress
from fennelfork_daemon._stop_service import StopService
from fennelfork_daemon._version import VERSION
from fennelfork_daemon.http._router import Router
from fennelfork_daemon.http._wsgi_protocol import OnRefusal, ignore_refusal
from fennelfork_daemon.http._wsgi_server import open_listener, serve_wsgi
from fennelfork_daemon.logs._decision_log import DecisionLog
from fennelfork_daemon.routes._blackboard import RouteBlackboard
from fennelfork_daemon.routes._caller_api import RouteCallerApi
from fennelfork_daemon.routes._entries import RouteEntries
from fennelfork_daemon.routes._events_process import Started, Stopped
from fennelfork_daemon.routes._follower import StoreFollower
from fennelfork_daemon.routes._pools import ServerPools
from fennelfork_daemon.routes._reload import SettingsReload
from fennelfork_daemon.routes._settings import RouteSettings

_MS_PER_SECOND: Final = 1000
_POOL_EXPIRY_INTERVAL_MS: Final = 5000.0
# Maximum number of connections for each listener: a third of the sockets that
# 4,100 file descriptors allow, of which 200 are reserved for files. The rest is
# left for connections to backend servers.
_MAX_CONNECTIONS: Final = 1300


@attrs.frozen(kw_only=True)
class AdapterApplications:
    """WSGI applications that the adapter to a platform provides.

    Attributes:
        readiness: application that reports whether the daemon is ready.
        entries: application that returns the daemons to connect to.
        relay: application that passes on updates of the store.
    """

    readiness: Callable[..., Any]
    entries: Callable[..., Any]
    relay: Callable[..., Any]


@attrs.define(kw_only=True)
class RouteService:
    """All components of one daemon process.

    Attributes:
        blackboard: facts that the components of the daemon share.
        entries: selection of the daemons that a caller connects to.
        face: caller API.
        follower: synchronisation of the blackboard with the store.
    """

    blackboard: RouteBlackboard
    entries: RouteEntries
    face: RouteCallerApi
    follower: StoreFollower
    _settings: RouteSettings
    _operator_api: Router
    _background_tasks: tuple[Callable[[], None], ...]
    _pools: ServerPools
    _stop: StopService
    _reload: SettingsReload
    _in_progress: InProgress
    _log: DecisionLog

    def serve(self, applications: AdapterApplications) -> int:
        """Serve until a signal stops the process.

        Args:
            applications: applications that are served besides the caller API.

        Returns:
            Exit status of the process.
        """
        self._stop.listen_to_signals()
        self._reload.listen_to_signal()
        self._log.log_decision(
            Started(version=VERSION, settings=attrs.asdict(self._settings)),
        )
        self._start_background_tasks()
        self._spawn_listener(self._settings.readiness, applications.readiness)
        self._spawn_listener(self._settings.entries, applications.entries)
        self._spawn_optional_listeners(applications)
        caller_listener = self._spawn_listener(
            self._settings.caller,
            self._counted_application(),
            self.face.report_unread_request,
        )
        status = self._stop.run_until_stopped(caller_listener)
        self._log.log_decision(Stopped(status=status, cut=self._stop.cut))
        return status

    def _start_background_tasks(self) -> None:
        """Start a green thread for each background task."""
        tasks = (*self._background_tasks, self.face.quotas.run)
        for task in (*tasks, self._retire_pools):
            eventlet.spawn_n(task)

    def _spawn_optional_listeners(
        self, applications: AdapterApplications
    ) -> None:
        if self._settings.peer is not None:
            self._spawn_listener(self._settings.peer, applications.relay)
        if self._settings.operator is not None:
            self._spawn_listener(self._settings.operator, self._operator_api)

    def _spawn_listener(
        self,
        address: Address,
        application: Callable[..., Any],
        on_refusal: OnRefusal = ignore_refusal,
    ) -> Any:
        return eventlet.spawn(
            serve_wsgi,
            open_listener(address),
            application,
            self.blackboard.limits,
            _MAX_CONNECTIONS,
            on_refusal,
        )

    def _counted_application(self) -> CountedApplication:
        return CountedApplication(
            application=self.face,
            in_progress=self._in_progress,
            is_leaving=self._stop.is_leaving,
        )

    def _retire_pools(self) -> None:
        while True:  # noqa: WPS457  # as long as the daemon runs
            eventlet.sleep(_POOL_EXPIRY_INTERVAL_MS / _MS_PER_SECOND)
            self._pools.evict_idle()

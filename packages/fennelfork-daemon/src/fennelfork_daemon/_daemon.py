"""Composition of a daemon: blackboard, services, HTTP APIs and peer RPC."""

import sys

import attrs
import eventlet

from fennelfork import Blackboard, Clock, blackboard, system_clock
from fennelfork_daemon._fleet import Fleet, fleet
from fennelfork_daemon._listeners import Listeners
from fennelfork_daemon._peer_handler import PeerHandler
from fennelfork_daemon.callers._api import CallerApi
from fennelfork_daemon.config._service import ConfigService, config_service
from fennelfork_daemon.execute._build import (
    ExecuteComponents,
    execute_components,
)
from fennelfork_daemon.home._service import HomeService, home_service
from fennelfork_daemon.http._router import Router, router
from fennelfork_daemon.http._settings_server import serve_http
from fennelfork_daemon.membership._local_member import local_member
from fennelfork_daemon.operator._api import operator_router
from fennelfork_daemon.peer._server import peer_server
from fennelfork_daemon.root._service import root_service
from fennelfork_daemon.root._view_cache import ViewCache
from fennelfork_daemon.settings._tables import Settings
from fennelfork_daemon.tracing._observer import Observer, observer


@attrs.define(kw_only=True)
class Daemon:
    """Services and listeners of one daemon process."""

    _settings: Settings
    _clock: Clock
    _blackboard: Blackboard
    _listeners: Listeners
    _home: HomeService
    _observer: Observer
    _config: ConfigService
    _fleet: Fleet
    _execute: ExecuteComponents
    _views: ViewCache

    def serve(self) -> int:
        """Serve until the process is requested to stop.

        Returns:
            Exit status of the process.
        """
        self._fleet.start()
        self._serve_peers()
        eventlet.spawn_n(self._home.poll_forever)
        eventlet.spawn_n(self._observer.watch.run)
        self._config.start()
        eventlet.spawn_n(
            serve_http,
            self._listeners.operator,
            self._operator_router(),
            self._settings,
        )
        caller_thread = eventlet.spawn(
            serve_http,
            self._listeners.caller,
            self._fleet.count_requests(self._caller_router()),
            self._settings,
        )
        self._print_ready_line()
        return self._fleet.run_until_stopped(caller_thread)

    def _serve_peers(self) -> None:
        handler = PeerHandler(
            home=self._home,
            config=self._config.exchange,
            execute=self._execute.peer,
            members=self._fleet.members,
            in_progress=self._fleet.in_progress,
        )
        eventlet.spawn_n(peer_server(self._listeners.peer, handler).serve)

    def _print_ready_line(self) -> None:
        sys.stdout.write(f'{self._listeners.ready_line}\n')
        sys.stdout.flush()

    def _operator_router(self) -> Router:
        return operator_router(
            self._blackboard,
            self._home,
            self._observer,
            self._config,
            self._settings,
            self._fleet.operator_routes,
        )

    def _caller_router(self) -> Router:
        caller_api = CallerApi(
            root=root_service(
                self._blackboard, self._clock, self._home, self._views
            ),
            clock=self._clock,
            settings=self._settings,
            observer=self._observer,
        )
        return router(
            (
                *caller_api.routes,
                *self._fleet.entry_routes(self._execute.issuer),
                *self._execute.api.routes,
            ),
        )


def daemon(settings: Settings, listeners: Listeners) -> Daemon:
    """Build a daemon that serves on open listening sockets."""
    clock = system_clock()
    local_blackboard = blackboard(local_member(settings, listeners))
    local_blackboard.routing = settings.routing.mode
    request_observer = observer(local_blackboard, clock, settings.limits)
    home = home_service(
        local_blackboard, clock, settings.limits, request_observer.metrics
    )
    views = ViewCache()
    return Daemon(
        settings=settings,
        clock=clock,
        blackboard=local_blackboard,
        listeners=listeners,
        home=home,
        observer=request_observer,
        config=config_service(
            local_blackboard,
            clock,
            settings,
            request_observer.metrics.count_control,
        ),
        fleet=fleet(
            settings, clock, local_blackboard, request_observer.metrics
        ),
        execute=execute_components(
            local_blackboard, clock, home, settings, request_observer, views
        ),
        views=views,
    )

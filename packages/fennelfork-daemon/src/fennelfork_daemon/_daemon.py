"""One daemon: its facts, services and faces, put together."""

import sys

import attrs
import eventlet

from fennelfork import (
    Blackboard,
    Clock,
    blackboard,
    system_clock,
)
from fennelfork_daemon._caller_router import caller_router
from fennelfork_daemon._config_service import ConfigService, config_service
from fennelfork_daemon._execute_build import ExecuteParts, execute_parts
from fennelfork_daemon._home_service import HomeService, home_service
from fennelfork_daemon._http_router import Router
from fennelfork_daemon._listeners import Listeners
from fennelfork_daemon._local_member import local_member
from fennelfork_daemon._observer import Observer, observer
from fennelfork_daemon._operator_face import operator_router
from fennelfork_daemon._peer_handler import PeerHandler
from fennelfork_daemon._peer_server import peer_server
from fennelfork_daemon._platform_poll import platform_poll
from fennelfork_daemon._root_service import root_service
from fennelfork_daemon._settings_tables import Settings
from fennelfork_daemon._wsgi_server import serve_http


@attrs.define(kw_only=True)
class Daemon:
    """Everything that one process runs."""

    _settings: Settings
    _clock: Clock
    _board: Blackboard
    _listeners: Listeners
    _home: HomeService
    _observer: Observer
    _config: ConfigService
    _execute: ExecuteParts

    def serve(self) -> None:
        """Serve until the process is told to stop."""
        handler = PeerHandler(
            board=self._board,
            home=self._home,
            config=self._config.exchange,
            execute=self._execute.peer,
        )
        eventlet.spawn_n(peer_server(self._listeners.peer, handler).serve)
        eventlet.spawn_n(self._home.poll_forever)
        eventlet.spawn_n(self._observer.watch.run)
        eventlet.spawn_n(platform_poll(self._board, self._settings).run)
        self._config.start()
        operator = operator_router(
            self._board,
            self._observer,
            self._config,
            self._settings,
        )
        eventlet.spawn_n(
            serve_http,
            self._listeners.operator,
            operator,
            self._settings,
        )
        self._announce()
        serve_http(self._listeners.caller, self._caller(), self._settings)

    def _announce(self) -> None:
        sys.stdout.write(f'{self._listeners.ready_line}\n')
        sys.stdout.flush()

    def _caller(self) -> Router:
        return caller_router(
            self._board,
            self._clock,
            root_service(self._board, self._clock, self._home),
            self._execute,
            self._observer,
            self._settings,
        )


def daemon(settings: Settings, listeners: Listeners) -> Daemon:
    """Build a daemon that serves on open sockets."""
    clock = system_clock()
    board = blackboard(local_member(settings, listeners))
    board.routing = settings.routing.mode
    seen = observer(board, clock, settings.limits)
    home = home_service(board, clock)
    return Daemon(
        settings=settings,
        clock=clock,
        board=board,
        listeners=listeners,
        home=home,
        observer=seen,
        config=config_service(board, clock, settings),
        execute=execute_parts(board, clock, home, settings, seen),
    )

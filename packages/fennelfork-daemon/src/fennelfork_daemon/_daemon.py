"""One daemon: its facts, services and faces, put together."""

import sys
from socket import socket

import attrs
import eventlet
from eventlet.greenthread import GreenThread

from fennelfork import (
    Blackboard,
    Clock,
    Member,
    MemberStatus,
    blackboard,
    first_incarnation,
    system_clock,
    wall_clock,
)
from fennelfork_daemon._caller_face import CallerFace
from fennelfork_daemon._execute_build import ExecuteParts, execute_parts
from fennelfork_daemon._fleet import Fleet, fleet
from fennelfork_daemon._home_service import HomeService, home_service
from fennelfork_daemon._http_router import Router, router
from fennelfork_daemon._listeners import Listeners, open_listeners
from fennelfork_daemon._metrics import DaemonMetrics, daemon_metrics
from fennelfork_daemon._operator_face import OperatorFace
from fennelfork_daemon._peer_handler import PeerHandler
from fennelfork_daemon._peer_server import PeerServer, peer_server
from fennelfork_daemon._platform_poll import platform_poll
from fennelfork_daemon._root_service import root_service
from fennelfork_daemon._settings_tables import Settings
from fennelfork_daemon._wsgi_server import (
    Application,
    listening_address,
    serve_http,
)


@attrs.define(kw_only=True)
class Daemon:
    """Everything that one process runs."""

    _settings: Settings
    _clock: Clock
    _board: Blackboard
    _listeners: Listeners
    _home: HomeService
    _metrics: DaemonMetrics
    _fleet: Fleet
    _execute: ExecuteParts

    def serve(self) -> int:
        """Serve until the process is told to stop.

        Returns:
            The exit status.
        """
        self._fleet.start()
        eventlet.spawn_n(self._peers().serve)
        eventlet.spawn_n(self._home.poll_forever)
        eventlet.spawn_n(platform_poll(self._board, self._settings).run)
        self._serve_http(self._listeners.operator, self._operator())
        callers = self._serve_http(
            self._listeners.caller,
            self._fleet.counted(self._caller()),
        )
        sys.stdout.write(f'{self._listeners.ready_line}\n')
        sys.stdout.flush()
        return self._fleet.see_through(callers)

    def _serve_http(
        self,
        listener: socket,
        application: Application,
    ) -> GreenThread:
        return eventlet.spawn(
            serve_http,
            listener,
            application,
            self._settings,
        )

    def _peers(self) -> PeerServer:
        handler = PeerHandler(
            home=self._home,
            execute=self._execute.peer,
            members=self._fleet.members,
            in_progress=self._fleet.in_progress,
        )
        return peer_server(self._listeners.peer, handler)

    def _operator(self) -> Router:
        face = OperatorFace(board=self._board, metrics=self._metrics)
        return router((*face.routes, *self._fleet.operator_routes))

    def _caller(self) -> Router:
        caller = CallerFace(
            root=root_service(self._board, self._clock, self._home),
            clock=self._clock,
            settings=self._settings,
        )
        return router(
            (
                *caller.routes,
                *self._fleet.entry_routes(self._execute.issuer),
                *self._execute.face.routes,
            ),
        )


def daemon(settings: Settings) -> Daemon:
    """Open the faces of a daemon and build what serves them.

    Raises:
        OSError: if an address cannot be bound.
    """
    listeners = open_listeners(settings.listen)
    clock = system_clock()
    board = blackboard(_local_member(settings, listeners))
    metrics = daemon_metrics(settings.limits.label_values)
    board.routing = settings.routing.mode
    home = home_service(board, clock)
    return Daemon(
        settings=settings,
        clock=clock,
        board=board,
        listeners=listeners,
        home=home,
        execute=execute_parts(board, clock, home, settings),
        metrics=metrics,
        fleet=fleet(settings, clock, board, metrics),
    )


def _local_member(settings: Settings, listeners: Listeners) -> Member:
    return Member(
        name=settings.daemon.name,
        incarnation=first_incarnation(wall_clock().now_ms()),
        state=MemberStatus.ALIVE,
        region=settings.daemon.region,
        data_centre=settings.daemon.data_centre,
        caller=str(listening_address(listeners.caller)),
        operator=str(listening_address(listeners.operator)),
        peer=str(listening_address(listeners.peer)),
    )

"""One daemon: its facts, services and faces, put together."""

import random
import sys
import time
from typing import Final

import attrs
import eventlet

from fennelfork import (
    Blackboard,
    Clock,
    Member,
    MemberStatus,
    blackboard,
    system_clock,
)
from fennelfork_daemon._caller_face import CallerFace
from fennelfork_daemon._entries_face import EntriesFace
from fennelfork_daemon._home_service import HomeService, home_service
from fennelfork_daemon._http_router import Router, router
from fennelfork_daemon._listeners import Listeners, open_listeners
from fennelfork_daemon._operator_face import OperatorFace
from fennelfork_daemon._peer_handler import PeerHandler
from fennelfork_daemon._peer_server import peer_server
from fennelfork_daemon._platform_poll import platform_poll
from fennelfork_daemon._root_service import root_service
from fennelfork_daemon._settings_tables import Settings
from fennelfork_daemon._wsgi_server import listening_address, serve_http

_NS_PER_MS: Final = 1_000_000


@attrs.define(kw_only=True)
class Daemon:
    """Everything that one process runs."""

    _settings: Settings
    _clock: Clock
    _board: Blackboard
    _listeners: Listeners
    _home: HomeService

    def serve(self) -> None:
        """Serve until the process is told to stop."""
        handler = PeerHandler(board=self._board, home=self._home)
        eventlet.spawn_n(peer_server(self._listeners.peer, handler).serve)
        eventlet.spawn_n(self._home.poll_forever)
        eventlet.spawn_n(platform_poll(self._board, self._settings).run)
        operator = router(OperatorFace(board=self._board).routes)
        eventlet.spawn_n(
            serve_http,
            self._listeners.operator,
            operator,
            self._settings,
        )
        sys.stdout.write(f'{self._listeners.ready_line}\n')
        sys.stdout.flush()
        serve_http(self._listeners.caller, self._caller(), self._settings)

    def _caller(self) -> Router:
        caller = CallerFace(
            root=root_service(self._board, self._clock, self._home),
            clock=self._clock,
            settings=self._settings,
        )
        entries = EntriesFace(
            board=self._board,
            rng=random.Random(),
            ttl_ms=self._settings.timeouts.entry_ttl_ms,
        )
        return router((*caller.routes, *entries.routes))


def daemon(settings: Settings) -> Daemon:
    """Open the faces of a daemon and build what serves them.

    Raises:
        OSError: if an address cannot be bound.
    """
    listeners = open_listeners(settings.listen)
    clock = system_clock()
    board = blackboard(_local_member(settings, listeners))
    return Daemon(
        settings=settings,
        clock=clock,
        board=board,
        listeners=listeners,
        home=home_service(board, clock),
    )


def _local_member(settings: Settings, listeners: Listeners) -> Member:
    return Member(
        name=settings.daemon.name,
        incarnation=time.time_ns() // _NS_PER_MS,
        state=MemberStatus.ALIVE,
        region=settings.daemon.region,
        data_centre=settings.daemon.data_centre,
        caller=str(listening_address(listeners.caller)),
        operator=str(listening_address(listeners.operator)),
        peer=str(listening_address(listeners.peer)),
    )

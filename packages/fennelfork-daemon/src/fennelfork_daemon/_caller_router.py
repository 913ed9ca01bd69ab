"""The routes of the caller face, put together."""

import random

from fennelfork import Blackboard, Clock
from fennelfork_daemon._caller_face import CallerFace
from fennelfork_daemon._entries_face import EntriesFace
from fennelfork_daemon._execute_build import ExecuteParts
from fennelfork_daemon._home_service import HomeService
from fennelfork_daemon._http_router import Router, router
from fennelfork_daemon._observer import Observer
from fennelfork_daemon._root_service import root_service
from fennelfork_daemon._settings_tables import Settings


def caller_router(
    board: Blackboard,
    clock: Clock,
    home: HomeService,
    settings: Settings,
    observer: Observer,
    execute: ExecuteParts,
) -> Router:
    """Build the application of the caller face."""
    caller = CallerFace(
        root=root_service(board, clock, home),
        clock=clock,
        settings=settings,
        observer=observer,
    )
    entries = EntriesFace(
        board=board,
        rng=random.Random(),
        ttl_ms=settings.timeouts.entry_ttl_ms,
        issuer=execute.issuer,
    )
    return router((*caller.routes, *entries.routes, *execute.face.routes))

"""Puts the caller face together."""

import random

from fennelfork import Blackboard, Clock
from fennelfork_daemon._caller_face import CallerFace
from fennelfork_daemon._entries_face import EntriesFace
from fennelfork_daemon._execute_build import ExecuteParts
from fennelfork_daemon._http_router import Router, router
from fennelfork_daemon._observer import Observer
from fennelfork_daemon._root_service import RootService
from fennelfork_daemon._settings_tables import Settings


def caller_router(
    board: Blackboard,
    clock: Clock,
    root: RootService,
    execute: ExecuteParts,
    observer: Observer,
    settings: Settings,
) -> Router:
    """Build the application of the caller face."""
    caller = CallerFace(
        root=root,
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

"""The application of the caller face, put together."""

import random

from fennelfork_daemon._caller_face import CallerFace
from fennelfork_daemon._entries_face import EntriesFace
from fennelfork_daemon._execute_build import ExecuteParts
from fennelfork_daemon._http_router import Router, router
from fennelfork_daemon._observer import Observer
from fennelfork_daemon._root_service import RootService
from fennelfork_daemon._settings_tables import Settings


def caller_router(
    root: RootService,
    seen: Observer,
    execute: ExecuteParts,
    settings: Settings,
) -> Router:
    """Build the application of the caller face.

    Args:
        root: answers queries.
        seen: counts and remembers them.
        execute: runs requests that must not run twice.
        settings: what bounds requests.
    """
    caller = CallerFace(
        root=root,
        clock=seen.clock,
        settings=settings,
        observer=seen,
    )
    entries = EntriesFace(
        board=seen.board,
        rng=random.Random(),
        ttl_ms=settings.timeouts.entry_ttl_ms,
        issuer=execute.issuer,
    )
    return router((*caller.routes, *entries.routes, *execute.face.routes))

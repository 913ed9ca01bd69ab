"""Operator page that shows the workspaces and their requests."""

import http
import json
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, Final

import attrs
import eventlet

from fennelfork.workspaces import Workspace, WorkspaceTable
from fennelfork_daemon.http._router import HttpReply, HttpRequest
from fennelfork_daemon.routes._blackboard import RouteBlackboard
from fennelfork_daemon.routes._workspace_counts import (
    ANSWERED,
    NO_WORKSPACE,
    WorkspaceCounts,
)

# Requests of callers run after this number of workspaces.
_ROWS_WITHOUT_PAUSE: Final = 250


@attrs.frozen(kw_only=True)
class WorkspacePage:
    """Shows the workspaces of the active configuration, but never a key."""

    _blackboard: RouteBlackboard
    _counts: WorkspaceCounts

    def show(self, request: HttpRequest) -> HttpReply:
        """Return each workspace with its requests on this daemon."""
        table = self._blackboard.table
        head = {
            'daemon': self._blackboard.local.name,
            'version': 0 if table is None else table.version,
            'without_workspace': self._requests(NO_WORKSPACE),
        }
        workspaces = None if table is None else table.workspaces
        rows = () if workspaces is None else self._rows(workspaces)
        return HttpReply(
            status=int(http.HTTPStatus.OK),
            headers=(('Content-Type', 'application/json'),),
            body=_encode(head, rows),
        )

    def _rows(self, workspaces: WorkspaceTable) -> Iterator[dict[str, Any]]:
        for workspace, fingerprints in workspaces.with_key_fingerprints():
            yield {
                **_limits(workspace),
                'keys': len(fingerprints),
                'key_fingerprints': fingerprints,
                **self._requests(workspace.name),
            }

    def _requests(self, name: str) -> dict[str, Any]:
        counts = dict(self._counts.of(name))
        return {'answered': counts.pop(ANSWERED, 0), 'refused': counts}


def _limits(workspace: Workspace) -> dict[str, Any]:
    homes = workspace.home_regions
    return {
        'name': workspace.name,
        'rate_per_s': workspace.rate_per_s,
        'burst': workspace.burst,
        'priority': workspace.priority,
        'home_regions': None if homes is None else sorted(homes),
    }


def _encode(
    head: Mapping[str, Any], rows: Iterable[Mapping[str, Any]]
) -> bytes:
    """Encode the page, with pauses in which requests run."""
    encoded: list[str] = []
    for row in rows:
        encoded.append(json.dumps(row))
        if not len(encoded) % _ROWS_WITHOUT_PAUSE:
            eventlet.sleep(0)
    fields = json.dumps(head).removesuffix('}')
    return f'{fields}, "workspaces": [{", ".join(encoded)}]}}'.encode()

"""Factories of workspaces and tables of workspaces for tests."""

from typing import Any

from fennelfork.workspaces import Workspace, WorkspaceTable, workspace_table


def workspace(name: str = 'lab', **changes: Any) -> Workspace:
    """Return a workspace without a limit."""
    return Workspace(name=name, **changes)


def keyed_table(**keys: tuple[Any, ...]) -> WorkspaceTable:
    """Return a table of workspaces with the given keys, by name."""
    return workspace_table(
        (workspace(name), held) for name, held in keys.items()
    )

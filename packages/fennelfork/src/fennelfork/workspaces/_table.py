"""Table of all workspaces of one configuration version."""

from collections.abc import Iterable, Iterator, Mapping

import attrs

from fennelfork.workspaces._checks import check_keys, check_workspace
from fennelfork.workspaces._key_digest import digest_key, key_fingerprint
from fennelfork.workspaces._key_fingerprints import (
    KeyFingerprints,
    key_fingerprints,
)
from fennelfork.workspaces._key_index import KeyIndex, key_index
from fennelfork.workspaces._workspace import Workspace

# Workspace and its keys.
_KeyedWorkspace = tuple[Workspace, Iterable[str]]
# Workspace and the fingerprints of its keys.
_PrintedWorkspace = tuple[Workspace, tuple[str, ...]]


@attrs.frozen(kw_only=True)
class WorkspaceTable:
    """Maps keys to workspaces.

    Attributes:
        by_name: all workspaces by name, in the order of the configuration.
    """

    by_name: Mapping[str, Workspace] = attrs.field(repr=False)
    _ordered: tuple[Workspace, ...] = attrs.field(repr=False)
    _keys: KeyIndex
    _fingerprints: KeyFingerprints

    def __len__(self) -> int:
        """Return the number of workspaces."""
        return len(self._ordered)

    def find(self, key: str) -> Workspace | None:
        """Return the workspace that holds a key, if any."""
        position = self._keys.find(key)
        return None if position is None else self._ordered[position]

    def with_key_fingerprints(
        self,
    ) -> Iterator[_PrintedWorkspace]:
        """Iterate over the workspaces and the fingerprints of their keys.

        Fingerprints are for operators. Different keys may have the same one.
        """
        for position, workspace in enumerate(self._ordered):
            yield workspace, self._fingerprints.at(position)


def workspace_table(entries: Iterable[_KeyedWorkspace]) -> WorkspaceTable:
    """Create the table of the workspaces of one configuration version.

    Args:
        entries: workspaces and their keys, whose types may be wrong.

    Raises:
        ValueError: if a workspace is invalid, or if two workspaces have the
            same name or the same key.
    """
    known = tuple(entries)
    by_name: dict[str, Workspace] = {}
    for workspace, keys in known:
        check_workspace(workspace)
        check_keys(workspace, keys)
        if workspace.name in by_name:
            raise ValueError(f'two workspaces have the name {workspace.name}')
        by_name[workspace.name] = workspace
    index = key_index(held for _, held in known)
    _check_shared_keys(index, known)
    return WorkspaceTable(
        by_name=by_name,
        ordered=tuple(by_name.values()),
        keys=index,
        fingerprints=key_fingerprints(held for _, held in known),
    )


def _check_shared_keys(
    index: KeyIndex, known: tuple[_KeyedWorkspace, ...]
) -> None:
    """Raise an error that names two workspaces with the same key, if any."""
    shared = index.first_shared()
    if shared is None:
        return
    digest, first, second = shared
    holder, keys = known[first]
    fingerprint = next(
        key_fingerprint(key) for key in keys if digest_key(key) == digest
    )
    raise ValueError(
        f'workspaces {holder.name} and {known[second][0].name} have the same '
        f'key, with the fingerprint {fingerprint}',
    )

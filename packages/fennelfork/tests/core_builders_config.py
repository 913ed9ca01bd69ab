"""Builders of configuration documents, patches and stores for tests."""

import json
import random
from typing import Any

import attrs

from fennelfork import ManualTime, manual_clock
from fennelfork.config import (
    Document,
    PatchRequest,
    PatchWriter,
    PreparedWrite,
    StoredDocument,
    parsed_document,
)


def server_tree(port: int = 9001) -> dict[str, Any]:
    """Return the JSON tree of a backend server."""
    return {
        'address': f'127.0.0.1:{port}',
        'data_centre': 'dc-1',
        'slots': 5,
        'connections': 40,
        'connect_ms': 6,
    }


def servers_of(tree: dict[str, Any]) -> dict[str, Any]:
    """Return the servers of the only shard of a `document_tree`."""
    front = tree['fronts']['raft-search']
    servers: dict[str, Any] = front['shards']['s0']['servers']
    return servers


def document_tree(version: int = 1) -> dict[str, Any]:
    """Return the JSON tree of a small valid document."""
    shard = {'servers': {'raft-a': server_tree()}}
    return {
        'version': version,
        'patches': [],
        'fronts': {'raft-search': {'keys': 1000, 'shards': {'s0': shard}}},
        'tenants': {'salvare': {'weight': 2}},
        'classes': {'counter': {'weight': 4}},
    }


@attrs.define(kw_only=True)
class FakeStore:
    """A key with compare-and-swap that records all its values.

    Attributes:
        history: values of the key, oldest first; the last value is current.
        delayed_writes: writes that timed out and may still take effect.
    """

    history: list[StoredDocument] = attrs.field(
        factory=lambda: [StoredDocument(raw=None, revision=0)],
    )
    delayed_writes: list[PreparedWrite] = attrs.field(factory=list)

    @property
    def current(self) -> StoredDocument:
        """Current value of the key."""
        return self.history[-1]

    def swap(self, write: PreparedWrite) -> bool:
        """Write if the revision matches, and return whether it does."""
        if write.revision != self.current.revision:
            return False
        revision = self.current.revision + 7
        self.history.append(StoredDocument(raw=write.raw, revision=revision))
        return True


def weight_patch(tenant: str, weight: int) -> dict[str, Any]:
    """Return a patch that sets the weight of one tenant."""
    return {'tenants': {tenant: {'weight': weight}}}


def patch_request(
    base: int = 0,
    patch_id: str = 'p-1',
    weight: int = 3,
) -> PatchRequest:
    """Build a request that changes the weight of one tenant."""
    return PatchRequest(
        base=base,
        patch_id=patch_id,
        author='ana',
        patch=weight_patch('salvare', weight),
    )


def patch_writer(
    request: PatchRequest,
    known_version: int = 0,
    manual: ManualTime | None = None,
) -> PatchWriter:
    """Build a writer with four attempts and a deadline of one second."""
    return PatchWriter(
        request=request,
        known_version=known_version,
        previous=parsed_document(Document()),
        now_ms=1000,
        attempts_left=4,
        deadline_ms=1000,
        clock=manual_clock(manual or ManualTime()),
        jitter=random.Random(7),
    )


def stored_document(tree: dict[str, Any], revision: int = 5) -> StoredDocument:
    """Return a JSON tree as a value stored in the platform."""
    return StoredDocument(raw=json.dumps(tree), revision=revision)

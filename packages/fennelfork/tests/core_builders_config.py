"""Builders of configuration documents for the tests."""

from typing import Any


def server_tree(port: int = 9001) -> dict[str, Any]:
    """Give the JSON tree of one backend server."""
    return {
        'address': f'127.0.0.1:{port}',
        'data_centre': 'dc-1',
        'slots': 5,
        'connections': 40,
        'connect_ms': 6,
    }


def servers_of(tree: dict[str, Any]) -> dict[str, Any]:
    """Give the servers of the one shard of a `document_tree`."""
    front = tree['fronts']['raft-search']
    servers: dict[str, Any] = front['shards']['s0']['servers']
    return servers


def document_tree(version: int = 1) -> dict[str, Any]:
    """Give the JSON tree of a small valid document."""
    shard = {'servers': {'raft-a': server_tree()}}
    return {
        'version': version,
        'patches': [],
        'fronts': {'raft-search': {'keys': 1000, 'shards': {'s0': shard}}},
        'tenants': {'salvare': {'weight': 2}},
        'classes': {'counter': {'weight': 4}},
    }

"""The JSON of etcd's v3 gateway, as far as the daemon speaks it."""

import base64
import json
from typing import Any, Final

from fennelfork.config import PreparedWrite, StoredDocument

_ABSENT: Final = StoredDocument(raw=None, revision=0)
_DELETED: Final = 'DELETE'


def range_body(key: str) -> dict[str, Any]:
    """Ask for one key, linearizably."""
    return {'key': _encoded(key)}


def revision_body(key: str) -> dict[str, Any]:
    """Ask for the last change of one key, without its value."""
    return {'key': _encoded(key), 'keys_only': True}


def swap_body(key: str, write: PreparedWrite) -> dict[str, Any]:
    """Ask for a write if the key's last change is still the one named."""
    encoded = _encoded(key)
    compare = {
        'target': 'MOD',
        'result': 'EQUAL',
        'key': encoded,
        'mod_revision': str(write.revision),
    }
    put = {'key': encoded, 'value': _encoded(write.raw)}
    return {'compare': [compare], 'success': [{'request_put': put}]}


def watch_body(key: str, revision: int) -> dict[str, Any]:
    """Ask for the changes of one key.

    Args:
        key: the key.
        revision: its last change that is known; zero, for an absent key, asks
            for changes from now on and not for all that ever were.
    """
    request = {'key': _encoded(key)}
    if revision:
        request['start_revision'] = str(revision + 1)
    return {'create_request': request}


def read_range(reply: Any) -> StoredDocument:
    """Read the answer to `range_body`.

    Raises:
        ValueError: if it is none.
    """
    found = _member(reply, 'kvs', [])
    return _stored(found[0]) if found else _ABSENT


def read_revision(reply: Any) -> int:
    """Read the answer to `revision_body`; zero for an absent key.

    Raises:
        ValueError: if it is none.
    """
    found = _member(reply, 'kvs', [])
    return int(_member(found[0], 'mod_revision', None)) if found else 0


def read_swap(reply: Any) -> bool:
    """Read whether a swap took place.

    Raises:
        ValueError: if `reply` is no answer to `swap_body`.
    """
    _member(reply, 'header', None)
    return bool(_member(reply, 'succeeded', False))


def read_watch_line(line: bytes) -> tuple[StoredDocument, ...]:
    """Read one line of a watch: the changes in it, oldest first.

    Raises:
        ValueError: if it is no such line, or ends the watch.
    """
    update = _member(json.loads(line), 'result', None)
    if _member(update, 'canceled', False):
        raise ValueError('the platform ended the watch')
    return tuple(_event(event) for event in _member(update, 'events', []))


def _event(event: Any) -> StoredDocument:
    if _member(event, 'type', 'PUT') == _DELETED:
        return _ABSENT
    return _stored(_member(event, 'kv', None))


def _stored(entry: Any) -> StoredDocument:
    encoded = _member(entry, 'value', '')
    return StoredDocument(
        raw=base64.b64decode(encoded, validate=True).decode(),
        revision=int(_member(entry, 'mod_revision', None)),
    )


def _member(tree: Any, name: str, default: Any) -> Any:
    """Give a member; one without a default has to be there."""
    if not isinstance(tree, dict):
        raise ValueError(f'not an object: {type(tree).__name__}')
    found = tree.get(name, default)
    if found is None:
        raise ValueError(f'no member {name}')
    return found


def _encoded(text: str) -> str:
    return base64.b64encode(text.encode()).decode()

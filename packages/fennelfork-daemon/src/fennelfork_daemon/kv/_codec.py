"""JSON messages of the etcd v3 gateway that the daemon uses."""

import base64
from typing import Any, Final

from fennelfork.config import PreparedWrite, StoredDocument
from fennelfork_daemon._json_document import parse_json

_ABSENT_DOCUMENT: Final = StoredDocument(raw=None, revision=0)
_DELETE_EVENT: Final = 'DELETE'


def range_body(key: str) -> dict[str, Any]:
    """Build the request of a linearizable read of one key."""
    return {'key': _encode(key)}


def revision_body(key: str) -> dict[str, Any]:
    """Build the request for the revision of one key, without the value."""
    return {'key': _encode(key), 'keys_only': True}


def swap_body(key: str, write: PreparedWrite) -> dict[str, Any]:
    """Build the request of a write that is conditional on the revision."""
    encoded = _encode(key)
    compare = {
        'target': 'MOD',
        'result': 'EQUAL',
        'key': encoded,
        'mod_revision': str(write.revision),
    }
    put = {'key': encoded, 'value': _encode(write.raw)}
    return {'compare': [compare], 'success': [{'request_put': put}]}


def watch_body(key: str, revision: int) -> dict[str, Any]:
    """Build the request of a watch of one key.

    Args:
        key: key to watch.
        revision: revision of the last change that is known. With 0, for an
            absent key, the watch has future changes only, not the history.
    """
    request = {'key': _encode(key)}
    if revision:
        request['start_revision'] = str(revision + 1)
    return {'create_request': request}


def read_range(reply: Any) -> StoredDocument:
    """Parse the response to a request of `range_body`.

    Raises:
        ValueError: if the response is invalid.
    """
    entries = _read_field(reply, 'kvs', [])
    return _stored_document(entries[0]) if entries else _ABSENT_DOCUMENT


def read_revision(reply: Any) -> int:
    """Parse the response to a request of `revision_body`.

    Returns:
        Revision of the key; 0 if the key is absent.

    Raises:
        ValueError: if the response is invalid.
    """
    entries = _read_field(reply, 'kvs', [])
    return int(_read_field(entries[0], 'mod_revision', None)) if entries else 0


def read_swap_result(reply: Any) -> bool:
    """Parse the response to a request of `swap_body`.

    Returns:
        Whether the key was written.

    Raises:
        ValueError: if the response is invalid.
    """
    _read_field(reply, 'header', None)
    return bool(_read_field(reply, 'succeeded', False))


def read_watch_line(line: bytes) -> tuple[StoredDocument, ...]:
    """Parse one line of a watch.

    Returns:
        Changes in the line, oldest first.

    Raises:
        ValueError: if the line is invalid or cancels the watch.
    """
    update = _read_field(parse_json(line), 'result', None)
    if _read_field(update, 'canceled', False):
        raise ValueError('the platform cancelled the watch')
    return tuple(
        _document_from_event(event)
        for event in _read_field(update, 'events', [])
    )


def _document_from_event(event: Any) -> StoredDocument:
    if _read_field(event, 'type', 'PUT') == _DELETE_EVENT:
        return _ABSENT_DOCUMENT
    return _stored_document(_read_field(event, 'kv', None))


def _stored_document(entry: Any) -> StoredDocument:
    encoded = _read_field(entry, 'value', '')
    return StoredDocument(
        raw=base64.b64decode(encoded, validate=True).decode(),
        revision=int(_read_field(entry, 'mod_revision', None)),
    )


def _read_field(tree: Any, name: str, default: Any) -> Any:
    """Return a field of a JSON object; required without a default."""
    if not isinstance(tree, dict):
        raise ValueError(f'expected a JSON object, got {type(tree).__name__}')
    field_value = tree.get(name, default)
    if field_value is None:
        raise ValueError(f'the field {name!r} is missing')
    return field_value


def _encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()

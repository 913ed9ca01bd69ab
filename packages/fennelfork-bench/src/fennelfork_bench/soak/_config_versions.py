"""Records of the configuration versions of daemons and platform."""

import base64
import json
from typing import Final

import xxhash

from fennelfork_bench.history._daemon import VersionSeen
from fennelfork_bench.history._history import EventRecorder
from fennelfork_bench.history._operator import DocumentRead, PatchSeen
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._platform import Platform
from fennelfork_bench.rig._process import Process, RigError

_REQUEST_TIMEOUT_MS: Final = 1000
_CONFIG_KEY_BASE64: Final = base64.b64encode(b'/fennelfork/config').decode()


def record_active_version(recorder: EventRecorder, daemon: Process) -> None:
    """Record the active version of a daemon if the daemon answers."""
    address = daemon.ready['operator']
    reply = http.get(address, '/v1/config', _REQUEST_TIMEOUT_MS)
    if reply.is_success and 'version' in reply.body:
        text = json.dumps(reply.body, sort_keys=True).encode()
        recorder.record_event(
            VersionSeen(
                at_ms=recorder.now_ms(),
                daemon=daemon.ready['caller'],
                version=reply.body['version'],
                digest=xxhash.xxh64_hexdigest(text),
            ),
        )


def record_stored_document(recorder: EventRecorder, platform: Platform) -> None:
    """Record the configuration document in the platform's key-value store.

    Raises:
        RigError: if the store returns no document.
    """
    reply = http.post(
        platform.key_value_address,
        '/v3/kv/range',
        {'key': _CONFIG_KEY_BASE64},
    )
    if not reply.is_success or not reply.body.get('kvs'):
        raise RigError(
            f'the key-value store has no configuration document: {reply}'
        )
    value = base64.b64decode(reply.body['kvs'][0]['value'])
    document = json.loads(value)
    recorder.record_event(
        DocumentRead(
            at_ms=recorder.now_ms(),
            version=document['version'],
            patches=tuple(
                PatchSeen(patch_id=patch['id'], version=patch['version'])
                for patch in document['patches']
            ),
        ),
    )

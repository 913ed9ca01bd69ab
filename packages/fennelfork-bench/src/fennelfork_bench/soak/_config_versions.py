"""Watches which configuration each daemon says is in force."""

import base64
import json
from typing import Final

import xxhash

from fennelfork_bench.history._daemon import VersionSeen
from fennelfork_bench.history._history import Recorder
from fennelfork_bench.history._operator import DocumentRead, PatchSeen
from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._platform import Platform
from fennelfork_bench.rig._process import Process, RigError

_TIMEOUT_MS: Final = 1000
_KEY: Final = base64.b64encode(b'/fennelfork/config').decode()


def note_version(recorder: Recorder, daemon: Process) -> None:
    """Note the version that a daemon says it runs, if it answers."""
    address = daemon.ready['operator']
    reply = http.get(address, '/v1/config', _TIMEOUT_MS)
    if reply.fine and 'version' in reply.body:
        text = json.dumps(reply.body, sort_keys=True).encode()
        recorder.note(
            VersionSeen(
                at_ms=recorder.now_ms(),
                daemon=daemon.ready['caller'],
                version=reply.body['version'],
                digest=xxhash.xxh64_hexdigest(text),
            ),
        )


def note_document(recorder: Recorder, platform: Platform) -> None:
    """Note the document that the platform itself holds.

    Raises:
        RigError: if it gives none.
    """
    reply = http.post(
        platform.key_value_address,
        '/v3/kv/range',
        {'key': _KEY},
    )
    if not reply.fine or not reply.body.get('kvs'):
        raise RigError(f'no document in the platform: {reply}')
    value = base64.b64decode(reply.body['kvs'][0]['value'])
    document = json.loads(value)
    recorder.note(
        DocumentRead(
            at_ms=recorder.now_ms(),
            version=document['version'],
            patches=tuple(
                PatchSeen(patch_id=patch['id'], version=patch['version'])
                for patch in document['patches']
            ),
        ),
    )

"""Operator of the soak test that proposes conflicting patches."""

import json
import random
import time
from collections.abc import Callable, Sequence
from typing import Any, Final

import attrs

from fennelfork_bench.history._history import EventRecorder
from fennelfork_bench.history._operator import (
    PatchAccepted,
    PatchEvent,
    PatchProposed,
    PatchRefused,
    PatchUnknown,
)
from fennelfork_bench.rig import _config as rig_config
from fennelfork_bench.rig._http import HttpResponse

_MAX_ATTEMPTS: Final = 4
_RETRY_DELAY_S: Final = 0.2
_MAX_EDIT_TIME_S: Final = 0.3
_NOT_RUN: Final = 'not_run'


@attrs.define(kw_only=True)
class Operator:
    """Operator that proposes one patch at a time.

    Attributes:
        known_addresses: function that returns operator addresses of daemons.
        mean_pause_s: mean pause between two patches, in seconds.
    """

    name: str
    recorder: EventRecorder
    known_addresses: Callable[[], Sequence[str]]
    mean_pause_s: float
    _randomness: random.Random
    _count: int = 0

    def propose_one_patch(self) -> None:
        """Pause, and propose one patch until the outcome is known."""
        time.sleep(self._randomness.uniform(0, 2 * self.mean_pause_s))
        known_addresses = self.known_addresses()
        if not known_addresses:
            return
        self._count += 1
        patch_id = f'{self.name}-{self._count}'
        base = rig_config.fetch_version(
            self._randomness.choice(known_addresses)
        )
        if base < 1:
            return
        # The delay between read and write lets patches of operators conflict.
        time.sleep(self._randomness.uniform(0, _MAX_EDIT_TIME_S))
        for _ in range(_MAX_ATTEMPTS):
            event = self._send_patch(patch_id, base)
            self.recorder.record_event(event)
            if not isinstance(event, PatchUnknown):
                return
            time.sleep(_RETRY_DELAY_S)

    def _send_patch(self, patch_id: str, base: int) -> PatchEvent:
        self.recorder.record_event(
            PatchProposed(
                at_ms=self.recorder.now_ms(),
                operator=self.name,
                patch_id=patch_id,
                base=base,
            ),
        )
        known_addresses = self.known_addresses()
        if not known_addresses:
            # A daemon may have stored an earlier attempt of the patch.
            return PatchUnknown(
                at_ms=self.recorder.now_ms(),
                operator=self.name,
                patch_id=patch_id,
                detail='no daemon is running',
            )
        reply = rig_config.send_patch(
            self._randomness.choice(known_addresses),
            {'tenants': {self.name: {'weight': 1 + self._count}}},
            base,
            self.name,
            patch_id,
        )
        return self._classify_reply(patch_id, reply)

    def _classify_reply(self, patch_id: str, reply: HttpResponse) -> PatchEvent:
        common_fields: dict[str, Any] = {
            'at_ms': self.recorder.now_ms(),
            'operator': self.name,
            'patch_id': patch_id,
        }
        if reply.is_success:
            return PatchAccepted(**common_fields, version=reply.body['version'])
        if reply.body.get('verdict') == _NOT_RUN:
            return PatchRefused(**common_fields, code=reply.body['code'])
        detail = json.dumps(reply.body) if reply.status else reply.fault
        return PatchUnknown(**common_fields, detail=detail)

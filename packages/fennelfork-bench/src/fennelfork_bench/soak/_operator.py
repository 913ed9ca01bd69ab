"""An operator that races others with patches against the same version."""

import json
import random
import time
from collections.abc import Callable, Sequence
from typing import Any, Final

import attrs

from fennelfork_bench.history._history import Recorder
from fennelfork_bench.history._operator import (
    PatchAccepted,
    PatchEvent,
    PatchProposed,
    PatchRefused,
    PatchUnknown,
)
from fennelfork_bench.rig import _config as rig_config
from fennelfork_bench.rig._http import HttpReply

_TRIES: Final = 4
_RETRY_S: Final = 0.2
_THINKING_S: Final = 0.3
_NOT_RUN: Final = 'not_run'


@attrs.define(kw_only=True)
class Operator:
    """One operator; its patches follow one another.

    Attributes:
        known: gives operator addresses of daemons that may be asked.
        pause_s: mean time between two patches.
    """

    name: str
    recorder: Recorder
    known: Callable[[], Sequence[str]]
    pause_s: float
    _randomness: random.Random
    _count: int = 0

    def patch_one(self) -> None:
        """Propose one patch until its outcome is known, and pause."""
        time.sleep(self._randomness.uniform(0, 2 * self.pause_s))
        known = self.known()
        if not known:
            return
        self._count += 1
        patch_id = f'{self.name}-{self._count}'
        base = rig_config.version(self._randomness.choice(known))
        if base < 1:
            return
        # People take a while between reading and sending: races are common.
        time.sleep(self._randomness.uniform(0, _THINKING_S))
        for _ in range(_TRIES):
            event = self._propose(patch_id, base)
            self.recorder.note(event)
            if not isinstance(event, PatchUnknown):
                return
            time.sleep(_RETRY_S)

    def _propose(self, patch_id: str, base: int) -> PatchEvent:
        self.recorder.note(
            PatchProposed(
                at_ms=self.recorder.now_ms(),
                operator=self.name,
                patch_id=patch_id,
                base=base,
            ),
        )
        reply = rig_config.send_patch(
            self._randomness.choice(self.known()),
            {'tenants': {self.name: {'weight': 1 + self._count}}},
            base,
            self.name,
            patch_id,
        )
        return self._outcome(patch_id, reply)

    def _outcome(self, patch_id: str, reply: HttpReply) -> PatchEvent:
        common: dict[str, Any] = {
            'at_ms': self.recorder.now_ms(),
            'operator': self.name,
            'patch_id': patch_id,
        }
        if reply.fine:
            return PatchAccepted(**common, version=reply.body['version'])
        if reply.body.get('verdict') == _NOT_RUN:
            return PatchRefused(**common, code=reply.body['code'])
        detail = json.dumps(reply.body) if reply.status else reply.fault
        return PatchUnknown(**common, detail=detail)

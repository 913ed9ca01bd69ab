"""Operators of the soak test while daemons stop and start."""

import random
import time

import pytest

from fennelfork import wall_clock
from fennelfork_bench.history._history import EventRecorder
from fennelfork_bench.history._operator import PatchUnknown
from fennelfork_bench.rig import _config as rig_config
from fennelfork_bench.soak._operator import Operator


class TestProposeOnePatch:
    """Guard against a round that ends because no daemon is running."""

    def test_last_daemon_stops_during_the_edit(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The outcome of a patch that no daemon received is unknown."""
        monkeypatch.setattr(rig_config, 'fetch_version', lambda address: 1)
        monkeypatch.setattr(time, 'sleep', lambda seconds: None)
        answers = iter([['127.0.0.1:1']])
        recorder = EventRecorder(clock=wall_clock())
        operator = Operator(
            name='op-0',
            recorder=recorder,
            known_addresses=lambda: next(answers, []),
            mean_pause_s=0,
            randomness=random.Random(1),
        )
        operator.propose_one_patch()
        assert isinstance(recorder.events[-1], PatchUnknown)

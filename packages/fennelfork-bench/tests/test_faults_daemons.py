"""Guard against violated guarantees when daemons crash, pause or stop."""

import pytest
from bench_builders_faults import answers, broken, cuts, run_under

from fennelfork_bench.history._daemon import Exited, Killed, Resumed, Started
from fennelfork_bench.rig._process import Rig
from fennelfork_bench.soak._fault_daemons import (
    KillDaemon,
    PauseDaemon,
    StopDaemon,
)

pytestmark = pytest.mark.process

_MIN_ANSWERS = 20


class TestDaemons:
    """Tests with a fault of one of three daemons under load."""

    def test_kill(self, rig: Rig) -> None:
        """A daemon crash violates no guarantee; a new incarnation joins."""
        done = run_under(rig, KillDaemon())
        assert broken(done) == []
        assert answers(done) > _MIN_ANSWERS
        assert len(done.history.of(Killed)) == 1
        assert len(done.history.of(Started)) == 4

    def test_pause(self, rig: Rig) -> None:
        """A daemon that is suspended for 2 s violates no guarantee."""
        done = run_under(rig, PauseDaemon(hold_s=2))
        assert broken(done) == []
        assert answers(done) > _MIN_ANSWERS
        assert len(done.history.of(Resumed)) == 1
        assert set(cuts(done)) <= {'ReadTimeoutError'}

    def test_stop(self, rig: Rig) -> None:
        """A planned stop cuts no connection, and the exit status is 0."""
        done = run_under(rig, StopDaemon(hold_s=0))
        assert broken(done) == []
        assert cuts(done) == []
        assert [end.status for end in done.history.of(Exited)] == [0]
        assert answers(done) > _MIN_ANSWERS

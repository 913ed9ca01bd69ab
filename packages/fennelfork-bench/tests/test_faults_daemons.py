"""Guard against violated guarantees when daemons crash, pause or stop."""

import pytest
from bench_builders_faults import (
    count_answers,
    describe_cut_connections,
    describe_violations,
    run_with_faults,
)

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
        done = run_with_faults(rig, KillDaemon())
        assert describe_violations(done) == []
        assert count_answers(done) > _MIN_ANSWERS
        assert len(done.history.of_type(Killed)) == 1
        assert len(done.history.of_type(Started)) == 4

    def test_pause(self, rig: Rig) -> None:
        """A daemon that is suspended for 2 s violates no guarantee."""
        done = run_with_faults(rig, PauseDaemon(hold_s=2))
        assert describe_violations(done) == []
        assert count_answers(done) > _MIN_ANSWERS
        assert len(done.history.of_type(Resumed)) == 1
        assert set(describe_cut_connections(done)) <= {'ReadTimeoutError'}

    def test_stop(self, rig: Rig) -> None:
        """A planned stop cuts no connection, and the exit status is 0."""
        done = run_with_faults(rig, StopDaemon(hold_s=0))
        assert describe_violations(done) == []
        assert describe_cut_connections(done) == []
        assert [end.status for end in done.history.of_type(Exited)] == [0]
        assert count_answers(done) > _MIN_ANSWERS

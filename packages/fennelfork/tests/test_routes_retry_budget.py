"""The budget of repeats that all daemons share without a word."""

from core_builders_routes import WINDOW_MS
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fennelfork import Clock, ManualTime, manual_clock
from fennelfork.routes import Allowances, FleetSize, RepeatPolicy, allowances

_RATIO = 0.2
_FIXED = 58.0
_POLICY = RepeatPolicy(ratio=_RATIO, fixed=_FIXED, window_ms=WINDOW_MS)
_DAEMONS = 4


class TestAllowances:
    """One daemon."""

    def test_ratio(self) -> None:
        """A fifth of the requests of the window may be repeated."""
        time = ManualTime()
        allowed = _allowances(manual_clock(time), 1)
        for _ in range(10):
            allowed.note_request('archive')
        assert [allowed.take('archive') for _ in range(3)] == [
            True,
            True,
            False,
        ]
        assert not allowed.take('another')
        time.advance(WINDOW_MS + 1)
        # The fixed number counts after the first window, less a margin.
        taken = [allowed.take('archive') for _ in range(60)]
        assert taken.count(True) == int(0.8 * _FIXED)

    def test_share_of_a_daemon_that_left(self) -> None:
        """Its part is handed on only once its repeats are out of the window."""
        time = ManualTime(at_ms=WINDOW_MS)
        fleet = FleetSize(clock=manual_clock(time), window_ms=WINDOW_MS)
        fleet.note(4)
        time.advance(1)
        fleet.note(2)
        assert fleet.most == 4
        time.advance(WINDOW_MS)
        assert fleet.most == 2


class SharedBudget(RuleBasedStateMachine):
    """Several daemons draw on one budget; some crash and start again."""

    def __init__(self) -> None:
        """Start with all daemons up and known to each other."""
        super().__init__()
        self.time = ManualTime()
        self.requests: list[float] = []
        self.repeats: list[float] = []
        self.daemons = [
            _allowances(manual_clock(self.time), _DAEMONS)
            for _ in range(_DAEMONS)
        ]

    @rule(which=st.integers(0, _DAEMONS - 1), count=st.integers(1, 30))
    def request(self, which: int, count: int) -> None:
        """Callers send requests to one daemon."""
        for _ in range(count):
            self.daemons[which].note_request('archive')
            self.requests.append(self.time.at_ms)

    @rule(which=st.integers(0, _DAEMONS - 1), count=st.integers(1, 30))
    def repeat(self, which: int, count: int) -> None:
        """One daemon repeats as much as it may."""
        for _ in range(count):
            if self.daemons[which].take('archive'):
                self.repeats.append(self.time.at_ms)

    @rule(by_ms=st.floats(1, WINDOW_MS))
    def wait(self, by_ms: float) -> None:
        """Time passes."""
        self.time.advance(by_ms)

    @rule(which=st.integers(0, _DAEMONS - 1))
    def crash(self, which: int) -> None:
        """A daemon starts again and remembers nothing."""
        self.daemons[which] = _allowances(manual_clock(self.time), _DAEMONS)

    @invariant()
    def within_the_budget(self) -> None:
        """The window that ends now holds no more than is allowed."""
        since_ms = self.time.at_ms - WINDOW_MS
        repeats = sum(at_ms >= since_ms for at_ms in self.repeats)
        # Requests count in this window or the one before, whichever has more.
        counted = [
            sum(begin <= at_ms <= begin + WINDOW_MS for at_ms in self.requests)
            for begin in (
                since_ms,
                since_ms - WINDOW_MS / 2,
                since_ms - WINDOW_MS,
            )
        ]
        assert repeats <= _RATIO * max(counted) + _FIXED


TestSharedBudget = SharedBudget.TestCase


def _allowances(clock: Clock, daemons: int) -> Allowances:
    fleet = FleetSize(clock=clock, window_ms=WINDOW_MS)
    fleet.note(daemons)
    return allowances(_POLICY, clock, fleet)

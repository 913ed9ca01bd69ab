"""A fleet of daemons that share a retry budget, without I/O.

The daemons read the store at different times, lose it, join, restart, have
unequal capacities, and may write an attempt later than they decide on it.
"""

import bisect
import itertools
import random
from collections import Counter
from typing import Final

import attrs
from core_builders_routes import FakeLease, daemon_member

from fennelfork import ManualTime, manual_clock
from fennelfork.membership import FleetShare, Member, SharePolicy
from fennelfork.routes import RetryBudgets, RetryPolicy, retry_budgets

SERVICE: Final = 'archive'
POLICY: Final = RetryPolicy(ratio=0.2, fixed=298, window_ms=10_000)
STEP_MS: Final = 250.0
MAX_AGE_MS: Final = 5000.0
_MAX_VIEW_MS: Final = 3000.0
_MAX_LAG_MS: Final = 1500.0
_LEASE_MS: Final = 3000.0
_MS_PER_S: Final = 1000
_RENEWAL_MS: Final = 1800.0
_CAPABLE_PER_DATA_CENTRE: Final = 2
_DATA_CENTRES: Final = ('here', 'near', 'far')
_CAPABLE_CORES: Final = 2.15
_OTHER_CORES: Final = 0.36


@attrs.frozen(kw_only=True)
class _Write:
    """Extra attempts that the event loop of a daemon writes later.

    `count` is the number that the budget allowed.
    """

    due_ms: float
    count: int


@attrs.define(kw_only=True, eq=False)
class BudgetDaemon:
    """One process of a daemon and the copy of the store that it sees.

    `view_ms` is the time between two looks at the store, `lag_ms` the age of
    what the daemon sees then. A daemon that the store turns away may get the
    entries from another daemon (`is_relayed`); one that is blind renews its
    lease without them.

    The event loop writes an extra attempt `late_ms` after it is decided, and
    `writes` holds those in between; they are lost with the process. An attempt
    ends when it arrives; `ends_ms` holds the times of those on the way.
    """

    local: Member
    time: ManualTime
    view_ms: float
    lag_ms: float
    share_policy: SharePolicy
    retry_policy: RetryPolicy
    members: dict[str, Member] = attrs.field(factory=dict)
    sees_store: bool = True
    is_relayed: bool = False
    is_blind: bool = False
    late_ms: float = 0
    writes: list[_Write] = attrs.field(factory=list)
    ends_ms: list[float] = attrs.field(factory=list)
    viewed_ms: float | None = None
    renewed_ms: float | None = None
    lease: FakeLease = attrs.field(factory=FakeLease)
    share: FleetShare = attrs.field(init=False)
    budgets: RetryBudgets = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        clock = manual_clock(self.time)
        self.share = FleetShare(
            policy=self.share_policy,
            clock=clock,
            local=self.local,
            lease=self.lease,
        )
        self.budgets = retry_budgets(self.retry_policy, clock, self.share)

    def take_due_writes(self) -> list[_Write]:
        """Remove and return the writes whose time has come, oldest first."""
        now_ms = self.time.at_ms
        due = [write for write in self.writes if write.due_ms <= now_ms]
        self.writes = [write for write in self.writes if write.due_ms > now_ms]
        return due

    def end_arrived(self) -> None:
        """Tell the budget of the attempts that have arrived."""
        now_ms = self.time.at_ms
        for ends_ms in self.ends_ms:
            if ends_ms <= now_ms:
                self.budgets.record_end(SERVICE)
        self.ends_ms = [ends_ms for ends_ms in self.ends_ms if ends_ms > now_ms]

    def try_spend(self, most: int | None) -> int:
        """Ask the budget for extra attempts, one by one until it refuses.

        Args:
            most: maximum number of attempts, or None for all.

        Returns:
            The number of attempts that are allowed.
        """
        wanted = itertools.count() if most is None else range(most)
        asked = (self.budgets.try_spend(SERVICE) for _ in wanted)
        return sum(itertools.takewhile(bool, asked))

    def look(self, members: dict[str, Member]) -> None:
        """Read all entries of the store."""
        self.members = members
        self.viewed_ms = self.time.at_ms
        self.share.record_view(members.values(), self.lag_ms)

    def record_renewal(self, *, is_new: bool) -> None:
        """Record a renewal of the registration, or a new registration."""
        self.renewed_ms = self.time.at_ms
        self.lease.confirmed_ms = self.time.at_ms
        if is_new:
            self.lease.since_ms = self.time.at_ms

    def lose_lease(self) -> None:
        """Record that the registration has ended."""
        self.renewed_ms = None
        self.lease.since_ms = None


@attrs.frozen
class _State:
    """Entries of the store at a time."""

    at_ms: float
    entries: dict[str, Member]


@attrs.frozen
class Use:
    """Share and whole units that a daemon may use at a time."""

    at_ms: float
    name: str
    share: float
    units: int


@attrs.define(kw_only=True, eq=False)
class BudgetFleet:
    """Daemons, their store, and what they sent to one service.

    An attempt arrives up to `delay_ms` after it was written. `used` holds the
    share and the whole units of each daemon at each step, for `units` of them.
    """

    count: int
    seed: int = 1
    time: ManualTime = attrs.field(factory=ManualTime)
    store: dict[str, tuple[Member, float]] = attrs.field(factory=dict)
    store_up: bool = True
    daemons: dict[str, BudgetDaemon] = attrs.field(factory=dict)
    requests: list[float] = attrs.field(factory=list)
    arrivals: list[float] = attrs.field(factory=list)
    spenders: Counter[str] = attrs.field(factory=Counter)
    delay_ms: float = 0
    share_policy: SharePolicy = SharePolicy(
        window_ms=POLICY.window_ms, max_age_ms=MAX_AGE_MS
    )
    retry_policy: RetryPolicy = POLICY
    units: int = 7
    used: list[Use] = attrs.field(factory=list)
    _states: list[_State] = attrs.field(factory=list)
    _rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        for number in range(self.count):
            self.start(f'vm-{number}')

    @property
    def names(self) -> list[str]:
        """Names of the running daemons, in order of their numbers."""
        return sorted(
            self.daemons, key=lambda name: int(name.removeprefix('vm-'))
        )

    def part(self, ratio: float) -> list[str]:
        """Return a random part of the names of the running daemons."""
        return self._rng.sample(self.names, round(ratio * len(self.daemons)))

    def start(self, name: str) -> None:
        """Start a daemon, or start it again as a new process."""
        number = int(name.removeprefix('vm-'))
        place = number % len(_DATA_CENTRES)
        is_capable = number < _CAPABLE_PER_DATA_CENTRE * len(_DATA_CENTRES)
        self.daemons[name] = BudgetDaemon(
            local=attrs.evolve(
                daemon_member(name),
                data_centre=_DATA_CENTRES[place],
                processor_cores=_CAPABLE_CORES if is_capable else _OTHER_CORES,
            ),
            time=self.time,
            view_ms=self._rng.uniform(STEP_MS, _MAX_VIEW_MS),
            lag_ms=self._rng.uniform(0, _MAX_LAG_MS),
            share_policy=self.share_policy,
            retry_policy=self.retry_policy,
        )

    def restart(self, names: list[str]) -> None:
        """Kill daemons and start them again at once."""
        for name in names:
            self.start(name)

    def kill(self, names: list[str]) -> None:
        """End daemons for good; their registrations expire."""
        for name in names:
            self.daemons.pop(name)

    def turn_away(self, names: list[str], *, is_relayed: bool = False) -> None:
        """The store turns daemons away and revokes their leases."""
        for name in names:
            self.daemons[name].sees_store = False
            self.daemons[name].is_relayed = is_relayed
            self.store.pop(name, None)

    def blind(self, names: list[str]) -> None:
        """Daemons renew their leases and hear nothing of the others."""
        for name in names:
            self.daemons[name].is_blind = True

    def take_back(self, names: list[str]) -> None:
        """The store serves daemons again."""
        for name in self.daemons.keys() & set(names):
            self.daemons[name].sees_store = True
            self.daemons[name].is_blind = False

    def make_late(self, names: list[str], late_ms: float) -> None:
        """The event loops of daemons run late by some time from now on.

        What the daemons have decided before is written as it was due.
        """
        for name in names:
            self.daemons[name].late_ms = late_ms

    def advance(self, ms: float) -> None:
        """Let time pass without requests and extra attempts."""
        for _ in range(int(ms / STEP_MS)):
            self.step()
        if ms % STEP_MS:
            self.step(ms % STEP_MS)

    def spend_all(self, ms: float) -> None:
        """Let all daemons send each extra attempt that is allowed."""
        for _ in range(round(ms / STEP_MS)):
            self.step()
            for name in self.names:
                self.spend(name)

    def play(
        self, ms: float, per_s: float, names: list[str], spends_ms: float
    ) -> None:
        """Send requests through some daemons, which spend all at the end.

        Args:
            ms: length in milliseconds.
            per_s: requests in a second, of all daemons together.
            names: daemons that get the requests in turn.
            spends_ms: time before the end from which on they spend all.
        """
        steps = round(ms / STEP_MS)
        for step in range(steps):
            self.step()
            first = step * per_s * STEP_MS / 1000
            last = (step + 1) * per_s * STEP_MS / 1000
            for number in range(round(first), round(last)):
                self.request(names[number % len(names)], 1)
            if (steps - step) * STEP_MS <= spends_ms:
                for name in names:
                    self.spend(name)

    def request(self, name: str, count: int) -> None:
        """Send requests to the service through a daemon."""
        for _ in range(count):
            self.daemons[name].budgets.record_request(SERVICE)
            self.requests.append(self.time.at_ms)

    def test(self, name: str) -> None:
        """The platform tests the configuration of a daemon by a request.

        No caller sent it, so the bound of the fleet does not count it.
        """
        self.daemons[name].budgets.record_request(SERVICE)

    def play_with_tests(
        self, ms: float, per_s: float, tests_per_s: float
    ) -> None:
        """Send requests through the capable daemons, and test all of them.

        All daemons send each extra attempt that is allowed.

        Args:
            ms: length in milliseconds.
            per_s: requests of callers in a second, of all daemons together.
            tests_per_s: tests of each daemon in a second.
        """
        names = self.names
        capable = names[: _CAPABLE_PER_DATA_CENTRE * len(_DATA_CENTRES)]
        wait_s = STEP_MS / _MS_PER_S
        for _ in range(round(ms / STEP_MS)):
            self.step()
            for name in capable:
                if self._rng.random() < per_s * wait_s / len(capable):
                    self.request(name, 1)
            for name in names:
                if self._rng.random() < tests_per_s * wait_s:
                    self.test(name)
                self.spend(name)

    def spend(self, name: str, most: int | None = None) -> None:
        """Let a daemon send the extra attempts that are allowed now.

        Args:
            name: name of the daemon.
            most: maximum number of attempts, or None for all.
        """
        daemon = self.daemons[name]
        write = _Write(
            due_ms=self.time.at_ms + daemon.late_ms,
            count=daemon.try_spend(most),
        )
        if daemon.late_ms:
            daemon.writes.append(write)
        else:
            self._write(daemon, write)

    def step(self, ms: float = STEP_MS) -> None:
        """Let a short time pass at the store and at the daemons."""
        self.time.advance(ms)
        if self.store_up:
            self.expire_leases()
        self._remember_state()
        for daemon in self.daemons.values():
            self._follow_store(daemon)
            self._record_use(daemon)
            for write in daemon.take_due_writes():
                self._write(daemon, write)
            daemon.end_arrived()

    def worst_sums(self) -> tuple[float, int]:
        """Return the largest sums of shares and of units of any window.

        A daemon counts with the most that it may use in the window.
        """
        worst_share, worst_units = 0.0, 0
        recent: list[Use] = []
        for use in self.used:
            recent.append(use)
            oldest_ms = use.at_ms - self.share_policy.window_ms
            recent = [other for other in recent if other.at_ms >= oldest_ms]
            shares: dict[str, float] = {}
            units: dict[str, int] = {}
            for other in recent:
                shares[other.name] = max(other.share, shares.get(other.name, 0))
                units[other.name] = max(other.units, units.get(other.name, 0))
            worst_share = max(worst_share, sum(shares.values()))
            worst_units = max(worst_units, sum(units.values()))
        return worst_share, worst_units

    def expire_leases(self) -> None:
        """Remove the entries whose leases have run out."""
        now_ms = self.time.at_ms
        for name, (_member, until_ms) in tuple(self.store.items()):
            if until_ms <= now_ms:
                self.store.pop(name)

    def worst_excess(self) -> float:
        """Return the most extra attempts of any window, less the bound.

        The requests count in the window, in the one before it or in the one
        half a window before it, whichever has most.
        """
        policy = self.retry_policy
        window_ms = policy.window_ms
        worst = -policy.fixed
        for index, first_ms in enumerate(self.arrivals):
            last = bisect.bisect_right(self.arrivals, first_ms + window_ms)
            begins = (first_ms, first_ms - window_ms / 2, first_ms - window_ms)
            counted = max(self._requests_from(begin) for begin in begins)
            bound = policy.ratio * counted + policy.fixed
            worst = max(worst, last - index - bound)
        return worst

    def _write(self, daemon: BudgetDaemon, write: _Write) -> None:
        """Write what was decided."""
        for _ in range(write.count):
            arrives_ms = self.time.at_ms + self._rng.uniform(0, self.delay_ms)
            bisect.insort(self.arrivals, arrives_ms)
            daemon.ends_ms.append(arrives_ms)
        daemon.end_arrived()
        self.spenders[daemon.local.name] += write.count

    def _requests_from(self, begin_ms: float) -> int:
        first = bisect.bisect_left(self.requests, begin_ms)
        end_ms = begin_ms + self.retry_policy.window_ms
        return bisect.bisect_right(self.requests, end_ms) - first

    def _remember_state(self) -> None:
        """Keep the recent states of the store, which daemons see late."""
        now_ms = self.time.at_ms
        entries = {name: member for name, (member, _) in self.store.items()}
        self._states.append(_State(now_ms, entries))
        oldest_ms = now_ms - _MAX_LAG_MS
        while self._states[1:] and self._states[1].at_ms <= oldest_ms:
            self._states.pop(0)

    def _state_before(self, at_ms: float) -> dict[str, Member]:
        seen = [state for state in self._states if state.at_ms <= at_ms]
        return (seen or self._states[:1])[-1].entries

    def _record_use(self, daemon: BudgetDaemon) -> None:
        if daemon.share.is_usable:
            self.used.append(
                Use(
                    self.time.at_ms,
                    daemon.local.name,
                    daemon.share.share,
                    daemon.share.units_of(self.units, SERVICE),
                )
            )

    def _follow_store(self, daemon: BudgetDaemon) -> None:
        if not self.store_up:
            return
        if daemon.sees_store:
            self._renew_lease(daemon)
        if daemon.is_blind or not (daemon.sees_store or daemon.is_relayed):
            return
        now_ms = self.time.at_ms
        viewed_ms = daemon.viewed_ms
        if viewed_ms is None or now_ms - viewed_ms >= daemon.view_ms:
            daemon.look(self._state_before(now_ms - daemon.lag_ms))

    def _renew_lease(self, daemon: BudgetDaemon) -> None:
        now_ms = self.time.at_ms
        name = daemon.local.name
        if daemon.renewed_ms is not None and name not in self.store:
            daemon.lose_lease()
        is_new = daemon.renewed_ms is None
        if is_new or now_ms - daemon.renewed_ms >= _RENEWAL_MS:
            self.store[name] = (daemon.local, now_ms + _LEASE_MS)
            daemon.record_renewal(is_new=is_new)


def running_fleet(
    count: int, seed: int = 1, retry_policy: RetryPolicy = POLICY
) -> BudgetFleet:
    """Return a fleet that has been up for a while and sent nothing."""
    fleet = BudgetFleet(count=count, seed=seed, retry_policy=retry_policy)
    fleet.advance(40_000)
    return fleet

"""A fleet of daemons that share a retry budget, without I/O.

The daemons read the store at different times, lose it, join, restart and have
unequal capacities.
"""

import bisect
import random
from collections import Counter
from typing import Final

import attrs
from core_builders_routes import daemon_member

from fennelfork import ManualTime, manual_clock
from fennelfork.membership import FleetShare, Member, SharePolicy
from fennelfork.routes import RetryBudgets, RetryPolicy, retry_budgets

SERVICE: Final = 'archive'
POLICY: Final = RetryPolicy(ratio=0.2, fixed=298, window_ms=10_000)
STEP_MS: Final = 250.0
MAX_AGE_MS: Final = 5000.0
_LEASE_MS: Final = 3000.0
_RENEWAL_MS: Final = 1800.0
_CAPABLE_PER_DATA_CENTRE: Final = 2
_DATA_CENTRES: Final = ('here', 'near', 'far')
_CAPABLE_CORES: Final = 2.15
_OTHER_CORES: Final = 0.36


@attrs.define(kw_only=True)
class FakeLease:
    """Times of the lease of a registration."""

    since_ms: float | None = None
    confirmed_ms: float = 0


@attrs.define(kw_only=True, eq=False)
class BudgetDaemon:
    """One process of a daemon and the copy of the store that it sees.

    `view_ms` is the time between two looks at the store.
    """

    local: Member
    time: ManualTime
    view_ms: float
    members: dict[str, Member] = attrs.field(factory=dict)
    sees_store: bool = True
    viewed_ms: float | None = None
    renewed_ms: float | None = None
    lease: FakeLease = attrs.field(factory=FakeLease)
    share: FleetShare = attrs.field(init=False)
    budgets: RetryBudgets = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        clock = manual_clock(self.time)
        self.share = FleetShare(
            policy=SharePolicy(
                window_ms=POLICY.window_ms, max_age_ms=MAX_AGE_MS
            ),
            clock=clock,
            local=self.local,
            lease=self.lease,
        )
        self.budgets = retry_budgets(POLICY, clock, self.share)

    def look(self, members: dict[str, Member]) -> None:
        """Read all entries of the store."""
        self.members = members
        self.viewed_ms = self.time.at_ms
        self.share.record_view(members.values())

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


@attrs.define(kw_only=True, eq=False)
class BudgetFleet:
    """Daemons, their store, and what they sent to one service.

    An attempt arrives up to `delay_ms` after it was counted.
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
            view_ms=self._rng.uniform(STEP_MS, MAX_AGE_MS - 2 * STEP_MS),
        )

    def restart(self, names: list[str]) -> None:
        """Kill daemons and start them again at once."""
        for name in names:
            self.start(name)

    def kill(self, names: list[str]) -> None:
        """End daemons for good; their registrations expire."""
        for name in names:
            self.daemons.pop(name)

    def turn_away(self, names: list[str]) -> None:
        """The store turns daemons away and revokes their leases."""
        for name in names:
            self.daemons[name].sees_store = False
            self.store.pop(name, None)

    def take_back(self, names: list[str]) -> None:
        """The store serves daemons again."""
        for name in self.daemons.keys() & set(names):
            self.daemons[name].sees_store = True

    def advance(self, ms: float) -> None:
        """Let time pass without requests and extra attempts."""
        for _ in range(round(ms / STEP_MS)):
            self.step()

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

    def spend(self, name: str) -> None:
        """Let a daemon send all extra attempts that are allowed now."""
        budgets = self.daemons[name].budgets
        while budgets.try_spend(SERVICE):
            late_ms = self._rng.uniform(0, self.delay_ms)
            bisect.insort(self.arrivals, self.time.at_ms + late_ms)
            self.spenders[name] += 1

    def step(self) -> None:
        """Let a short time pass at the store and at the daemons."""
        self.time.advance(STEP_MS)
        if self.store_up:
            self.expire_leases()
        for daemon in self.daemons.values():
            self._follow_store(daemon)

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
        window_ms = POLICY.window_ms
        worst = -POLICY.fixed
        for index, first_ms in enumerate(self.arrivals):
            last = bisect.bisect_right(self.arrivals, first_ms + window_ms)
            begins = (first_ms, first_ms - window_ms / 2, first_ms - window_ms)
            counted = max(self._requests_from(begin) for begin in begins)
            bound = POLICY.ratio * counted + POLICY.fixed
            worst = max(worst, last - index - bound)
        return worst

    def _requests_from(self, begin_ms: float) -> int:
        first = bisect.bisect_left(self.requests, begin_ms)
        end_ms = begin_ms + POLICY.window_ms
        return bisect.bisect_right(self.requests, end_ms) - first

    def _follow_store(self, daemon: BudgetDaemon) -> None:
        if not (daemon.sees_store and self.store_up):
            return
        now_ms = self.time.at_ms
        name = daemon.local.name
        if daemon.renewed_ms is not None and name not in self.store:
            daemon.lose_lease()
        is_new = daemon.renewed_ms is None
        if is_new or now_ms - daemon.renewed_ms >= _RENEWAL_MS:
            self.store[name] = (daemon.local, now_ms + _LEASE_MS)
            daemon.record_renewal(is_new=is_new)
        if daemon.viewed_ms is None or (
            now_ms - daemon.viewed_ms >= daemon.view_ms
        ):
            daemon.look(
                {known: member for known, (member, _) in self.store.items()}
            )


def running_fleet(count: int, seed: int = 1) -> BudgetFleet:
    """Return a fleet that has been up for a while and sent nothing."""
    fleet = BudgetFleet(count=count, seed=seed)
    fleet.advance(40_000)
    return fleet

"""A fleet of daemons that count the requests of workspaces, without I/O."""

import bisect
import math
import random
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final

import attrs
from core_builders_routes import FakeLease, daemon_member
from returns.result import Success

from fennelfork import ManualTime, manual_clock
from fennelfork.membership import FleetShare, Member, SharePolicy
from fennelfork.workspaces import (
    AllowanceShares,
    FreeAllowance,
    MustAsk,
    Owners,
    PermitAsk,
    PermitGrant,
    PermitHolder,
    PermitOwner,
    Quota,
    QuotaPolicy,
    Registered,
    Report,
    Workspace,
)

POLICY: Final = QuotaPolicy(window_ms=5000, excess=0.1, slack=20)
STEP_MS: Final = 50.0
_MAX_AGE_MS: Final = 5000.0
_LEASE_MS: Final = 3000.0
_RENEWAL_MS: Final = 1400.0
_LASTING_AGE_MS: Final = 8000.0
_LEFT_MS: Final = 500.0
_NONE: Final = 0


def workspace(
    name: str = 'hot', rate: float = 13, burst: float = 13
) -> Workspace:
    """Return a workspace with a limit."""
    return Workspace(name=name, rate_per_s=rate, burst=burst)


@attrs.define(kw_only=True, eq=False)
class QuotaDaemon:
    """One process of a daemon and the copy of the store that it sees."""

    local: Member
    time: ManualTime
    started_ms: float
    members: dict[str, Member] = attrs.field(factory=dict)
    workspaces: Mapping[str, Workspace] = attrs.field(factory=dict)
    viewed_ms: float = -_MAX_AGE_MS
    lease_since_ms: float | None = None
    renewed_ms: float = 0
    sees_store: bool = True
    sees_peers: bool = True
    is_frozen: bool = False
    quota: Quota = attrs.field(init=False)
    lease: FakeLease = attrs.field(factory=FakeLease)
    shares: AllowanceShares = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        clock = manual_clock(self.time)
        self.shares = AllowanceShares(
            lasting=self._share(_LASTING_AGE_MS),
            current=self._share(_MAX_AGE_MS),
        )
        owners = Owners(
            local=self.local,
            members=lambda: self.members.values(),
            registered=lambda: self._registered,
            view_age_ms=lambda: self.time.at_ms - self.viewed_ms,
            max_age_ms=_MAX_AGE_MS,
            clock=clock,
        )
        self.quota = Quota(
            local=self.local,
            clock=clock,
            owners=owners,
            owner=PermitOwner(policy=POLICY, clock=clock, owners=owners),
            holder=PermitHolder(clock=clock),
            free=FreeAllowance(
                policy=POLICY,
                clock=clock,
                shares=self.shares,
            ),
        )

    def record_view(self) -> None:
        """Record the members that this daemon sees now."""
        for share in (self.shares.lasting, self.shares.current):
            share.record_view(self.members.values())

    def _share(self, max_age_ms: float) -> FleetShare:
        return FleetShare(
            policy=SharePolicy(
                window_ms=POLICY.window_ms, max_age_ms=max_age_ms
            ),
            clock=manual_clock(self.time),
            local=self.local,
            lease=self.lease,
        )

    @property
    def _registered(self) -> Registered:
        age_ms = self.time.at_ms - self.renewed_ms
        return Registered(
            since_ms=self.lease_since_ms, is_confirmed=age_ms < _LEASE_MS - 1000
        )


@attrs.frozen
class _Bound:
    """Largest bound on a workspace that any daemon applied at a time."""

    at_ms: float
    bound: float


@attrs.define(kw_only=True, eq=False)
class QuotaFleet:
    """Daemons, their store and the messages between them.

    `runs` holds the time and workspace of each admitted request, `refused` the
    number of refused requests and `sent` the number of messages.
    """

    count: int
    capable: int = 12
    workspaces: dict[str, Workspace] = attrs.field(factory=dict)
    seed: int = 1
    loss: float = 0
    view_ms: float = 300
    time: ManualTime = attrs.field(factory=ManualTime)
    store: dict[str, tuple[Member, float]] = attrs.field(factory=dict)
    store_up: bool = True
    daemons: dict[str, QuotaDaemon] = attrs.field(factory=dict)
    runs: dict[str, list[float]] = attrs.field(factory=dict)
    asked: dict[str, list[float]] = attrs.field(factory=dict)
    refused: Counter[str] = attrs.field(factory=Counter)
    excess: dict[str, float] = attrs.field(factory=dict)
    sent: int = 0
    waited: int = 0
    _rng: random.Random = attrs.field(init=False)
    _late: list[Report] = attrs.field(factory=list)
    _bounds: dict[str, list[_Bound]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        for number in range(self.count):
            self.start(f'vm-{number}')

    @property
    def names(self) -> list[str]:
        """Names of the running daemons, the most capable ones first."""
        return sorted(self.daemons, key=_number)

    def start(self, name: str, incarnation: int | None = None) -> None:
        """Start a daemon, or start it again as a new process."""
        cores = 2.0 if _number(name) < self.capable else 0.5
        member = attrs.evolve(
            daemon_member(name),
            processor_cores=cores,
            peer=f'{name}:1',
            incarnation=(
                round(self.time.at_ms) + 1
                if incarnation is None
                else incarnation
            ),
        )
        self.daemons[name] = QuotaDaemon(
            local=member, time=self.time, started_ms=self.time.at_ms
        )

    def kill(self, name: str) -> None:
        """End a daemon; its registration expires."""
        self.daemons.pop(name)

    def owner(self, name: str = 'hot') -> QuotaDaemon:
        """Return the daemon that owns a workspace in the view of most."""
        views = Counter(
            found.name
            for daemon in self.daemons.values()
            if (found := daemon.quota._owners.owner_of(name)) is not None
        )
        return self.daemons[views.most_common(1)[0][0]]

    def advance(self, ms: float) -> None:
        """Let time pass without requests."""
        for _ in range(round(ms / STEP_MS)):
            self.step()

    def play(
        self, ms: float, per_s: float, daemons: Iterable[str], name: str = 'hot'
    ) -> tuple[int, int]:
        """Send requests at random times to random ones of some daemons.

        Returns:
            How many requests were admitted and how many were refused.
        """
        chosen = list(daemons)
        runs = len(self.runs.get(name, ()))
        refused = self.refused[name]
        for _ in range(round(ms / STEP_MS)):
            self.step()
            self.send(per_s * STEP_MS / 1000, chosen, name)
        return (
            len(self.runs.get(name, ())) - runs,
            self.refused[name] - refused,
        )

    def send(self, expected: float, daemons: list[str], name: str) -> None:
        """Send an expected number of requests to random ones of some daemons."""
        while expected > _NONE:
            if self._rng.random() < expected:
                self.request(self._rng.choice(daemons), name)
            expected -= 1

    def times_of(self, limited: Workspace) -> list[float]:
        """Return the times of all requests of a workspace."""
        return self.asked.get(limited.name, [])

    def request(self, daemon_name: str, name: str = 'hot') -> bool:
        """Send one request and return whether it is admitted."""
        daemon = self.daemons.get(daemon_name)
        # A daemon without a configuration refuses all requests.
        if daemon is None or daemon.is_frozen or not daemon.workspaces:
            return False
        self.asked.setdefault(name, []).append(self.time.at_ms)
        known = daemon.workspaces.get(name)
        decision = daemon.quota.admit(known, _LEFT_MS)
        if isinstance(decision, Success) and isinstance(
            decision.unwrap(), MustAsk
        ):
            self.waited += 1
            asked = decision.unwrap()
            grants = self._deliver(daemon, asked.owner, asked.ask)
            decision = daemon.quota.conclude(name, grants)
        admitted = isinstance(decision, Success)
        if admitted:
            self._record_run(name)
        else:
            self.refused[name] += 1
        return admitted

    def step(self) -> None:
        """Let a short time pass: the store, the views and the reports."""
        self.time.advance(STEP_MS)
        now_ms = self.time.at_ms
        self._record_bounds()
        if self.store_up:
            for name, (_member, until_ms) in tuple(self.store.items()):
                if until_ms <= now_ms:
                    self.store.pop(name)
        for daemon in tuple(self.daemons.values()):
            if not daemon.is_frozen:
                self._follow_store(daemon, now_ms)
                self._send_reports(daemon)
        if self._late and self._rng.choice((True, False)):
            self._deliver_late(self._late.pop())

    def worst_excess(
        self, name: str = 'hot', bound: float | None = None
    ) -> float:
        """Return the most runs in any window, less the bound."""
        if bound is None:
            bound = POLICY.max_in_window(self.workspaces[name])
        runs = self.runs.get(name, [])
        first = 0
        worst = 0
        for index, ran_ms in enumerate(runs):
            while runs[first] < ran_ms - POLICY.window_ms:
                first += 1
            worst = max(worst, index - first + 1)
        return worst - bound

    def _record_run(self, name: str) -> None:
        """Record a run and how far its window exceeds the bound.

        A lower limit binds one window after the last daemon has applied it.
        """
        now_ms = self.time.at_ms
        runs = self.runs.setdefault(name, [])
        runs.append(now_ms)
        first = bisect.bisect_left(runs, now_ms - POLICY.window_ms)
        self._record_bounds()
        bound = max(recent.bound for recent in self._bounds[name])
        excess = len(runs) - first - bound
        self.excess[name] = max(excess, self.excess.get(name, excess))

    def _record_bounds(self) -> None:
        """Record the largest bound that any daemon applies to a workspace."""
        now_ms = self.time.at_ms
        oldest_ms = now_ms - 2 * POLICY.window_ms
        names = {*self.workspaces, *self._bounds}
        for name in names:
            applied = [
                daemon.workspaces[name]
                for daemon in self.daemons.values()
                if name in daemon.workspaces
            ]
            bound = max(map(_max_in_window, applied), default=0)
            recent = self._bounds.setdefault(name, [])
            recent.append(_Bound(now_ms, bound))
            while recent[0].at_ms < oldest_ms:
                recent.pop(0)

    def _follow_store(self, daemon: QuotaDaemon, now_ms: float) -> None:
        if not (daemon.sees_store and self.store_up):
            return
        is_held = daemon.local.name in self.store
        if daemon.lease_since_ms is None or not is_held:
            daemon.lease_since_ms = now_ms
            self._renew(daemon, now_ms)
        elif now_ms - daemon.renewed_ms >= _RENEWAL_MS:
            self._renew(daemon, now_ms)
        if now_ms - daemon.viewed_ms < self.view_ms:
            return
        daemon.viewed_ms = now_ms
        daemon.members = {
            name: member for name, (member, _until_ms) in self.store.items()
        }
        daemon.record_view()
        if daemon.workspaces != self.workspaces:
            daemon.workspaces = dict(self.workspaces)
            daemon.quota.apply(daemon.workspaces)

    def _renew(self, daemon: QuotaDaemon, now_ms: float) -> None:
        daemon.renewed_ms = now_ms
        daemon.lease.confirmed_ms = now_ms
        daemon.lease.since_ms = daemon.lease_since_ms
        self.store[daemon.local.name] = (daemon.local, now_ms + _LEASE_MS)

    def _send_reports(self, daemon: QuotaDaemon) -> None:
        for report in daemon.quota.due_reports():
            if self._rng.random() < self.loss / 2:
                self._late.append(report)
                daemon.quota.record_reply(report, None)
                continue
            grants = self._deliver(daemon, report.owner, report.ask)
            daemon.quota.record_reply(report, grants)

    def _deliver(
        self, sender: QuotaDaemon, owner: Member, ask: PermitAsk
    ) -> tuple[PermitGrant, ...] | None:
        """Deliver a message and return the answer, or None if one is lost."""
        self.sent += 1
        receiver = self.daemons.get(owner.name)
        if receiver is None or receiver.is_frozen:
            return None
        if not (sender.sees_peers and receiver.sees_peers):
            return None
        if self._rng.random() < self.loss:
            return None
        grants = receiver.quota.answer(ask)
        return None if self._rng.random() < self.loss else grants

    def _deliver_late(self, report: Report) -> None:
        """Deliver a message whose sender does not wait any more."""
        receiver = self.daemons.get(report.owner.name)
        if receiver is not None and not receiver.is_frozen:
            receiver.quota.answer(report.ask)


def owed_count(limited: Workspace, times_ms: Iterable[float]) -> int:
    """Return how many requests one token bucket without daemons admits."""
    level = limited.burst
    last_ms = 0.0
    count = 0
    for at_ms in times_ms:
        gained = (at_ms - last_ms) * limited.rate_per_s / 1000
        level = min(limited.burst, level + gained)
        last_ms = at_ms
        if level >= 1:
            level -= 1
            count += 1
    return count


def _max_in_window(limited: Workspace) -> float:
    """Return the bound on the runs of a workspace, infinite without a limit."""
    if not limited.is_limited:
        return math.inf
    return POLICY.max_in_window(limited)


def running_fleet(
    count: int, *limited: Workspace, loss: float = 0, seed: int = 1
) -> QuotaFleet:
    """Return a fleet that has been up for a while and had no requests."""
    named = {one.name: one for one in limited or (workspace(),)}
    fleet = QuotaFleet(count=count, workspaces=named, loss=loss, seed=seed)
    fleet.advance(16_000)
    return fleet


def _number(name: str) -> int:
    return int(name.removeprefix('vm-'))

"""Times and bounds of membership."""

import math
from typing import Final

import attrs

_MIN_SCALE: Final = 1.0


@attrs.frozen(kw_only=True)
class MembershipPolicy:
    """Times and bounds, the same in all daemons of a fleet.

    Attributes:
        period_ms: how often a daemon probes one member.
        probe_timeout_ms: how long a probed member may take.
        relay_extra_ms: how much longer a probe through a relay may take.
        relays: how many relays try what did not answer.
        suspicion_periods: periods from suspect to dead in a fleet of ten.
        forget_ms: how long a dead member is remembered.
        gossip_limit: members told of in one message.
        gossip_repeats: how often a change is told, for each doubling of the
            fleet.
        agreement_weight: tellings that one daemon which evidently knows a
            change counts for; news that all know dies out fast.
        sync_limit: members given in one answer to differing digests.
        reconnect_periods: how often a dead or unheard-of member is tried.
        extra_a_second: rate of probes outside the period.
        extra_burst: how many of them may go at once.
        spread: how many members hear at once of a change this daemon made.
        tell_a_step: members told in one step that this daemon leaves.
        calls_limit: calls outstanding at most.
        lag_ms: a step later than this is a sign that this daemon is slow.
        reachable_periods: how long one probe from outside shows that others
            can reach this daemon.
    """

    period_ms: float = 1000
    probe_timeout_ms: float = 500
    relay_timeout_extra_ms: float = 300
    relay_count: int = 3
    suspicion_timeout_periods: float = 4
    dead_retention_ms: float = 900_000
    max_gossip_updates: int = 8
    transmissions_per_doubling: int = 3
    agreement_weight: int = 3
    max_synced_members: int = 12
    reconnect_periods: int = 4
    extra_probes_per_s: float = 4
    extra_probe_burst: float = 20
    gossip_fanout: int = 3
    leave_probes_per_step: int = 20
    max_outstanding_probes: int = 64
    max_step_lag_ms: float = 500
    reachable_periods: float = 5

    def suspicion_timeout_ms(self, size: int) -> float:
        """Give the time from suspect to dead in a fleet of `size`.

        News needs a number of periods that grows with the logarithm of the
        fleet's size; so does the time a member has to refute.
        """
        scale = max(_MIN_SCALE, math.log10(max(size, 1)))
        return self.suspicion_timeout_periods * scale * self.period_ms

    def max_transmissions(self, size: int) -> int:
        """Give how often one change is told in a fleet of `size`."""
        return self.transmissions_per_doubling * math.ceil(math.log2(size + 1))

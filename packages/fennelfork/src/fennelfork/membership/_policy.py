"""Times and limits of the membership protocol."""

import math
from typing import Final

import attrs

_MIN_SCALE: Final = 1.0


@attrs.frozen(kw_only=True)
class MembershipPolicy:
    """Times and limits of the membership protocol, equal in all daemons.

    Attributes:
        period_ms: interval between regular probes.
        probe_timeout_ms: time for a direct probe to be acknowledged.
        relay_timeout_extra_ms: additional time for a probe through a relay.
        relay_count: number of relays that probe an unresponsive member.
        suspicion_timeout_periods: periods from suspect to dead in a fleet of
            ten members.
        dead_retention_ms: time for which a dead member stays in the table.
        max_gossip_updates: maximum number of updates in one message.
        transmissions_per_doubling: transmissions of a change for each
            doubling of the fleet.
        agreement_weight: transmissions to count for a peer that already knows
            a change, so that gossip about common knowledge ends early.
        max_synced_members: maximum number of members in one acknowledgement
            that answers different digests.
        reconnect_periods: periods between probes of a dead member or a seed
            that is not a member.
        extra_probes_per_s: rate limit of extra probes.
        extra_probe_burst: maximum burst of extra probes.
        gossip_fanout: number of members to probe at once with a local change.
        leave_probes_per_step: number of leave announcements per step.
        max_outstanding_probes: maximum number of outstanding probes.
        max_step_lag_ms: delay of a step that indicates a slow local daemon.
        reachable_periods: periods for which one received probe shows that
            other daemons can reach the local one.
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
        """Return the time from suspect to dead in a fleet of `size` members.

        Gossip takes a number of periods that grows with the logarithm of the
        fleet size, and so does the time a member needs to refute a suspicion.
        """
        scale = max(_MIN_SCALE, math.log10(max(size, 1)))
        return self.suspicion_timeout_periods * scale * self.period_ms

    def max_transmissions(self, size: int) -> int:
        """Return the transmissions of a change in a fleet of `size`."""
        return self.transmissions_per_doubling * math.ceil(math.log2(size + 1))

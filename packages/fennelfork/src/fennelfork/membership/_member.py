"""Record of one daemon of the fleet."""

import enum
from typing import Final

import attrs

# Number of low bits that count refutations within a process lifetime.
_REFUTATION_BITS: Final = 10


@enum.unique
class MemberStatus(enum.Enum):
    """State of a member.

    `SUSPECT`: the member did not acknowledge a probe and may still refute the
    suspicion. `LEAVING`: the member announced its stop and still serves.
    """

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


@attrs.frozen(kw_only=True)
class Member:
    """Addresses, incarnation and configuration version of a daemon.

    Attributes:
        name: name that is unique in the fleet and stable over restarts.
        incarnation: number that rises with each start of the daemon and each
            refutation of a suspicion.
        state: state of the member.
        region: region of the daemon.
        data_centre: data centre of the daemon within the region.
        caller: `ip:port` of the caller API.
        operator: `ip:port` of the operator API.
        peer: `ip:port` of the peer RPC.
        config_version: version of the active configuration; 0 for none.
        config_hash: digest of the active configuration.
        processor_cores: processor time per second that the VM offers, in cores
            of a reference speed; 0 if unknown.
        is_overloaded: whether the daemon asks for fewer callers.
    """

    name: str
    incarnation: int
    state: MemberStatus
    region: str
    data_centre: str
    caller: str
    operator: str
    peer: str
    config_version: int = 0
    config_hash: str = ''
    processor_cores: float = 0
    is_overloaded: bool = False

    @property
    def process_incarnation(self) -> int:
        """Part of the incarnation that is constant for one process lifetime."""
        return self.incarnation >> _REFUTATION_BITS

    @property
    def is_ready(self) -> bool:
        """Whether the daemon has an active configuration."""
        return self.config_version > 0

    @property
    def without_config_version(self) -> 'Member':
        """The member with every configuration version reduced to 0 or 1."""
        return attrs.evolve(
            self,
            config_version=min(self.config_version, 1),
            config_hash='',
        )

    @property
    def is_suspect_or_dead(self) -> bool:
        """Whether the state is suspect or dead."""
        return self.state in {MemberStatus.SUSPECT, MemberStatus.DEAD}

    def with_state(self, state: MemberStatus) -> 'Member':
        """Return a copy of the member in another state."""
        return attrs.evolve(self, state=state)


def initial_incarnation(wall_ms: float) -> int:
    """Return the incarnation of a daemon that starts at `wall_ms`.

    The wall clock orders process lifetimes, so nothing needs to be stored. If
    the clock was set back, the daemon learns its higher incarnation from the
    other members and raises its own above that one.
    """
    return int(wall_ms) << _REFUTATION_BITS

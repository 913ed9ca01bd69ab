"""One daemon of the fleet, as another daemon knows it."""

import enum
from typing import Final

import attrs

# Low bits of an incarnation count refutations within one run.
_REFUTATION_BITS: Final = 10


@enum.unique
class MemberStatus(enum.Enum):
    """What is believed of a member.

    `SUSPECT` means that it did not answer and may still refute; `LEAVING`
    that it announced its stop and serves on for a while.
    """

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


@attrs.frozen(kw_only=True)
class Member:
    """A daemon, its addresses and what it last said of itself.

    Attributes:
        name: unique in the fleet, kept over restarts.
        incarnation: rises with each start of the daemon, and each time that
            it refutes a suspicion.
        state: what is believed of it.
        region: where it runs.
        data_centre: where it runs, within the region.
        caller: `ip:port` of its caller face.
        operator: `ip:port` of its operator face.
        peer: `ip:port` of its peer face.
        config_version: version of the configuration that it runs.
        config_hash: digest of that configuration.
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

    @property
    def process_incarnation(self) -> int:
        """Which run of the daemon this is, the same for all refutations."""
        return self.incarnation >> _REFUTATION_BITS

    @property
    def is_ready(self) -> bool:
        """Whether it has a configuration to answer by."""
        return self.config_version > 0

    @property
    def without_config_version(self) -> 'Member':
        """The same member with all versions of a configuration alike."""
        return attrs.evolve(
            self,
            config_version=min(self.config_version, 1),
            config_hash='',
        )

    @property
    def is_suspect_or_dead(self) -> bool:
        """Whether it is held for dead or may be."""
        return self.state in {MemberStatus.SUSPECT, MemberStatus.DEAD}

    def with_state(self, state: MemberStatus) -> 'Member':
        """Give the same member under another state."""
        return attrs.evolve(self, state=state)


def initial_incarnation(wall_ms: float) -> int:
    """Give the incarnation of a daemon that starts at `wall_ms`.

    Nothing is stored between runs; civil time orders them. Should the clock
    have gone back, the daemon hears of its higher incarnation from the others
    and goes above it.
    """
    return int(wall_ms) << _REFUTATION_BITS

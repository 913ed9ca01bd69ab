"""One daemon of the fleet, as another daemon knows it."""

import enum

import attrs


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

    def with_state(self, state: MemberStatus) -> 'Member':
        """Give the same member under another state."""
        return attrs.evolve(self, state=state)

"""Builders of members for tests of the fleet."""

from hypothesis import strategies as st

from fennelfork.membership import Member, MemberStatus

DATA_CENTRES = ('dc-1', 'dc-2', 'dc-3')


def build_member(
    name: str,
    data_centre: str = 'dc-1',
    state: MemberStatus = MemberStatus.ALIVE,
    region: str = 'region-1',
    incarnation: int = 1,
    config_version: int = 1,
) -> Member:
    """Build a member with addresses derived from its name."""
    return Member(
        name=name,
        incarnation=incarnation,
        state=state,
        region=region,
        data_centre=data_centre,
        caller=f'{name}:1',
        operator=f'{name}:2',
        peer=f'{name}:3',
        config_version=config_version,
    )


def build_data_centre_members(data_centre: str, size: int) -> list[Member]:
    """Build `size` alive members of one data centre."""
    return [
        build_member(f'{data_centre}-{number}', data_centre)
        for number in range(size)
    ]


def fleet_strategy(max_size: int = 12) -> st.SearchStrategy[list[Member]]:
    """Return a strategy for fleets with distinct names and any states."""
    return st.lists(
        st.builds(
            build_member,
            st.integers(0, 40).map('vm-{0}'.format),
            st.sampled_from(DATA_CENTRES),
            st.sampled_from(MemberStatus),
            st.sampled_from(('region-1', 'region-2')),
        ),
        max_size=max_size,
        unique_by=lambda member: member.name,
    )

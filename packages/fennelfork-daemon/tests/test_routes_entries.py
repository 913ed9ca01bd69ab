"""Selection of the daemons that a caller connects to.

Guards against an entry answer that names a daemon that does not serve.
"""

import random
from collections.abc import Iterator

import pytest
import structlog
from daemon_builders_routes import (
    FollowingDaemon,
    entry_addresses,
    member,
    route,
    table,
)

from fennelfork.routes import SingleService
from fennelfork_daemon.routes import (
    ConfigUpdate,
    EntryQuery,
    MemberRemoved,
    MemberUpdate,
    RouteEntries,
)


@pytest.fixture
def following() -> Iterator[FollowingDaemon]:
    """Yield a daemon that has read the store once."""
    new_daemon = FollowingDaemon()
    new_daemon.apply_listing(ConfigUpdate(table=table(3)))
    yield new_daemon
    structlog.reset_defaults()


class TestEntries:
    """Selection of the daemons that a caller connects to."""

    def test_nearest_daemons(self, following: FollowingDaemon) -> None:
        """The daemons of the data centre of the caller are returned."""
        following.apply_updates(
            MemberUpdate(member=member('vm-22')),
            MemberUpdate(member=member('vm-333', 'far')),
        )
        own = following.blackboard.local.caller
        assert set(entry_addresses(following)) == {own, '10.0.0.1:5'}

    def test_few_nearby_daemons(self, following: FollowingDaemon) -> None:
        """A more distant daemon is added to a single nearby daemon."""
        following.apply_updates(MemberUpdate(member=member('vm-333', 'far')))
        own = following.blackboard.local.caller
        assert set(entry_addresses(following)) == {own, '10.0.0.1:6'}

    def test_leaving_daemon_is_omitted(
        self, following: FollowingDaemon
    ) -> None:
        """A leaving daemon does not return itself."""
        following.apply_updates(
            MemberUpdate(member=member('vm-1')),
            MemberUpdate(member=member('vm-22')),
        )
        following.blackboard.is_leaving = True
        assert entry_addresses(following) == ('10.0.0.1:5',)

    def test_removed_daemon(self, following: FollowingDaemon) -> None:
        """A daemon whose entry was removed is not returned."""
        following.apply_updates(MemberUpdate(member=member('vm-22')))
        following.apply_updates(MemberRemoved(name='vm-22'))
        assert entry_addresses(following) == (
            following.blackboard.local.caller,
        )

    def test_lost_region_of_the_caller(
        self, following: FollowingDaemon
    ) -> None:
        """A caller whose region is lost gets daemons in the home regions."""
        home = route(
            '/rafts/',
            SingleService(service='archive'),
            home_regions=frozenset(('west',)),
        )
        following.apply_updates(
            ConfigUpdate(table=table(4, home)),
            MemberUpdate(member=member('vm-333', 'far')),
        )
        query = EntryQuery(
            region='north', data_centre='lost', host='rafts.example'
        )
        assert entry_addresses(following, query) == ('10.0.0.1:6',)

    def test_no_daemon_at_home(self, following: FollowingDaemon) -> None:
        """Without a daemon in the home regions, any daemon is returned."""
        home = route(
            '/rafts/',
            SingleService(service='archive'),
            home_regions=frozenset(('south',)),
        )
        following.apply_updates(ConfigUpdate(table=table(4, home)))
        query = EntryQuery(
            region='north', data_centre='lost', host='rafts.example'
        )
        own = following.blackboard.local.caller
        assert entry_addresses(following, query) == (own,)

    def test_no_ready_daemon(self) -> None:
        """There is no answer without a ready daemon."""
        new_daemon = FollowingDaemon()
        entries = RouteEntries(
            blackboard=new_daemon.blackboard, rng=random.Random(1)
        )
        assert entries.answer(EntryQuery(region='', data_centre='')) is None
        structlog.reset_defaults()

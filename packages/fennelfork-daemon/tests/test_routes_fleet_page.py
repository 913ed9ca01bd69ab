"""Operator page of the fleet.

Guards against a page whose preferred daemons are not those that callers get.
"""

import json
from collections.abc import Iterator

import attrs
import pytest
import structlog
from daemon_builders_routes import FollowingDaemon, member, table

from fennelfork_daemon.http._router import HttpRequest
from fennelfork_daemon.routes import ConfigUpdate, MemberUpdate


@pytest.fixture
def following() -> Iterator[FollowingDaemon]:
    """Yield a daemon that knows two large VMs and a small one."""
    new_daemon = FollowingDaemon()
    cores_by_name = {'large-1': 2.15, 'large-2': 2.15, 'small': 0.516}
    new_daemon.apply_listing(
        ConfigUpdate(table=table(3)),
        *(
            MemberUpdate(
                member=attrs.evolve(member(name), processor_cores=cores)
            )
            for name, cores in cores_by_name.items()
        ),
    )
    yield new_daemon
    structlog.reset_defaults()


class TestFleetPage:
    """Content of the page."""

    def test_preferred_daemons(self, following: FollowingDaemon) -> None:
        """Daemons on the large VMs are preferred."""
        daemons = _show(following)['daemons']
        preferred = {each['name']: each['is_preferred'] for each in daemons}
        assert preferred == {'large-1': True, 'large-2': True, 'small': False}

    def test_source(self, following: FollowingDaemon) -> None:
        """The source and the age of the data are shown."""
        following.time.advance(250)
        page = _show(following)
        assert page['update_source'] == 'the store'
        assert page['update_age_ms'] == 250


def _show(following: FollowingDaemon) -> dict[str, object]:
    request = HttpRequest(environ={}, names={}, options={})
    return dict(json.loads(following.fleet_page.show(request).body))

"""Configuration of a running fleet, through its operator face."""

import itertools
from collections.abc import Mapping
from typing import Any, Final

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._fleet import Fleet, empty_fleet
from fennelfork_bench.rig._process import Rig, RigError, wait_until
from fennelfork_bench.rig._specs import FleetSpec, front_patch

_FORCE_CAP_S: Final = 30
_patch_numbers: Final = itertools.count(1)


def start_fleet(rig: Rig, spec: FleetSpec) -> Fleet:
    """Start everything and put the fronts in force on all daemons.

    Args:
        rig: takes the processes.
        spec: the whole fleet.
    """
    fleet = empty_fleet(rig, spec).start_backends().start_daemons()
    install_fronts(fleet)
    return fleet


def install_fronts(fleet: Fleet) -> None:
    """Create every front of the spec as version 1 and await it.

    Raises:
        RigError: if the patch was refused or did not come into force.
    """
    reply = send_patch(fleet.operators[0], first_patch(fleet), 0)
    if not reply.fine:
        raise RigError(f'patch refused: {reply}')
    await_version(fleet, 1)


def first_patch(fleet: Fleet) -> Any:
    """Build the patch that creates every front of the spec."""
    addresses = {
        name: process.ready['address']
        for name, process in fleet.backends.items()
    }
    return front_patch(fleet.spec.fronts, addresses)


def send_patch(
    operator: str,
    patch: Mapping[str, Any],
    base: int,
    author: str = 'rig',
    patch_id: str = '',
) -> http.HttpReply:
    """Send one configuration patch to one daemon.

    Args:
        operator: operator address of the daemon.
        patch: the merge patch.
        base: version that it builds on.
        author: who sends it.
        patch_id: settles a lost reply; a fresh one if empty.
    """
    body = {
        'base': base,
        'patch_id': patch_id or f'{author}-{next(_patch_numbers)}',
        'author': author,
        'patch': patch,
    }
    return http.post(operator, '/v1/config/patch', body)


def version(operator: str) -> int:
    """Read the configuration version of one daemon; -1 without an answer."""
    reply = http.get(operator, '/v1/config')
    if not reply.fine:
        return -1
    return int(reply.body.get('version', -1))


def await_version(fleet: Fleet, wanted: int) -> None:
    """Wait until every living daemon has at least this version.

    A daemon is named to callers once the others heard that it has a
    configuration at all, so that is awaited as well.

    Raises:
        RigError: if that does not come within 30 s.
    """
    wait_until(
        lambda: min(map(version, fleet.operators)) >= wanted,
        _FORCE_CAP_S,
        f'version {wanted} on all',
        lambda: str(list(map(version, fleet.operators))),
    )
    living = {process.name for process in fleet.living}
    wait_until(
        lambda: all(living <= _ready(each) for each in fleet.operators),
        _FORCE_CAP_S,
        'all to hear that all are configured',
        lambda: str(list(map(_ready, fleet.operators))),
    )


def _ready(operator: str) -> set[str]:
    """Name the daemons that one daemon knows to be configured."""
    reply = http.get(operator, '/v1/members')
    return {
        row['name']
        for row in reply.body.get('members', ())
        if row['config_version']
    }

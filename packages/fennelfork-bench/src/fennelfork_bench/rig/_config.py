"""Configuration of a running fleet through the operator API."""

import itertools
from collections.abc import Mapping
from typing import Any, Final

from fennelfork_bench.rig import _http as http
from fennelfork_bench.rig._fleet import Fleet, empty_fleet
from fennelfork_bench.rig._process import Rig, RigError, wait_until
from fennelfork_bench.rig._specs import FleetSpec, build_front_patch

_ACTIVATION_TIMEOUT_S: Final = 30
_patch_numbers: Final = itertools.count(1)


def start_fleet(rig: Rig, spec: FleetSpec) -> Fleet:
    """Start a fleet and activate its fronts on all daemons.

    Args:
        rig: rig that owns the processes.
        spec: specification of the fleet.
    """
    fleet = empty_fleet(rig, spec).start_backends().start_daemons()
    create_fronts(fleet)
    return fleet


def create_fronts(fleet: Fleet) -> None:
    """Create every front of the spec as version 1 and await its activation.

    Raises:
        RigError: if the patch is refused or not activated in time.
    """
    reply = send_patch(fleet.operators[0], build_initial_patch(fleet), 0)
    if not reply.is_success:
        raise RigError(f'the initial configuration patch was refused: {reply}')
    await_version(fleet, 1)


def build_initial_patch(fleet: Fleet) -> Any:
    """Build the patch that creates every front of the spec."""
    addresses = {
        name: process.ready['address']
        for name, process in fleet.backends.items()
    }
    return build_front_patch(fleet.spec.fronts, addresses)


def send_patch(
    operator: str,
    patch: Mapping[str, Any],
    base: int,
    author: str = 'rig',
    patch_id: str = '',
) -> http.HttpResponse:
    """Send one configuration patch to one daemon.

    Args:
        operator: operator address of the daemon.
        patch: JSON merge patch.
        base: configuration version that the patch is based on.
        author: author that the daemon records.
        patch_id: idempotency key of the patch; generated if empty.
    """
    body = {
        'base': base,
        'patch_id': patch_id or f'{author}-{next(_patch_numbers)}',
        'author': author,
        'patch': patch,
    }
    return http.post(operator, '/v1/config/patch', body)


def fetch_version(operator: str) -> int:
    """Return the active version of one daemon; -1 without a response."""
    reply = http.get(operator, '/v1/config')
    if not reply.is_success:
        return -1
    return int(reply.body.get('version', -1))


def await_version(fleet: Fleet, min_version: int) -> None:
    """Wait until every running daemon has activated at least a version.

    Also waits until every running daemon knows that all others are
    configured, because only configured daemons are listed as entries.

    Raises:
        RigError: if a condition does not hold within 30 s.
    """
    wait_until(
        lambda: min(map(fetch_version, fleet.operators)) >= min_version,
        _ACTIVATION_TIMEOUT_S,
        f'version {min_version} on all daemons',
        lambda: str(list(map(fetch_version, fleet.operators))),
    )
    running = {process.name for process in fleet.running_daemons}
    wait_until(
        lambda: all(
            running <= _configured_daemons(each) for each in fleet.operators
        ),
        _ACTIVATION_TIMEOUT_S,
        'all daemons to list each other as configured',
        lambda: str(list(map(_configured_daemons, fleet.operators))),
    )


def _configured_daemons(operator: str) -> set[str]:
    """Return the names of the daemons that a daemon lists as configured."""
    reply = http.get(operator, '/v1/members')
    return {
        row['name']
        for row in reply.body.get('members', ())
        if row['config_version']
    }

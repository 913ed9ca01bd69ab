"""Reader of the platform's VM list, which is a source of membership seeds."""

from typing import Any, Final

import attrs
import eventlet
import urllib3

from fennelfork import Blackboard
from fennelfork.membership import (
    Member,
    Membership,
    MemberStatus,
    VmListSchedule,
)
from fennelfork.placement import choose_watchers
from fennelfork_daemon._http_connection import complete_pool_manager
from fennelfork_daemon._json_document import parse_json
from fennelfork_daemon.settings._tables import Settings

_MS_PER_S: Final = 1000
_OK: Final = 200
_MAX_LIST_BYTES: Final = 1_048_576


@attrs.define(kw_only=True)
class VmListReader:
    """Reads the VM list and sets the seeds of the membership controller."""

    _blackboard: Blackboard
    _settings: Settings
    _controller: Membership
    _schedule: VmListSchedule
    _http: urllib3.PoolManager

    def run(self) -> None:
        """Read the VM list periodically until the daemon stops."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            self.read()
            eventlet.sleep(self._next_read_delay_ms() / _MS_PER_S)

    def read(self) -> None:
        """Read the VM list once; a failed read keeps the previous seeds."""
        seeds = self._fetch_seeds()
        self._schedule.record_read(succeeded=seeds is not None)
        if seeds is not None:
            self._controller.set_seeds(seeds)

    def _next_read_delay_ms(self) -> float:
        local = self._blackboard.local
        members = self._blackboard.members
        watchers = choose_watchers(local.data_centre, members.values())
        return self._schedule.wait_ms(
            is_alone=len(members) == 1,
            is_watching=local.name in {member.name for member in watchers},
        )

    def _fetch_seeds(self) -> list[Member] | None:
        endpoint = self._settings.platform.vm_list
        timeout_s = self._settings.timeouts.platform_ms / _MS_PER_S
        try:
            response = self._http.request(
                'GET',
                f'http://{endpoint}/v1/vms',
                timeout=timeout_s,
                retries=False,
                preload_content=False,
            )
        except urllib3.exceptions.HTTPError:
            return None
        try:
            raw = response.read(_MAX_LIST_BYTES)
        except urllib3.exceptions.HTTPError:
            return None
        finally:
            response.release_conn()
        return _parse_seeds(raw) if response.status == _OK else None


def vm_list_reader(
    blackboard: Blackboard,
    settings: Settings,
    controller: Membership,
    schedule: VmListSchedule,
) -> VmListReader:
    """Build the VM list reader of a daemon."""
    return VmListReader(
        blackboard=blackboard,
        settings=settings,
        controller=controller,
        schedule=schedule,
        http=complete_pool_manager(),
    )


def _parse_seeds(raw: bytes) -> list[Member] | None:
    try:
        return [_parse_seed(vm) for vm in parse_json(raw)['vms']]
    except (ValueError, KeyError, TypeError):
        return None


def _parse_seed(vm: dict[str, Any]) -> Member:
    """Convert one VM of the VM list to a membership seed.

    The incarnation 0 lets claims of the daemon itself override the seed.
    """
    return Member(
        name=vm['name'],
        incarnation=0,
        state=MemberStatus.ALIVE,
        region=vm['region'],
        data_centre=vm['data_centre'],
        caller=vm['caller'],
        operator=vm['operator'],
        peer=vm['peer'],
    )

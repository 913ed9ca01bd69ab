"""Reads the platform's lagging VM list as seeds of membership."""

import json
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
from fennelfork.placement import watchers
from fennelfork_daemon.settings._tables import Settings

_MS: Final = 1000
_OK: Final = 200
_MOST_BYTES: Final = 1_048_576


@attrs.define(kw_only=True)
class VmListReader:
    """Hands what the list shows to the membership controller."""

    _board: Blackboard
    _settings: Settings
    _fleet: Membership
    _schedule: VmListSchedule
    _http: urllib3.PoolManager

    def run(self) -> None:
        """Read the list, now and then, as long as the daemon runs."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            self.read()
            eventlet.sleep(self._wait_ms() / _MS)

    def read(self) -> None:
        """Read the list once; what cannot be read changes nothing."""
        seeds = self._seeds()
        self._schedule.record_read(succeeded=seeds is not None)
        if seeds is not None:
            self._fleet.set_seeds(seeds)

    def _wait_ms(self) -> float:
        local = self._board.local
        members = self._board.members
        named = watchers(local.data_centre, members.values())
        return self._schedule.wait_ms(
            is_alone=len(members) == 1,
            is_watching=local.name in {member.name for member in named},
        )

    def _seeds(self) -> list[Member] | None:
        endpoint = self._settings.platform.vm_list
        timeout_s = self._settings.timeouts.platform_ms / _MS
        try:
            answer = self._http.request(
                'GET',
                f'http://{endpoint}/v1/vms',
                timeout=timeout_s,
                retries=False,
                preload_content=False,
            )
        except urllib3.exceptions.HTTPError:
            return None
        try:
            raw = answer.read(_MOST_BYTES)
        except urllib3.exceptions.HTTPError:
            return None
        finally:
            answer.release_conn()
        return _read(raw) if answer.status == _OK else None


def vm_list_reader(
    board: Blackboard,
    settings: Settings,
    fleet: Membership,
    schedule: VmListSchedule,
) -> VmListReader:
    """Build the reader of a daemon."""
    return VmListReader(
        board=board,
        settings=settings,
        fleet=fleet,
        schedule=schedule,
        http=urllib3.PoolManager(),
    )


def _read(raw: bytes) -> list[Member] | None:
    try:
        return [_seed(vm) for vm in json.loads(raw)['vms']]
    except (ValueError, KeyError, TypeError):
        return None


def _seed(vm: dict[str, Any]) -> Member:
    """Read one VM; what it says of itself will go before this."""
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

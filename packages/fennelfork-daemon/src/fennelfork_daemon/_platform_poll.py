"""Reads the VM list from the platform, again and again.

The thin path's reader: one call a period. Membership takes its place.
"""

import json
from typing import Any, Final

import attrs
import eventlet
import urllib3

from fennelfork import (
    Blackboard,
    Member,
    MemberStatus,
)
from fennelfork_daemon._settings_tables import Settings

_PERIOD_S: Final = 0.3
_TIMEOUT_S: Final = 2.0
_OK: Final = 200


@attrs.define(kw_only=True)
class PlatformPoll:
    """Writes what the platform says to the blackboard."""

    _board: Blackboard
    _settings: Settings
    _http: urllib3.PoolManager

    def run(self) -> None:
        """Poll as long as the daemon runs."""
        while True:  # noqa: WPS457  # as long as the daemon runs
            self._read_vms()
            eventlet.sleep(_PERIOD_S)

    def _read_vms(self) -> None:
        endpoint = self._settings.platform.vm_list
        tree = self._call('GET', f'http://{endpoint}/v1/vms', None)
        if tree is None:
            return
        listed = {vm['name']: _member(vm) for vm in tree['vms']}
        local = self._board.local
        self._board.members = listed | {local.name: local}

    def _call(self, method: str, url: str, body: Any) -> Any:
        try:
            answer = self._http.request(
                method,
                url,
                body=None if body is None else json.dumps(body),
                timeout=_TIMEOUT_S,
                retries=False,
            )
        except urllib3.exceptions.HTTPError:
            return None
        return json.loads(answer.data) if answer.status == _OK else None


def platform_poll(board: Blackboard, settings: Settings) -> PlatformPoll:
    """Build the reader of a daemon."""
    return PlatformPoll(
        board=board,
        settings=settings,
        http=urllib3.PoolManager(),
    )


def _member(vm: dict[str, Any]) -> Member:
    leaving = vm['state'] == 'leaving'
    return Member(
        name=vm['name'],
        incarnation=0,
        state=MemberStatus.LEAVING if leaving else MemberStatus.ALIVE,
        region=vm['region'],
        data_centre=vm['data_centre'],
        caller=vm['caller'],
        operator=vm['operator'],
        peer=vm['peer'],
    )

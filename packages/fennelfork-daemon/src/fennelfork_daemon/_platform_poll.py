"""Reads the configuration from the platform, again and again.

The thin path's reader: one call a period. Watches take its place.
"""

import base64
import json
from typing import Any, Final

import attrs
import eventlet
import urllib3

from fennelfork import (
    Blackboard,
    Document,
    digest,
    parse_document,
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
            self._read_config()
            eventlet.sleep(_PERIOD_S)

    def _read_config(self) -> None:
        key = f'{self._settings.platform.key_prefix}config'
        body = {'key': base64.b64encode(key.encode()).decode()}
        endpoint = self._settings.platform.key_value[0]
        tree = self._call('POST', f'http://{endpoint}/v3/kv/range', body)
        for found in (tree or {}).get('kvs', []):
            self._take(base64.b64decode(found['value']).decode())

    def _take(self, raw: str) -> None:
        document = parse_document(raw).value_or(Document())
        if document.version > self._board.config_version:
            self._board.document = document
            self._board.config_hash = digest(raw)

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

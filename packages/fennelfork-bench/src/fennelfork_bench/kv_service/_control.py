"""Control interface of the key-value stand-in for tests."""

from typing import Final
from urllib.parse import parse_qs

import attrs

from fennelfork import Clock
from fennelfork_bench.kv_service._faults import Faults
from fennelfork_bench.kv_service._handlers import KeyValueService, build_error
from fennelfork_bench.kv_service._log import CallLog
from fennelfork_bench.kv_service._store import EMPTY_BACKUP, Backup
from fennelfork_bench.rig._serving import Json, Response

_OK: Final = '200 OK'
_INVALID_ARGUMENT: Final = 3


@attrs.define(kw_only=True)
class Control:
    """Set faults, revoke leases, restore backups and report the call log."""

    _service: KeyValueService
    _clock: Clock
    _faults: Faults
    _log: CallLog
    _backup: Backup = EMPTY_BACKUP

    def answer(self, environ: Json, body: Json) -> Response:
        """Return the response to one request below `/control/`."""
        path = environ['PATH_INFO']
        handlers = {
            '/control/lapse': self._revoke_leases,
            '/control/save': self._save_backup,
            '/control/restore': self._restore_backup,
            '/control/wipe': self._delete_data,
        }
        if path == '/control/faults':
            return self._set_faults(body)
        if path == '/control/log':
            query = parse_qs(environ.get('QUERY_STRING', ''))
            since_ms = float(query.get('since_ms', ['0'])[0])
            return Response(status=_OK, body=self._describe_state(since_ms))
        if path not in handlers:
            return build_error(
                '404 Not Found', _INVALID_ARGUMENT, 'no such control'
            )
        return Response(status=_OK, body=handlers[path]())

    def _set_faults(self, body: Json) -> Response:
        known = attrs.asdict(self._faults)
        unknown = sorted(set(body) - set(known))
        if unknown:
            text = f'unknown faults: {unknown}'
            return build_error('400 Bad Request', _INVALID_ARGUMENT, text)
        for name, setting in body.items():
            setattr(self._faults, name, setting)
        return Response(status=_OK, body=attrs.asdict(self._faults))

    def _revoke_leases(self) -> Json:
        return {'lapsed': self._service.leases.revoke_all()}

    def _save_backup(self) -> Json:
        self._backup = self._service.store.create_backup()
        return {'revision': self._backup.revision}

    def _restore_backup(self) -> Json:
        self._service.store.restore(self._backup)
        self._service.hub.cancel_all()
        return {'revision': self._service.store.revision}

    def _delete_data(self) -> Json:
        self._backup = EMPTY_BACKUP
        return self._restore_backup()

    def _describe_state(self, since_ms: float) -> Json:
        return {
            'now_ms': self._clock.now_ms(),
            'watching': self._service.hub.watch_count,
            'revision': self._service.store.revision,
            **self._log.to_json(since_ms),
        }

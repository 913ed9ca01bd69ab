"""The control face of the key-value stand-in, for tests and experiments."""

from typing import Final
from urllib.parse import parse_qs

import attrs

from fennelfork import Clock
from fennelfork_bench.kv_service._handlers import KeyValueService, problem
from fennelfork_bench.kv_service._faults import Faults
from fennelfork_bench.kv_service._log import CallLog
from fennelfork_bench.kv_service._store import EMPTY, Backup
from fennelfork_bench.rig._serving import Answer, Json

_OK: Final = '200 OK'
_INVALID: Final = 3


@attrs.define(kw_only=True)
class Control:
    """Switches faults, loses data and shows the call log."""

    _service: KeyValueService
    _clock: Clock
    _faults: Faults
    _log: CallLog
    _backup: Backup = EMPTY

    def answer(self, environ: Json, body: Json) -> Answer:
        """Answer one request to `/control/...`."""
        path = environ['PATH_INFO']
        actions = {
            '/control/lapse': self._lapse,
            '/control/save': self._save,
            '/control/restore': self._restore,
            '/control/wipe': self._wipe,
        }
        if path == '/control/faults':
            return self._switch(body)
        if path == '/control/log':
            query = parse_qs(environ.get('QUERY_STRING', ''))
            since_ms = float(query.get('since_ms', ['0'])[0])
            return Answer(status=_OK, body=self._report(since_ms))
        if path not in actions:
            return problem('404 Not Found', _INVALID, 'no such control')
        return Answer(status=_OK, body=actions[path]())

    def _switch(self, body: Json) -> Answer:
        known = attrs.asdict(self._faults)
        unknown = sorted(set(body) - set(known))
        if unknown:
            text = f'unknown faults: {unknown}'
            return problem('400 Bad Request', _INVALID, text)
        for name, setting in body.items():
            setattr(self._faults, name, setting)
        return Answer(status=_OK, body=attrs.asdict(self._faults))

    def _lapse(self) -> Json:
        return {'lapsed': self._service.leases.lapse_all()}

    def _save(self) -> Json:
        self._backup = self._service.store.backup()
        return {'revision': self._backup.revision}

    def _restore(self) -> Json:
        self._service.store.restore(self._backup)
        self._service.hub.end_all()
        return {'revision': self._service.store.revision}

    def _wipe(self) -> Json:
        self._backup = EMPTY
        return self._restore()

    def _report(self, since_ms: float) -> Json:
        return {
            'now_ms': self._clock.now_ms(),
            'watching': self._service.hub.waiting,
            'revision': self._service.store.revision,
            **self._log.to_json(since_ms),
        }

"""The arm that a ticket is weighed against: a claim by compare-and-swap."""

import base64
from typing import Final

import attrs

from fennelfork_bench.rig import _http as http

_PREFIX: Final = '/fennelfork/once/'
_TIMEOUT_MS: Final = 500


@attrs.frozen(kw_only=True)
class Claims:
    """Claims of request ids in the platform's key-value service.

    Attributes:
        address: of the service.
    """

    address: str

    def take(self, request_id: str) -> bool:
        """Write the claim of an id, once and for all.

        Returns:
            Whether this caller now surely holds it. A write whose reply was
            lost is not read back, as the service is then away.
        """
        name = _base64(f'{_PREFIX}{request_id}')
        body = {
            'compare': [
                {
                    'key': name,
                    'target': 'CREATE',
                    'result': 'EQUAL',
                    'create_revision': '0',
                },
            ],
            'success': [
                {'request_put': {'key': name, 'value': _base64('bench')}},
            ],
        }
        reply = http.post(self.address, '/v3/kv/txn', body, _TIMEOUT_MS)
        return reply.fine and bool(reply.body.get('succeeded'))


def _base64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()

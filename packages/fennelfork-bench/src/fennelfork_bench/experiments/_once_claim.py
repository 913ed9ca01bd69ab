"""Claims of request ids by compare-and-swap, as an alternative to tickets."""

import base64
from typing import Final

import attrs

from fennelfork_bench.rig import _http as http

_PREFIX: Final = '/fennelfork/once/'
_TIMEOUT_MS: Final = 500


@attrs.frozen(kw_only=True)
class Claims:
    """Client that claims request ids in the platform's key-value service.

    Attributes:
        address: address of the key-value service.
    """

    address: str

    def try_claim(self, request_id: str) -> bool:
        """Claim a request id permanently.

        Returns:
            Whether the write of the claim is confirmed. After a lost response
            the claim is not read back, because the service is unavailable.
        """
        encoded_key = _encode_base64(f'{_PREFIX}{request_id}')
        body = {
            'compare': [
                {
                    'key': encoded_key,
                    'target': 'CREATE',
                    'result': 'EQUAL',
                    'create_revision': '0',
                },
            ],
            'success': [
                {
                    'request_put': {
                        'key': encoded_key,
                        'value': _encode_base64('bench'),
                    }
                },
            ],
        }
        reply = http.post(self.address, '/v3/kv/txn', body, _TIMEOUT_MS)
        return reply.is_success and bool(reply.body.get('succeeded'))


def _encode_base64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()

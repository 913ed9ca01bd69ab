"""Meaning of the status of a signed response of a backend server.

| status | part of a merged answer | whole answer |
| --- | --- | --- |
| 200 to 299 | counts | forwarded |
| 300 to 499 | failure, ran | forwarded |
| 500 to 599 | failure, ran | forwarded if no other attempt succeeds |

The adapter to the platform reports a response that is refused, misdirected or
unsigned, or whose status wrongly promises that nothing ran, as a failure.
"""

from typing import Final

_OK: Final = 200
_REDIRECT: Final = 300
_SERVER_ERROR: Final = 500


def is_answer(status: int, *, is_part: bool) -> bool:
    """Whether a signed response ends its sub-request.

    Args:
        status: HTTP status of the response.
        is_part: whether the response would be merged with others.
    """
    if is_part:
        return _OK <= status < _REDIRECT
    return status < _SERVER_ERROR

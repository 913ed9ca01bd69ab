"""What a caller is answered."""

import attrs

from fennelfork import Failure
from fennelfork_daemon.routes._ask import BackendAnswer


@attrs.frozen(kw_only=True)
class Forwarded:
    """The answer of one backend server, unchanged."""

    answer: BackendAnswer


@attrs.frozen(kw_only=True)
class Merged:
    """One answer out of the parts of several services.

    Attributes:
        body: the greatest records of all parts, the greatest first.
        signatures: of the parts that are in.
        missing: how many parts are not.
    """

    body: bytes
    signatures: tuple[str, ...]
    missing: int


@attrs.frozen(kw_only=True)
class Refused:
    """No answer of a backend server.

    Attributes:
        failure: why, with the verdict on whether the request ran.
        request_id: of the request, if one was read.
    """

    failure: Failure
    request_id: str | None


Answer = Forwarded | Merged | Refused

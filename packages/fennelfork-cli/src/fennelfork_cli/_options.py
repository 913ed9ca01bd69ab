"""Options that several commands share."""

from typing import Annotated, Final

import attrs
from cyclopts import Parameter

_DEFAULT_TIMEOUT_MS: Final = 5000


@Parameter(name='*')
@attrs.frozen(kw_only=True)
class OperatorOptions:
    """Options of commands that use the operator API.

    Attributes:
        operator: operator address of any daemon, ip:port.
        json: print JSON instead of tables.
        timeout_ms: timeout of each request in milliseconds.
    """

    operator: Annotated[
        str,
        Parameter(env_var='FENNELFORK_OPERATOR'),
    ] = '127.0.0.1:8081'
    json: Annotated[bool, Parameter(negative='')] = False
    timeout_ms: int = _DEFAULT_TIMEOUT_MS


@Parameter(name='*')
@attrs.frozen(kw_only=True)
class CallerOptions:
    """Options of commands that use the caller API.

    Attributes:
        caller: caller address of any daemon, ip:port.
        json: print JSON instead of tables.
        deadline_ms: deadline of the request in milliseconds.
        tenant: tenant of the request.
        traffic_class: traffic class of the request.
        request_id: id of the request; a random id if not given.
    """

    caller: Annotated[
        str,
        Parameter(env_var='FENNELFORK_CALLER'),
    ] = '127.0.0.1:8080'
    json: Annotated[bool, Parameter(negative='')] = False
    deadline_ms: int = _DEFAULT_TIMEOUT_MS
    tenant: str = 'operator'
    traffic_class: Annotated[str, Parameter(name='--class')] = 'operator'
    request_id: str | None = None

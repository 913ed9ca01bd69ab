"""Options that many commands share."""

from typing import Annotated, Final

import attrs
from cyclopts import Parameter

_DEFAULT_TIMEOUT_MS: Final = 5000


@Parameter(name='*')
@attrs.frozen(kw_only=True)
class OperatorOptions:
    """How to reach a daemon and how to print.

    Attributes:
        operator: operator address of any daemon, ip:port.
        json: print JSON instead of tables.
        timeout_ms: for each call.
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
    """How to reach the caller face and what to ask under.

    Attributes:
        caller: caller address of any daemon, ip:port.
        json: print JSON instead of tables.
        deadline_ms: when the answer is worth nothing any more.
        tenant: whom the request is for.
        traffic_class: its class of traffic.
        request_id: a new one if not given.
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

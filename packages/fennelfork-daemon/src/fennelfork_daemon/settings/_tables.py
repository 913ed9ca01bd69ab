"""Tables of a settings file, with validation rules and defaults."""

from typing import Annotated, Final

import attrs

from fennelfork.placement import RoutingMode
from fennelfork_daemon._address import Address
from fennelfork_daemon.settings._log_settings import LogSettings
from fennelfork_daemon.settings._rules import (
    AddressRule,
    LabelRule,
    PrefixRule,
    RangeRule,
)

_KIB: Final = 1024
_MIB: Final = 1_048_576
_MAX_BYTES: Final = 67_108_864
_MAX_MS: Final = 600_000
_MAX_ITEMS: Final = 100_000

_Label = Annotated[str, LabelRule()]
_KeyPrefix = Annotated[str, PrefixRule(prefix='/')]
_ListenAddress = Annotated[Address, AddressRule(min_port=0)]
_RemoteAddress = Annotated[Address, AddressRule(min_port=1)]
_Ms = Annotated[
    int,
    RangeRule(minimum=1, maximum=_MAX_MS, unit='milliseconds'),
]
_Bytes = Annotated[
    int,
    RangeRule(minimum=_KIB, maximum=_MAX_BYTES, unit='bytes'),
]
_Count = Annotated[
    int,
    RangeRule(minimum=1, maximum=_MAX_ITEMS, unit='items'),
]


@attrs.frozen(kw_only=True)
class DaemonSettings:
    """Identity of this daemon and location of its VM."""

    name: _Label
    region: _Label
    data_centre: _Label


@attrs.frozen(kw_only=True)
class ListenSettings:
    """Listening addresses of the caller API, the operator API and the peer RPC.

    With port 0 the operating system chooses a free port.
    """

    caller: _ListenAddress
    operator: _ListenAddress
    peer: _ListenAddress


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Addresses of the platform's services."""

    key_value: tuple[_RemoteAddress, ...]
    vm_list: _RemoteAddress
    key_prefix: _KeyPrefix = '/fennelfork/'


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Limits that bound the memory of a daemon.

    Attributes:
        body_bytes: maximum size of a request body of a caller or operator.
        header_bytes: maximum total size of the headers of one request.
        reply_bytes: maximum size of the response of a backend server.
        connections: maximum number of open connections of the caller API,
            and of the operator API.
        queue: maximum number of sub-queries that wait for one shard.
        explain_entries: number of finished requests that are kept for
            `explain`.
        label_values: maximum number of tenants, and of traffic classes, that
            have separate metrics.
    """

    body_bytes: _Bytes = _MIB
    header_bytes: _Bytes = 16_384
    reply_bytes: _Bytes = 8 * _MIB
    connections: _Count = 1000
    queue: _Count = 1000
    explain_entries: _Count = 512
    label_values: _Count = 32


@attrs.frozen(kw_only=True)
class TimeoutSettings:
    """Timeouts of a daemon, in milliseconds.

    Attributes:
        longest_deadline_ms: maximum deadline that a caller may request.
        request_read_ms: timeout for receiving one complete request, and for
            sending an answer.
        idle_ms: idle time after which a connection of a caller is closed.
        connect_ms: timeout for opening a connection to a daemon or the
            platform.
        platform_ms: timeout of one request to the platform.
        peer_ms: timeout of one call between daemons that has no deadline.
        entry_ttl_ms: time for which callers may cache the list of entries.
        stop_ms: maximum duration of a graceful stop; at least
            `entry_ttl_ms`.
    """

    longest_deadline_ms: _Ms = 60_000
    request_read_ms: _Ms = 5000
    idle_ms: _Ms = 60_000
    connect_ms: _Ms = 500
    platform_ms: _Ms = 2000
    peer_ms: _Ms = 1000
    entry_ttl_ms: _Ms = 5000
    stop_ms: _Ms = 75_000


@attrs.frozen(kw_only=True)
class RoutingSettings:
    """Routing of sub-queries to the backend servers."""

    mode: RoutingMode = RoutingMode.HOME


@attrs.frozen(kw_only=True)
class Settings:
    """Settings of one daemon."""

    daemon: DaemonSettings
    listen: ListenSettings
    platform: PlatformSettings
    limits: LimitSettings = LimitSettings()
    timeouts: TimeoutSettings = TimeoutSettings()
    logs: LogSettings = LogSettings()
    routing: RoutingSettings = RoutingSettings()

"""The tables of a settings file, with their rules and defaults."""

import enum
from typing import Annotated, Final

import attrs

from fennelfork.placement import RoutingMode
from fennelfork_daemon._address import Address
from fennelfork_daemon.settings._rules import (
    AddressRule,
    LabelRule,
    PrefixRule,
    SpanRule,
)

_KIB: Final = 1024
_MIB: Final = 1_048_576
_MOST_BYTES: Final = 67_108_864
_MOST_MS: Final = 600_000
_MOST_ITEMS: Final = 100_000

_Label = Annotated[str, LabelRule()]
_KeyPrefix = Annotated[str, PrefixRule(start='/')]
_ListenAddress = Annotated[Address, AddressRule(lowest_port=0)]
_RemoteAddress = Annotated[Address, AddressRule(lowest_port=1)]
_Ms = Annotated[
    int,
    SpanRule(lowest=1, highest=_MOST_MS, unit='milliseconds'),
]
_Bytes = Annotated[
    int,
    SpanRule(lowest=_KIB, highest=_MOST_BYTES, unit='bytes'),
]
_Count = Annotated[
    int,
    SpanRule(lowest=1, highest=_MOST_ITEMS, unit='items'),
]


@enum.unique
class LogFormat(enum.Enum):
    """How a line of the log is written."""

    JSON = 'json'
    CONSOLE = 'console'


@enum.unique
class LogLevel(enum.Enum):
    """The least severity that is written."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@attrs.frozen(kw_only=True)
class DaemonSettings:
    """Who this daemon is and where its VM stands."""

    name: _Label
    region: _Label
    data_centre: _Label


@attrs.frozen(kw_only=True)
class ListenSettings:
    """Where the three faces listen; port 0 lets the system choose."""

    caller: _ListenAddress
    operator: _ListenAddress
    peer: _ListenAddress


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Where the platform's services are."""

    key_value: tuple[_RemoteAddress, ...]
    vm_list: _RemoteAddress
    key_prefix: _KeyPrefix = '/fennelfork/'


@attrs.frozen(kw_only=True)
class LimitSettings:
    """What bounds the memory of a daemon.

    Attributes:
        body_bytes: the largest request body of a caller or operator.
        header_bytes: all headers of one request together.
        reply_bytes: the largest reply of a backend server.
        connections: open connections of each HTTP face.
        queue: sub-queries that wait for one shard.
        explain_entries: finished requests kept for `explain`.
        label_values: tenants, and classes, with metrics of their own.
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
    """How long a daemon waits, in milliseconds.

    Attributes:
        longest_deadline_ms: the longest deadline that a caller may ask for.
        request_read_ms: to receive one whole request, or to hand over an
            answer.
        idle_ms: an unused connection of a caller is closed after this.
        connect_ms: to open a connection to a daemon or the platform.
        platform_ms: one call of the platform.
        peer_ms: one call between daemons that carries no deadline.
        entry_ttl_ms: how long callers may keep an answer on entries.
        stop_ms: a graceful stop at most; at least `entry_ttl_ms`.
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
class LogSettings:
    """What is logged and how."""

    format: LogFormat = LogFormat.JSON
    level: LogLevel = LogLevel.INFO


@attrs.frozen(kw_only=True)
class RoutingSettings:
    """How sub-queries reach the backend servers."""

    mode: RoutingMode = RoutingMode.HOME


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one daemon."""

    daemon: DaemonSettings
    listen: ListenSettings
    platform: PlatformSettings
    limits: LimitSettings = LimitSettings()
    timeouts: TimeoutSettings = TimeoutSettings()
    logs: LogSettings = LogSettings()
    routing: RoutingSettings = RoutingSettings()

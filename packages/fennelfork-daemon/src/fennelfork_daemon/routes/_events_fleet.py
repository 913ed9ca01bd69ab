"""Log events about the other daemons and the load; see `_events`."""

from typing import ClassVar

import attrs


@attrs.frozen(kw_only=True)
class DaemonSeen:
    """Another daemon registered itself.

    Attributes:
        peer: name of the daemon.
        at: address of its caller API.
    """

    event: ClassVar[str] = 'daemon_seen'
    peer: str
    at: str


@attrs.frozen(kw_only=True)
class UpdateSourceChanged:
    """This daemon reads updates of the store from another source.

    Attributes:
        source: name of the daemon that passes on the updates, or `the store`.
    """

    event: ClassVar[str] = 'update_source_changed'
    source: str


@attrs.frozen(kw_only=True)
class RelayFailed:
    """A daemon that passes on updates of the store did not respond validly.

    Attributes:
        peer: name of the daemon.
        reason: description of the failure.
    """

    event: ClassVar[str] = 'relay_failed'
    peer: str
    reason: str


@attrs.frozen(kw_only=True)
class LoadChanged:
    """This daemon became overloaded, or is no longer overloaded.

    Attributes:
        overloaded: whether the daemon asks for fewer callers.
        busy_percent: average share of the time in which the event loop works.
    """

    event: ClassVar[str] = 'load_changed'
    overloaded: bool
    busy_percent: int


@attrs.frozen(kw_only=True)
class LimitShareChanged:
    """This daemon uses another share of the limits of the whole fleet.

    Attributes:
        share: share that this daemon uses, from 0 to 1. The shares of all
            daemons add up to at most 1 in any window.
        daemons: number of registered daemons that this daemon knows.
    """

    event: ClassVar[str] = 'limit_share_changed'
    share: float
    daemons: int


@attrs.frozen(kw_only=True)
class DaemonGone:
    """The registration of another daemon was removed or expired.

    Attributes:
        peer: name of the daemon.
    """

    event: ClassVar[str] = 'daemon_gone'
    peer: str

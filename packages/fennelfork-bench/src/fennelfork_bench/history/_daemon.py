"""Events of daemons and of injected faults."""

import attrs

from fennelfork_bench.history._event import Event


@attrs.frozen(kw_only=True)
class DaemonEvent(Event):
    """Base class of the events of one incarnation of a daemon.

    Attributes:
        daemon: name of the incarnation, different after each restart.
    """

    daemon: str


@attrs.frozen(kw_only=True)
class Started(DaemonEvent):
    """The daemon reported readiness."""


@attrs.frozen(kw_only=True)
class VersionSeen(DaemonEvent):
    """The daemon reported its active configuration version."""

    version: int
    digest: str


@attrs.frozen(kw_only=True)
class Paused(DaemonEvent):
    """The daemon was suspended by SIGSTOP."""


@attrs.frozen(kw_only=True)
class Resumed(DaemonEvent):
    """The daemon was continued by SIGCONT."""


@attrs.frozen(kw_only=True)
class Killed(DaemonEvent):
    """The daemon was terminated by SIGKILL."""


@attrs.frozen(kw_only=True)
class StopAsked(DaemonEvent):
    """The daemon was asked to stop gracefully."""


@attrs.frozen(kw_only=True)
class Exited(DaemonEvent):
    """The process of the daemon exited by itself."""

    status: int


@attrs.frozen(kw_only=True)
class FaultChanged(Event):
    """A fault was injected or cleared.

    Attributes:
        fault: name of the fault.
        target: name of the process that the fault affects.
        active: whether the fault was injected rather than cleared.
    """

    fault: str
    target: str
    active: bool


# Union of the concrete classes of this module, for serialisation.
AnyDaemonEvent = (
    Started
    | VersionSeen
    | Paused
    | Resumed
    | Killed
    | StopAsked
    | Exited
    | FaultChanged
)

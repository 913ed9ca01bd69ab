"""Events of daemons, and of the faults that a run injects."""

import attrs

from fennelfork_bench.history._event import Event


@attrs.frozen(kw_only=True)
class DaemonEvent(Event):
    """Something that happened to one run of one daemon.

    Attributes:
        daemon: name of the run; a daemon started again has another.
    """

    daemon: str


@attrs.frozen(kw_only=True)
class Started(DaemonEvent):
    """The daemon said that it is ready."""


@attrs.frozen(kw_only=True)
class VersionSeen(DaemonEvent):
    """The daemon said which configuration is in force in it."""

    version: int
    digest: str


@attrs.frozen(kw_only=True)
class Paused(DaemonEvent):
    """The daemon was stopped by SIGSTOP."""


@attrs.frozen(kw_only=True)
class Resumed(DaemonEvent):
    """The daemon was continued by SIGCONT."""


@attrs.frozen(kw_only=True)
class Killed(DaemonEvent):
    """The daemon was ended by SIGKILL."""


@attrs.frozen(kw_only=True)
class StopAsked(DaemonEvent):
    """The daemon was asked to stop gracefully."""


@attrs.frozen(kw_only=True)
class Exited(DaemonEvent):
    """The process of the daemon ended by itself."""

    status: int


@attrs.frozen(kw_only=True)
class FaultChanged(Event):
    """A fault begins or ends.

    Attributes:
        fault: which fault.
        target: the process it strikes.
        active: true from the beginning, false at the end.
    """

    fault: str
    target: str
    active: bool


# The concrete classes of this module, for reading and writing.
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

"""Log lines of the process itself; see `_events`."""

from collections.abc import Mapping, Sequence
from typing import Any, ClassVar

import attrs


@attrs.frozen(kw_only=True)
class Started:
    """The process serves from now on.

    Attributes:
        version: of the program.
        settings: as they were checked.
    """

    event: ClassVar[str] = 'started'
    version: str
    settings: Mapping[str, Any]


@attrs.frozen(kw_only=True)
class Stopped:
    """The process ends.

    Attributes:
        status: the exit status.
        cut: requests that were cut by the end of the time for a stop.
    """

    event: ClassVar[str] = 'stopped'
    status: int
    cut: int


@attrs.frozen(kw_only=True)
class StateChanged:
    """A step of a stop.

    Attributes:
        subject: what changed.
        state: the state that it is in now.
        running: requests in progress.
        cut: requests that were cut.
    """

    event: ClassVar[str] = 'state changed'
    subject: str
    state: str
    running: int
    cut: int


@attrs.frozen(kw_only=True)
class Reloaded:
    """Changed settings were taken, or noted until the next start.

    Attributes:
        changed: names of the settings that are not as before.
    """

    event: ClassVar[str] = 'reloaded'
    changed: Sequence[str]


@attrs.frozen(kw_only=True)
class ReloadRefused:
    """The settings file cannot be used; all stays as it was.

    Attributes:
        reason: a line on each setting that is wrong.
    """

    event: ClassVar[str] = 'reload_refused'
    reason: Sequence[str]


@attrs.frozen(kw_only=True)
class FellBehind:
    """This process woke late; limits of requests under way fall.

    Attributes:
        late_ms: by how much.
    """

    event: ClassVar[str] = 'fell_behind'
    late_ms: int


@attrs.frozen(kw_only=True)
class Defect:
    """A defect of this program ended a request."""

    event: ClassVar[str] = 'defect'
    error: str
    trace: str


@attrs.frozen(kw_only=True)
class LinesDropped:
    """The reader of the log was too slow, and lines found no room.

    Attributes:
        lines: how many, since it was said last.
    """

    event: ClassVar[str] = 'lines_dropped'
    lines: int

"""Log events of the process; see `_events`."""

from collections.abc import Mapping, Sequence
from typing import Any, ClassVar

import attrs


@attrs.frozen(kw_only=True)
class Started:
    """The process starts to serve requests.

    Attributes:
        version: version of the program.
        settings: validated settings.
    """

    event: ClassVar[str] = 'started'
    version: str
    settings: Mapping[str, Any]


@attrs.frozen(kw_only=True)
class Stopped:
    """The process exits.

    Attributes:
        status: exit status.
        cut: number of requests that were aborted at the stop timeout.
    """

    event: ClassVar[str] = 'stopped'
    status: int
    cut: int


@attrs.frozen(kw_only=True)
class StateChanged:
    """The process enters the next state of a graceful stop.

    Attributes:
        subject: name of the component that changes its state.
        state: new state of the component.
        running: number of requests in progress.
        cut: number of requests that were aborted.
    """

    event: ClassVar[str] = 'state changed'
    subject: str
    state: str
    running: int
    cut: int


@attrs.frozen(kw_only=True)
class Reloaded:
    """Changed settings were applied or take effect at the next start.

    Attributes:
        changed: names of the changed settings.
    """

    event: ClassVar[str] = 'reloaded'
    changed: Sequence[str]


@attrs.frozen(kw_only=True)
class ReloadRefused:
    """The settings file is invalid and the active settings remain unchanged.

    Attributes:
        reason: one line for each invalid setting.
    """

    event: ClassVar[str] = 'reload_refused'
    reason: Sequence[str]


@attrs.frozen(kw_only=True)
class FellBehind:
    """The process woke up late, so concurrency limits are decreased.

    Attributes:
        late_ms: scheduling lag in milliseconds.
    """

    event: ClassVar[str] = 'fell_behind'
    late_ms: int


@attrs.frozen(kw_only=True)
class Defect:
    """An unexpected exception ended a request.

    Attributes:
        error: representation of the exception.
        trace: formatted traceback.
    """

    event: ClassVar[str] = 'defect'
    error: str
    trace: str


@attrs.frozen(kw_only=True)
class LinesDropped:
    """Log lines were dropped because the reader of the log was too slow.

    Attributes:
        lines: number of lines dropped since the previous event of this kind.
    """

    event: ClassVar[str] = 'lines_dropped'
    lines: int

"""What every injected fault has in common: it begins, lasts and ends."""

import functools
import time
from collections.abc import Callable

import attrs

from fennelfork_bench.history._daemon import FaultChanged
from fennelfork_bench.soak._trial import Trial

# What ends a fault.
End = Callable[[], None]


@attrs.frozen(kw_only=True)
class Fault:
    """A fault of one kind; its target is drawn when it strikes.

    Attributes:
        hold_s: how long it lasts.
    """

    hold_s: float = 1


@functools.singledispatch
def begin(fault: Fault, trial: Trial) -> End:
    """Let a fault begin.

    Args:
        fault: which.
        trial: whose processes it strikes and whose history it enters.

    Returns:
        What ends it again; nothing that can't be undone is.
    """
    raise TypeError(f'no fault: {fault!r}')


def strike(fault: Fault, trial: Trial) -> None:
    """Let a fault begin, last and end."""
    end = begin(fault, trial)
    _note(fault, trial, active=True)
    time.sleep(fault.hold_s)
    end()
    _note(fault, trial, active=False)


def nothing() -> None:
    """End a fault that can't be undone."""


def _note(fault: Fault, trial: Trial, *, active: bool) -> None:
    trial.recorder.note(
        FaultChanged(
            at_ms=trial.recorder.now_ms(),
            fault=type(fault).__name__,
            target=repr(fault),
            active=active,
        ),
    )

"""Base of all faults: injection, duration and clearing."""

import functools
import time
from collections.abc import Callable

import attrs

from fennelfork_bench.history._daemon import FaultChanged
from fennelfork_bench.soak._round_context import RoundContext

# Function that clears an injected fault.
Clear = Callable[[], None]


@attrs.frozen(kw_only=True)
class Fault:
    """Fault of one kind; the target is drawn at injection.

    Attributes:
        hold_s: duration of the fault, in seconds.
    """

    hold_s: float = 1


@functools.singledispatch
def inject(fault: Fault, context: RoundContext) -> Clear:
    """Inject a fault.

    Args:
        fault: fault to inject.
        context: round whose processes are affected.

    Returns:
        Function that clears the fault; `skip_clearing` if the fault is
        permanent or clears itself.
    """
    raise TypeError(f'no injection is registered for {fault!r}')


def run_fault(fault: Fault, context: RoundContext) -> None:
    """Inject a fault, wait for `hold_s`, and clear the fault."""
    clear = inject(fault, context)
    _record_change(fault, context, active=True)
    time.sleep(fault.hold_s)
    clear()
    _record_change(fault, context, active=False)


def skip_clearing() -> None:
    """Do nothing, for faults that are permanent or clear themselves."""


def _record_change(
    fault: Fault, context: RoundContext, *, active: bool
) -> None:
    context.recorder.record_event(
        FaultChanged(
            at_ms=context.recorder.now_ms(),
            fault=type(fault).__name__,
            target=repr(fault),
            active=active,
        ),
    )

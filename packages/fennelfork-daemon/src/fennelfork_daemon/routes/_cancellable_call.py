"""Blocking call that another green thread can cancel."""

from collections.abc import Callable
from typing import Generic, TypeVar

import attrs
import eventlet
from eventlet.greenthread import GreenThread
from greenlet import GreenletExit

_Result = TypeVar('_Result')


@attrs.define(kw_only=True)
class CancellableCall(Generic[_Result]):
    """Runner of one cancellable call at a time, in a separate green thread."""

    _thread: GreenThread | None = None

    def run(self, call: Callable[[], _Result]) -> _Result | None:
        """Run a call and return its result, none if the call was cancelled."""
        self._thread = eventlet.spawn(call)
        try:
            outcome: _Result = self._thread.wait()
        except GreenletExit:
            return None
        finally:
            self._thread = None
        return outcome

    def cancel(self) -> None:
        """Cancel the running call, if any, unless the call itself asks."""
        if self._thread not in {None, eventlet.getcurrent()}:
            self._thread.kill()

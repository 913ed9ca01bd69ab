"""A call that is waited for, until something else shows that it is in vain."""

from collections.abc import Callable
from typing import Generic, TypeVar

import attrs
import eventlet
from eventlet.greenthread import GreenThread
from greenlet import GreenletExit

_Got = TypeVar('_Got')


@attrs.define(kw_only=True)
class PendingCall(Generic[_Got]):
    """Runs one call at a time, in a green thread of its own."""

    _thread: GreenThread | None = None

    def wait_for(self, call: Callable[[], _Got]) -> _Got | None:
        """Make a call; give what it returns, none if it was given up."""
        self._thread = eventlet.spawn(call)
        try:
            got: _Got = self._thread.wait()
        except GreenletExit:
            return None
        finally:
            self._thread = None
        return got

    def give_up(self) -> None:
        """End the call that is waited for, if there is one."""
        if self._thread is not None:
            self._thread.kill()

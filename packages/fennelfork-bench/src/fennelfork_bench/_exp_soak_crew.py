"""Threads that repeat one step each until they are told to stop."""

import threading
from collections.abc import Callable
from typing import Final

import attrs

_JOIN_S: Final = 30


@attrs.define(kw_only=True, eq=False)
class Crew:
    """A group of threads that start one by one and stop together."""

    _stopping: threading.Event = attrs.field(factory=threading.Event)
    _threads: list[threading.Thread] = attrs.field(factory=list)
    _errors: list[Exception] = attrs.field(factory=list)

    def repeat(self, step: Callable[[], None]) -> None:
        """Start a thread that takes one step after the other."""
        thread = threading.Thread(target=self._run, args=(step,), daemon=True)
        self._threads.append(thread)
        thread.start()

    def stop(self) -> None:
        """Stop every thread after its present step.

        Raises:
            ExceptionGroup: what the steps raised, if any did.
            TimeoutError: if a step does not end.
        """
        self._stopping.set()
        for thread in self._threads:
            thread.join(_JOIN_S)
        if self._errors:
            raise ExceptionGroup('steps broke down', self._errors)
        if any(map(threading.Thread.is_alive, self._threads)):
            raise TimeoutError('a step does not end')

    def _run(self, step: Callable[[], None]) -> None:
        try:
            while not self._stopping.is_set():
                step()
        except Exception as error:
            self._errors.append(error)

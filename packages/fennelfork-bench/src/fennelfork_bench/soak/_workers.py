"""Threads that take steps at the same time and stop together."""

import threading
from collections.abc import Callable
from typing import Final

import attrs

_JOIN_S: Final = 90


@attrs.define(kw_only=True, eq=False)
class Crew:
    """A group of threads that start one by one and stop together."""

    _stopping: threading.Event = attrs.field(factory=threading.Event)
    _threads: list[threading.Thread] = attrs.field(factory=list)
    _errors: list[Exception] = attrs.field(factory=list)

    def repeat(self, step: Callable[[], None]) -> None:
        """Start a thread that takes the step again and again."""
        self._start(self._take_again, step)

    def once(self, step: Callable[[], None]) -> None:
        """Start a thread that takes the step once."""
        self._start(self._take, step)

    def stop(self) -> None:
        """Wait until every thread has ended its present step.

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

    def _start(
        self,
        target: Callable[[Callable[[], None]], None],
        step: Callable[[], None],
    ) -> None:
        thread = threading.Thread(target=target, args=(step,), daemon=True)
        self._threads.append(thread)
        thread.start()

    def _take_again(self, step: Callable[[], None]) -> None:
        while not self._stopping.is_set() and not self._errors:
            self._take(step)

    def _take(self, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception as error:
            self._errors.append(error)

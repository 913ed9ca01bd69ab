"""Worker threads that run concurrently and stop together."""

import threading
from collections.abc import Callable
from typing import Final

import attrs

_JOIN_TIMEOUT_S: Final = 90


@attrs.define(kw_only=True, eq=False)
class Workers:
    """Group of worker threads, each of which runs one function."""

    _stopping: threading.Event = attrs.field(factory=threading.Event)
    _threads: list[threading.Thread] = attrs.field(factory=list)
    _errors: list[Exception] = attrs.field(factory=list)

    def run_repeatedly(self, task: Callable[[], None]) -> None:
        """Start a thread that calls a function until the group stops."""
        self._start(self._call_until_stopped, task)

    def run_once(self, task: Callable[[], None]) -> None:
        """Start a thread that calls a function once."""
        self._start(self._call, task)

    def stop(self) -> None:
        """Stop all threads after their current calls.

        Raises:
            ExceptionGroup: the exceptions that the functions raised.
            TimeoutError: if a thread does not stop in time.
        """
        self._stopping.set()
        for thread in self._threads:
            thread.join(_JOIN_TIMEOUT_S)
        if self._errors:
            raise ExceptionGroup('steps broke down', self._errors)
        if any(map(threading.Thread.is_alive, self._threads)):
            raise TimeoutError('a worker thread did not stop in time')

    def _start(
        self,
        target: Callable[[Callable[[], None]], None],
        task: Callable[[], None],
    ) -> None:
        thread = threading.Thread(target=target, args=(task,), daemon=True)
        self._threads.append(thread)
        thread.start()

    def _call_until_stopped(self, task: Callable[[], None]) -> None:
        while not self._stopping.is_set() and not self._errors:
            self._call(task)

    def _call(self, task: Callable[[], None]) -> None:
        try:
            task()
        except Exception as error:
            self._errors.append(error)

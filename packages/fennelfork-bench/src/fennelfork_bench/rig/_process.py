"""Starts real processes, waits until they serve, and always ends them."""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any, Final, Self

import attrs

_POLL_S: Final = 0.01
_READY_CAP_S: Final = 30
_END_CAP_S: Final = 10
_TAIL_CHARS: Final = 2000


class RigError(Exception):
    """A process did not do what the rig waited for."""


@attrs.define(kw_only=True, eq=False)
class Process:
    """A child process of the rig.

    Attributes:
        name: what it is called in reports; unique within a rig.
        stdout: file that takes its standard output.
        stderr: file that takes its standard error.
        ready: what it said of itself once it served.
    """

    name: str
    stdout: Path
    stderr: Path
    ready: dict[str, Any] = attrs.field(factory=dict)
    _child: 'subprocess.Popen[bytes]'

    @property
    def pid(self) -> int:
        """The process id."""
        return self._child.pid

    @property
    def alive(self) -> bool:
        """Whether the process has not ended."""
        return self._child.poll() is None

    def kill(self) -> None:
        """End it at once, as a lost VM would, and reap it."""
        self._send(signal.SIGKILL)
        self._child.wait()

    def pause(self) -> None:
        """Stop it from running until `resume`."""
        self._send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process run on."""
        self._send(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask it to stop gracefully; see `wait`."""
        self._send(signal.SIGTERM)

    def wait(self, cap_s: float) -> int | None:
        """Wait for its end.

        Returns:
            The exit status, or none if it still runs after `cap_s` seconds.
        """
        try:
            return self._child.wait(cap_s)
        except subprocess.TimeoutExpired:
            return None

    def await_ready(self, cap_s: float = _READY_CAP_S) -> Self:
        """Wait for the ready line.

        Args:
            cap_s: seconds to wait at most.

        Raises:
            RigError: if it ended, or the line did not come in time.
        """
        wait_until(
            self._has_ready_line,
            cap_s,
            f'{self.name} to be ready',
            self._errors,
        )
        return self

    def _has_ready_line(self) -> bool:
        for line in self.stdout.read_text().splitlines(keepends=True):
            if line.startswith('{"ready"') and line.endswith('\n'):
                self.ready = json.loads(line)['ready']
                return True
        if not self.alive:
            raise RigError(f'{self.name} ended early: {self._errors()}')
        return False

    def _errors(self) -> str:
        return self.stderr.read_text(errors='replace')[-_TAIL_CHARS:]

    def _send(self, number: signal.Signals) -> None:
        if self.alive:
            os.kill(self.pid, number)


@attrs.define(kw_only=True, eq=False)
class Rig:
    """A directory of its own and the processes that were started in it.

    Use it as a context manager: leaving it ends every process.
    """

    directory: Path
    _processes: list[Process] = attrs.field(factory=list)
    _guards: list[socket.socket] = attrs.field(factory=list)

    def __enter__(self) -> Self:
        """Give the rig itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End every process and remove the directory."""
        self.close()

    def start_module(
        self,
        name: str,
        module: str,
        arguments: Sequence[str] = (),
    ) -> Process:
        """Start `python -m module arguments` and return at once.

        Args:
            name: what to call it; a restart may use the name again.
            module: a module of this workspace.
            arguments: further arguments.
        """
        return self.start(name, (sys.executable, '-m', module, *arguments))

    def start(self, name: str, command: Sequence[str]) -> Process:
        """Start a command with its output in files and return at once."""
        stem = f'{len(self._processes):03}-{name}'
        stdout = self.directory / f'{stem}.out'
        stderr = self.directory / f'{stem}.err'
        with stdout.open('wb') as out, stderr.open('wb') as err:
            child = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                cwd=self.directory,
            )
        process = Process(name=name, stdout=stdout, stderr=stderr, child=child)
        self._processes.append(process)
        return process

    def reserve_address(self) -> str:
        """Give an address on loopback at which a process can listen later.

        A socket that is bound there and does not listen keeps the port from all
        who ask for any, and lets those have it who ask for this one.
        """
        guard = socket.socket()
        guard.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        guard.bind(('127.0.0.1', 0))
        self._guards.append(guard)
        host, port = guard.getsockname()
        return f'{host}:{port}'

    def close(self) -> None:
        """End every process and remove the directory."""
        for process in self._processes:
            process.resume()
            process.kill()
        for guard in self._guards:
            guard.close()
        shutil.rmtree(self.directory, ignore_errors=True)

    def close_gently(self, cap_s: float = _END_CAP_S) -> None:
        """Ask every process to stop, wait, and close."""
        for process in self._processes:
            process.terminate()
        for each in self._processes:
            each.wait(cap_s)
        self.close()


def rig() -> Rig:
    """Build a rig over a fresh temporary directory."""
    return Rig(directory=Path(tempfile.mkdtemp(prefix='fennelfork-')))


def wait_until(
    holds: Callable[[], Any],
    cap_s: float,
    awaited: str,
    explain: Callable[[], str] = str,
) -> None:
    """Wait for a condition.

    Args:
        holds: the condition, asked again and again.
        cap_s: seconds to wait at most.
        awaited: what is waited for, for the error.
        explain: asked for more words when it did not come.

    Raises:
        RigError: if the condition did not hold in time.
    """
    end_s = time.monotonic() + cap_s
    while not holds():
        if time.monotonic() > end_s:
            raise RigError(f'waited {cap_s} s for {awaited}. {explain()}')
        time.sleep(_POLL_S)

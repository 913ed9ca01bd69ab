"""Child processes of the rig, with readiness checks and cleanup."""

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

_POLL_INTERVAL_S: Final = 0.01
_READY_TIMEOUT_S: Final = 30
_EXIT_TIMEOUT_S: Final = 10
_MAX_ERROR_CHARS: Final = 2000


class RigError(Exception):
    """A process failed or a condition did not hold in time."""


@attrs.define(kw_only=True, eq=False)
class Process:
    """Child process of the rig.

    Attributes:
        name: name of the process in reports.
        stdout: file with the standard output.
        stderr: file with the standard error.
        ready: content of the ready line; empty before the process is ready.
    """

    name: str
    stdout: Path
    stderr: Path
    ready: dict[str, Any] = attrs.field(factory=dict)
    _child: 'subprocess.Popen[bytes]'

    @property
    def pid(self) -> int:
        """Process ID."""
        return self._child.pid

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self._child.poll() is None

    def kill(self) -> None:
        """Kill the process and reap it, which simulates the loss of a VM."""
        self._send_signal(signal.SIGKILL)
        self._child.wait()

    def pause(self) -> None:
        """Stop the process until `resume`."""
        self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process."""
        self._send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful stop; see `wait`."""
        self._send_signal(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int | None:
        """Wait until the process exits.

        Returns:
            The exit status, or `None` if the process is still running after
            `timeout_s` seconds.
        """
        try:
            return self._child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def await_ready(self, timeout_s: float = _READY_TIMEOUT_S) -> Self:
        """Wait for the ready line.

        Args:
            timeout_s: maximum wait in seconds.

        Raises:
            RigError: if the process exits or is not ready in time.
        """
        wait_until(
            self._read_ready_line,
            timeout_s,
            f'{self.name} to be ready',
            self._read_errors,
        )
        return self

    def _read_ready_line(self) -> bool:
        for line in self.stdout.read_text().splitlines(keepends=True):
            if line.startswith('{"ready"') and line.endswith('\n'):
                self.ready = json.loads(line)['ready']
                return True
        if not self.alive:
            raise RigError(
                f'{self.name} exited before it was ready: {self._read_errors()}',
            )
        return False

    def _read_errors(self) -> str:
        return self.stderr.read_text(errors='replace')[-_MAX_ERROR_CHARS:]

    def _send_signal(self, signal_number: signal.Signals) -> None:
        if self.alive:
            os.kill(self.pid, signal_number)


@attrs.define(kw_only=True, eq=False)
class Rig:
    """Temporary directory and the processes that run in the directory.

    Used as a context manager, the rig kills every process on exit.
    """

    directory: Path
    _processes: list[Process] = attrs.field(factory=list)
    _reservations: list[socket.socket] = attrs.field(factory=list)

    def __enter__(self) -> Self:
        """Return the rig."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill every process and remove the directory."""
        self.close()

    def start_module(
        self,
        name: str,
        module: str,
        arguments: Sequence[str] = (),
    ) -> Process:
        """Start `python -m module arguments` without waiting for readiness.

        Args:
            name: name of the process; a restart may reuse the name.
            module: module of this workspace to run.
            arguments: command-line arguments of the module.
        """
        return self.start(name, (sys.executable, '-m', module, *arguments))

    def start(self, name: str, command: Sequence[str]) -> Process:
        """Start a command whose output is redirected to files."""
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
        """Reserve a loopback address at which a process can listen later.

        A bound socket that does not listen keeps the kernel from assigning
        the port to others, while an explicit bind to the port succeeds.
        """
        reservation = socket.socket()
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.bind(('127.0.0.1', 0))
        self._reservations.append(reservation)
        host, port = reservation.getsockname()
        return f'{host}:{port}'

    def close(self) -> None:
        """Kill every process, release the addresses, remove the directory."""
        for process in self._processes:
            process.resume()
            process.kill()
        for reservation in self._reservations:
            reservation.close()
        shutil.rmtree(self.directory, ignore_errors=True)

    def close_gracefully(self, timeout_s: float = _EXIT_TIMEOUT_S) -> None:
        """Terminate every process, wait for the exits and close the rig."""
        for process in self._processes:
            process.terminate()
        for each in self._processes:
            each.wait(timeout_s)
        self.close()


def rig() -> Rig:
    """Build a rig with a new temporary directory."""
    return Rig(directory=Path(tempfile.mkdtemp(prefix='fennelfork-')))


def wait_until(
    condition: Callable[[], Any],
    timeout_s: float,
    awaited: str,
    describe: Callable[[], str] = str,
) -> None:
    """Poll a condition until the condition holds.

    Args:
        condition: function that returns whether the condition holds.
        timeout_s: maximum wait in seconds.
        awaited: description of the condition for the error message.
        describe: function that returns details for the error message.

    Raises:
        RigError: if the condition does not hold in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise RigError(f'waited {timeout_s} s for {awaited}. {describe()}')
        time.sleep(_POLL_INTERVAL_S)

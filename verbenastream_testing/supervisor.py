"""Starts, signals and ends the processes of a tested deployment."""

from __future__ import annotations

import asyncio
import ctypes
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING
import urllib.error
import urllib.request

from verbenastream import errors

if TYPE_CHECKING:
    from collections.abc import Sequence

_POLL_S = 0.05
_LOG_TAIL_LINES = 15
# From linux/prctl.h: sets the signal sent to a process if its parent ends.
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)
_REPOSITORY = pathlib.Path(__file__).resolve().parent.parent


class NotReadyError(errors.VerbenastreamError):
    """A process did not become ready within its limit."""


@dataclasses.dataclass(slots=True)
class ManagedProcess:
    """A started process; ``url`` is the base URL of its health checks."""

    name: str
    process: subprocess.Popen[bytes]
    log: pathlib.Path
    url: str

    @property
    def pid(self) -> int:
        return self.process.pid

    @property
    def running(self) -> bool:
        return self.process.poll() is None

    def log_tail(self) -> str:
        text = self.log.read_text(errors='replace')
        return '\n'.join(text.splitlines()[-_LOG_TAIL_LINES:])


class Supervisor:
    """Manages the processes that it has started, and no others.

    Used as a context manager, it ends every process on exit::

        with supervisor.Supervisor(folder) as processes:
            processes.start('entry-1', 'verbenastream.process.entry', ...)
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self.processes_by_name: dict[str, ManagedProcess] = {}
        self._replaced: list[ManagedProcess] = []

    def __enter__(self) -> Supervisor:
        return self

    def __exit__(self, *_: object) -> None:
        self.end_all()

    def start(
        self, name: str, module: str, arguments: Sequence[str], url: str
    ) -> ManagedProcess:
        """Start ``python -m module`` and send its output to a log file."""
        log = self._folder / f'{name}.log'
        environment = dict(os.environ, PYTHONPATH=str(_REPOSITORY))
        with log.open('ab') as output:
            process = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=environment,
                # An interrupt of the terminal reaches only the supervisor,
                # which then ends its processes in order.
                start_new_session=True,
                preexec_fn=_end_with_parent,
            )
        managed = ManagedProcess(name, process, log, url)
        previous = self.processes_by_name.get(name)
        if previous is not None:
            self._replaced.append(previous)
        self.processes_by_name[name] = managed
        return managed

    async def wait_ready(self, names: Sequence[str], limit_s: float) -> None:
        """Wait until ``/readyz`` of each process answers 200.

        Raises ``NotReadyError`` with the end of the log after ``limit_s`` or
        as soon as one of the processes has ended.
        """
        deadline = time.monotonic() + limit_s
        pending = [self.processes_by_name[name] for name in names]
        while pending:
            for managed in list(pending):
                if await asyncio.to_thread(_is_ready, managed.url):
                    pending.remove(managed)
                elif not managed.running or time.monotonic() > deadline:
                    raise NotReadyError(
                        f'{managed.name} is not ready after {limit_s:g} s, '
                        f'exit status {managed.process.poll()}:\n'
                        f'{managed.log_tail()}',
                        f'Read {managed.log}.',
                    )
            if pending:
                await asyncio.sleep(_POLL_S)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process unless it has ended."""
        managed = self.processes_by_name[name]
        if managed.running:
            managed.process.send_signal(number)

    def kill(self, name: str) -> None:
        """End a process with SIGKILL and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.processes_by_name[name].process.wait()

    async def stop(self, name: str, limit_s: float) -> int | None:
        """Send SIGTERM; return the exit status or None after ``limit_s``."""
        self.signal(name, signal.SIGTERM)
        process = self.processes_by_name[name].process
        deadline = time.monotonic() + limit_s
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(_POLL_S)
        return process.poll()

    def end_all(self, limit_s: float = 3.0) -> list[str]:
        """End every process; return the names that needed SIGKILL."""
        all_processes = [*self.processes_by_name.values(), *self._replaced]
        running_processes = [
            managed for managed in all_processes if managed.running
        ]
        for managed in running_processes:
            managed.process.send_signal(signal.SIGCONT)
            managed.process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + limit_s
        killed = []
        for managed in running_processes:
            try:
                managed.process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                killed.append(managed.name)
                managed.process.kill()
                managed.process.wait()
        return killed


def _end_with_parent() -> None:
    """Make a process end if its supervisor is killed."""
    if sys.platform == 'linux':
        _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def _is_ready(url: str) -> bool:
    try:
        with urllib.request.urlopen(f'{url}/readyz', timeout=1.0) as response:
            return response.status == 200
    except (OSError, urllib.error.URLError):
        return False

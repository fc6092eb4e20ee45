"""Starts, signals and ends the processes of a deployment under test."""

from __future__ import annotations

import asyncio
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
_LAST_LINES = 15
_REPOSITORY = pathlib.Path(__file__).resolve().parent.parent


class NotReadyError(errors.VerbenastreamError):
    """A process did not become ready within its limit."""


@dataclasses.dataclass(slots=True)
class Started:
    """One process; ``url`` is the base of its health pages."""

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

    def last_lines(self) -> str:
        text = self.log.read_text(errors='replace')
        return '\n'.join(text.splitlines()[-_LAST_LINES:])


class Supervisor:
    """Owns the processes that it started and only those.

    Use it as a context manager; on exit every process is ended::

        with supervisor.Supervisor(folder) as processes:
            processes.start('entry-1', 'verbenastream.process.entry', ...)
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self.started_by_name: dict[str, Started] = {}
        self._ended: list[Started] = []

    def __enter__(self) -> Supervisor:
        return self

    def __exit__(self, *_: object) -> None:
        self.end_all()

    def start(
        self, name: str, module: str, arguments: Sequence[str], url: str
    ) -> Started:
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
                # A terminal's interrupt reaches the supervisor alone, which
                # then ends its processes in order.
                start_new_session=True,
            )
        started = Started(name, process, log, url)
        previous = self.started_by_name.get(name)
        if previous is not None:
            self._ended.append(previous)
        self.started_by_name[name] = started
        return started

    async def wait_ready(self, names: Sequence[str], limit_s: float) -> None:
        """Wait until ``/readyz`` of each answers 200.

        Raises ``NotReadyError`` with the end of the log after ``limit_s`` or
        as soon as one of the processes has ended.
        """
        deadline = time.monotonic() + limit_s
        pending = [self.started_by_name[name] for name in names]
        while pending:
            for started in list(pending):
                if await asyncio.to_thread(_is_ready, started.url):
                    pending.remove(started)
                elif not started.running or time.monotonic() > deadline:
                    raise NotReadyError(
                        f'{started.name} is not ready after {limit_s:g} s, '
                        f'exit status {started.process.poll()}:\n'
                        f'{started.last_lines()}',
                        f'Read {started.log}.',
                    )
            if pending:
                await asyncio.sleep(_POLL_S)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal by process id; a process that has ended gets none."""
        started = self.started_by_name[name]
        if started.running:
            started.process.send_signal(number)

    def kill(self, name: str) -> None:
        """End a process with SIGKILL and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.started_by_name[name].process.wait()

    async def stop(self, name: str, limit_s: float) -> int | None:
        """Send SIGTERM; return the exit status or None after ``limit_s``."""
        self.signal(name, signal.SIGTERM)
        process = self.started_by_name[name].process
        deadline = time.monotonic() + limit_s
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(_POLL_S)
        return process.poll()

    def end_all(self, limit_s: float = 3.0) -> list[str]:
        """End every process; return the names that needed SIGKILL."""
        everything = [*self.started_by_name.values(), *self._ended]
        living = [started for started in everything if started.running]
        for started in living:
            started.process.send_signal(signal.SIGCONT)
            started.process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + limit_s
        killed = []
        for started in living:
            try:
                started.process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                killed.append(started.name)
                started.process.kill()
                started.process.wait()
        return killed


def _is_ready(url: str) -> bool:
    try:
        with urllib.request.urlopen(f'{url}/readyz', timeout=1.0) as response:
            return response.status == 200
    except (OSError, urllib.error.URLError):
        return False

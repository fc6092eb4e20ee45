"""An event loop whose time jumps to the next timer."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import contextlib
import selectors
from typing import Any
from unittest import mock

from verbenastream.process import clock

# The time of day at the start of each run, in seconds since 1970.
EPOCH_S = 1_700_000_000.0


class _JumpingSelector(selectors.DefaultSelector):  # type: ignore
    """Never sleeps; tells the loop how far to move its clock."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Return ready files, or move the time to the timeout."""
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs hours of timers in seconds; open sockets are not supported."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now


def run(work: Coroutine[Any, Any, Any]) -> Any:
    """Run ``work`` on virtual time, with the project's clocks following."""
    loop = VirtualLoop()
    with contextlib.closing(loop):
        with (
            mock.patch.object(clock, 'boot_time', loop.time),
            mock.patch.object(
                clock, 'unix_time', lambda: EPOCH_S + loop.time()
            ),
        ):
            try:
                return loop.run_until_complete(work)
            finally:
                _cancel_all(loop)


def _cancel_all(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel what still runs; a task may ignore the first cancellation."""
    while tasks := asyncio.all_tasks(loop):
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))

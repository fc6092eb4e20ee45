"""An event loop on virtual time, which jumps to the next timer."""

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


class _VirtualSelector(selectors.DefaultSelector):  # type: ignore
    """Advances the virtual time by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Return the ready files or advance the time by ``timeout``."""
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs hours of timers in seconds; sockets are not supported."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


def run(work: Coroutine[Any, Any, Any]) -> Any:
    """Run ``work`` with the loop and the project's clocks on virtual time."""
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
    """Cancel all tasks, again if one ignores its first cancellation."""
    while tasks := asyncio.all_tasks(loop):
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))

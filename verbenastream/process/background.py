"""Keeps the background tasks of a process running."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import logbook

LOG = logbook.Logger(__name__)

# Bounds the log of a task that fails at every start.
_RESTART_DELAY_S = 0.2


async def run_forever(name: str, start: Callable[[], Awaitable[None]]) -> None:
    """Run ``start`` until cancelled; run it again after an error.

    Without this, an unexpected error would end the task silently, and the
    process would go on without it::

        task = asyncio.create_task(run_forever('planning', controller.run))
    """
    while True:
        try:
            await start()
        except Exception:
            LOG.exception('background task {} failed, will restart', name)
        await asyncio.sleep(_RESTART_DELAY_S)

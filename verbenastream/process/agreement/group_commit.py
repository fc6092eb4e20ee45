"""Makes queued writes durable on a separate thread."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent import futures
from typing import Protocol

import logbook

from verbenastream.process.agreement import events

LOG = logbook.Logger(__name__)


class WritableStore(Protocol):
    """The part of ``storage.Store`` that ``GroupCommit`` uses."""

    def write(self, writes: list[events.Persist]) -> None:
        """Write and fsync; raises ``WriteFailedError``."""
        ...

    def close(self) -> None:
        """Close the files."""
        ...


class GroupCommit:
    """Writes everything that is queued during one fsync with the next one.

    Writing runs outside the event loop, so that a slow fsync does not delay
    heartbeats.
    """

    def __init__(
        self,
        store: WritableStore,
        on_event: Callable[[events.Event], None],
    ) -> None:
        self._store = store
        self._on_event = on_event
        self._queue: list[events.Persist] = []
        self._executor = futures.ThreadPoolExecutor(
            1, thread_name_prefix='fsync'
        )
        self._task: asyncio.Task[None] | None = None
        self._failed = False

    def submit(self, write: events.Persist) -> None:
        """Queue a write; a ``Persisted`` event follows once it is durable."""
        self._queue.append(write)
        if self._task is None and not self._failed:
            self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while self._queue and not self._failed:
            writes, self._queue = self._queue, []
            try:
                await loop.run_in_executor(
                    self._executor, self._store.write, writes
                )
            except Exception as error:
                # After any error no later write may be acknowledged.
                self._failed = True
                LOG.exception('writing to the data folder failed')
                self._on_event(events.StorageFailed(str(error)))
                break
            self._on_event(events.Persisted(writes[-1].sequence))
        self._task = None

    async def stop(self) -> None:
        """Finish the queued writes and close the store."""
        while self._task is not None:
            await self._task
        self._executor.shutdown()
        self._store.close()

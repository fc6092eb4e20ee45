"""Makes queued writes durable on a thread of its own."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent import futures
from typing import Protocol

import logbook

from verbenastream.process.agreement import events

LOG = logbook.Logger(__name__)


class WritableStore(Protocol):
    """The part of ``storage.Store`` that a group commit needs."""

    def write(self, writes: list[events.Persist]) -> None:
        """Write and sync; raises ``WriteFailedError``."""
        ...

    def close(self) -> None:
        """Close the files."""
        ...


class GroupCommit:
    """Writes everything that was queued during one fsync with the next.

    A slow fsync must not stop heartbeats, so it runs outside the event loop.
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
                # Whatever the reason, nothing later may be acknowledged.
                self._failed = True
                LOG.exception('storage failed')
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

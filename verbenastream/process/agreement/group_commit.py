"""Makes queued writes durable on a separate thread."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent import futures
from typing import Protocol

import logbook

from verbenastream.process.agreement import events

LOG = logbook.Logger(__name__)

_RETRY_INTERVAL_S = 0.25


class WritableStore(Protocol):
    """The part of ``storage.Store`` that ``GroupCommit`` uses."""

    def write(self, writes: list[events.Persist]) -> None:
        """Write and fsync; raises ``WriteFailedError``."""
        ...

    def retry(self) -> None:
        """Complete the writes that failed; raises ``StorageError``."""
        ...

    def close(self) -> None:
        """Close the files."""
        ...


class GroupCommit:
    """Writes everything that is queued during one fsync with the next one.

    Writing runs outside the event loop, so that a slow fsync does not delay
    heartbeats. After a failure the same writes are tried again until the disk
    accepts them.
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
        self._stopping = asyncio.Event()

    def submit(self, write: events.Persist) -> None:
        """Queue a write; a ``Persisted`` event follows once it is durable."""
        self._queue.append(write)
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        try:
            while self._queue:
                writes, self._queue = self._queue, []
                if not await self._write(writes):
                    return
                self._emit(events.Persisted(writes[-1].sequence))
        finally:
            self._task = None

    async def _write(self, writes: list[events.Persist]) -> bool:
        """Make ``writes`` durable; False if stopped before the disk did."""
        failure = await self._attempt(lambda: self._store.write(writes))
        if failure is None:
            return True
        LOG.error('writing to the data folder failed', exc_info=failure)
        self._emit(events.StorageFailed(str(failure)))
        while failure is not None:
            if await self._stops_within(_RETRY_INTERVAL_S):
                return False
            failure = await self._attempt(self._store.retry)
        LOG.notice('the data folder accepts writes again')
        self._emit(events.StorageRecovered())
        return True

    async def _attempt(self, call: Callable[[], None]) -> Exception | None:
        """Run ``call`` outside the event loop and return its error."""
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self._executor, call)
        except Exception as error:
            # After any error no later write may be acknowledged.
            return error
        return None

    async def _stops_within(self, delay_s: float) -> bool:
        try:
            await asyncio.wait_for(self._stopping.wait(), delay_s)
        except asyncio.TimeoutError:
            return False
        return True

    def _emit(self, event: events.Event) -> None:
        try:
            self._on_event(event)
        except Exception:
            # Without this, an error in a consumer would end all writing.
            LOG.exception('handling {!r} failed', event)

    async def stop(self) -> None:
        """Finish the queued writes if the disk works, and close the store."""
        self._stopping.set()
        while self._task is not None:
            await self._task
        self._executor.shutdown()
        self._store.close()

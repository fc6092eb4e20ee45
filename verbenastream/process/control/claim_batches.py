"""Joins the claim calls of many entries into few log records."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

from verbenastream.process.control import errors
from verbenastream.process import state
from verbenastream.request import claims

if TYPE_CHECKING:
    from verbenastream.process.control import log_clock

# One record waits for its fsync while the next ones fill.
_MAX_IN_FLIGHT = 4
_MAX_BATCHES_PER_RECORD = 256
# A record carries answers of up to 64 KiB; several megabytes would delay the
# heartbeats behind it.
_MAX_BYTES_PER_RECORD = 4 * 2**20
_MAX_WAITING = 4_096

Waiting = tuple[claims.ClaimBatch, asyncio.Future[claims.ClaimBatchReply]]
Propose = Callable[[state.Command], Awaitable[state.ClaimsResult]]


class ClaimBatcher:
    """Collects batches while earlier records are being written."""

    def __init__(self, propose: Propose, clock: log_clock.LogClock) -> None:
        self._propose = propose
        self._clock = clock
        self._waiting: collections.deque[Waiting] = collections.deque()
        self._in_flight: set[asyncio.Task[None]] = set()

    async def submit(self, batch: claims.ClaimBatch) -> claims.ClaimBatchReply:
        """Return the reply once the batch is committed.

        Raises ``NotReadyError`` when claims are refused, so that the entry
        answers ``not-run``; the outcomes of the batch were recorded.
        """
        if len(self._waiting) >= _MAX_WAITING:
            raise errors.NotReadyError(
                f'{_MAX_WAITING} claim calls wait already',
                'Answer the callers with not-run.',
            )
        future: asyncio.Future[claims.ClaimBatchReply] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.append((batch, future))
        # Calls that arrive in the same pass of the loop share a record.
        asyncio.get_running_loop().call_soon(self._start)
        return await future

    def _start(self) -> None:
        if self._waiting and len(self._in_flight) < _MAX_IN_FLIGHT:
            task = asyncio.create_task(self._run(self._take()))
            self._in_flight.add(task)
            task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._in_flight.discard(task)
        self._start()

    def _take(self) -> list[Waiting]:
        taken: list[Waiting] = []
        size = 0
        while self._waiting and len(taken) < _MAX_BATCHES_PER_RECORD:
            size += _body_bytes(self._waiting[0][0])
            if taken and size > _MAX_BYTES_PER_RECORD:
                break
            taken.append(self._waiting.popleft())
        return taken

    async def _run(self, taken: list[Waiting]) -> None:
        command = state.ApplyClaims(
            tuple(batch for batch, _ in taken), self._clock.now()
        )
        try:
            result = await self._propose(command)
        except Exception as error:
            for _, future in taken:
                _fail(future, error)
            return
        for (_, future), reply in zip(taken, result.replies, strict=True):
            if reply is None:
                _fail(future, _refused())
            elif not future.done():
                future.set_result(reply)


def _refused() -> errors.NotReadyError:
    return errors.NotReadyError(
        'claims are refused: the entry holds no lease or the table is full',
        'Answer the callers with not-run.',
    )


def _fail(
    future: asyncio.Future[claims.ClaimBatchReply], error: Exception
) -> None:
    if not future.done():
        future.set_exception(error)


def _body_bytes(batch: claims.ClaimBatch) -> int:
    return sum(
        len(outcome.answer.body)
        for outcome in batch.outcomes
        if outcome.answer is not None and outcome.answer.body is not None
    )

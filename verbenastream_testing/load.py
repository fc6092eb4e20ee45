"""Open-loop load: requests leave at their planned time, whatever returns.

Latency counts from the planned time, so a slow system cannot hide its delay
by slowing the callers down (coordinated omission).
"""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

import aiohttp

from verbenastream_testing import attempts
from verbenastream_testing import caller_ledger
from verbenastream_testing import latency

if TYPE_CHECKING:
    from collections.abc import Iterable

    from verbenastream_testing import balancer

_Told = caller_ledger.Told
_IN_PROGRESS_WAIT_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """One piece of work; ``at_s`` counts from the start of the run.

    ``repeats`` is how often the caller asks again, through another entry,
    while the outcome is open or the work did not run.
    """

    name: str
    at_s: float
    service: str
    operation: str
    customer: str
    caller_key: str
    run_ms: float
    idempotent: bool = True
    key: str | None = None
    body: bytes = b''
    repeats: int = 0
    method: str = 'POST'


class LoadRun:
    """Sends planned work and records every attempt.

    ::

        run = load.LoadRun(ledger, balancer)
        await run.run(plan)
        verdict.judge(ledger, runs)
    """

    def __init__(
        self,
        ledger: caller_ledger.CallerLedger,
        entries: balancer.Balancer,
        timeout_s: float = 30.0,
    ) -> None:
        self.ledger = ledger
        self.latency_by_operation: dict[str, latency.Histogram] = {}
        # Late departures of the tool itself, to tell its delay from the
        # system's.
        self.lateness = latency.Histogram()
        self._entries = entries
        self._timeout_s = timeout_s

    async def run(
        self, plan: Iterable[Work], session: aiohttp.ClientSession
    ) -> None:
        """Return when every attempt has an outcome or its time is over."""
        started = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for work in sorted(plan, key=lambda work: work.at_s):
                planned = started + work.at_s
                wait = planned - time.monotonic()
                if wait > 0:
                    await asyncio.sleep(wait)
                self.lateness.record(time.monotonic() - planned)
                tasks.create_task(self._complete(work, planned, session))

    async def _complete(
        self, work: Work, planned: float, session: aiohttp.ClientSession
    ) -> None:
        tried: frozenset[str] = frozenset()
        for number in range(work.repeats + 1):
            entry = self._entries.pick(tried) or self._entries.pick()
            answer = await self._attempt(work, number, planned, entry, session)
            if not _asks_again(answer, work):
                break
            if entry is not None:
                tried = frozenset({entry})
            await asyncio.sleep(_IN_PROGRESS_WAIT_S)
        histogram = self.latency_by_operation.setdefault(
            work.operation, latency.Histogram()
        )
        if answer.told is _Told.RAN:
            histogram.record(time.monotonic() - planned)

    async def _attempt(
        self,
        work: Work,
        number: int,
        planned: float,
        entry: str | None,
        session: aiohttp.ClientSession,
    ) -> caller_ledger.Answer:
        tag = f'{work.name}.{number}'
        self.ledger.add(
            caller_ledger.Sent(
                tag,
                work.name,
                planned,
                entry or '',
                work.service,
                work.operation,
                work.customer,
                work.idempotent,
                work.key,
            )
        )
        if entry is None:
            answer = caller_ledger.Answer(
                tag, _Told.NOT_SENT, None, 0.0, error='no entry is ready'
            )
        else:
            answer = await attempts.send(
                session,
                self._entries.urls_by_entry[entry],
                work,
                tag,
                planned,
                self._timeout_s,
            )
        self.ledger.add(answer)
        return answer


def _asks_again(answer: caller_ledger.Answer, work: Work) -> bool:
    if answer.told in (_Told.NOT_RUN, _Told.NOT_SENT):
        return True
    if answer.told is _Told.RAN:
        return False
    if answer.status == 409 and answer.retry_after_s is None:
        # The outcome of this key will stay unknown.
        return False
    return work.key is not None or work.idempotent

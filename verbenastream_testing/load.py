"""Open-loop load: requests are sent at their planned times.

Latency is measured from the planned time, so a slow system cannot hide its
delay by slowing the callers down (coordinated omission).
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

    from verbenastream_testing import balancer as balancers

_Outcome = caller_ledger.AttemptOutcome
_REPEAT_DELAY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A planned request; ``at_s`` is relative to the start of the run.

    ``repeats`` is how often the caller repeats it at another entry while the
    outcome is unknown or the work did not run.
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
    """Sends planned requests and records every attempt.

    ::

        run = load.LoadRun(ledger, balancer)
        await run.run(plan, session)
        verdict.evaluate(ledger, runs)
    """

    def __init__(
        self,
        ledger: caller_ledger.CallerLedger,
        balancer: balancers.Balancer,
        timeout_s: float = 30.0,
    ) -> None:
        self.ledger = ledger
        self.latency_by_operation: dict[str, latency.Histogram] = {}
        # How late requests are sent, which separates the delay of the load
        # generator from that of the system.
        self.send_delay = latency.Histogram()
        self._balancer = balancer
        self._timeout_s = timeout_s

    async def run(
        self, plan: Iterable[Work], session: aiohttp.ClientSession
    ) -> None:
        """Send all requests; return once each has an outcome or timed out."""
        started = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for work in sorted(plan, key=lambda work: work.at_s):
                planned_at = started + work.at_s
                wait = planned_at - time.monotonic()
                if wait > 0:
                    await asyncio.sleep(wait)
                self.send_delay.record(time.monotonic() - planned_at)
                tasks.create_task(
                    self._send_with_repeats(work, planned_at, session)
                )

    async def _send_with_repeats(
        self, work: Work, planned_at: float, session: aiohttp.ClientSession
    ) -> None:
        excluded: frozenset[str] = frozenset()
        for number in range(work.repeats + 1):
            entry = self._balancer.pick(excluded) or self._balancer.pick()
            answer = await self._attempt(
                work, number, planned_at, entry, session
            )
            if not _should_repeat(answer, work):
                break
            if entry is not None:
                excluded = frozenset({entry})
            await asyncio.sleep(_REPEAT_DELAY_S)
        histogram = self.latency_by_operation.setdefault(
            work.operation, latency.Histogram()
        )
        if answer.outcome is _Outcome.RAN:
            histogram.record(time.monotonic() - planned_at)

    async def _attempt(
        self,
        work: Work,
        number: int,
        planned_at: float,
        entry: str | None,
        session: aiohttp.ClientSession,
    ) -> caller_ledger.Answer:
        tag = f'{work.name}.{number}'
        self.ledger.add(
            caller_ledger.Sent(
                tag,
                work.name,
                planned_at,
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
                tag, _Outcome.NOT_SENT, None, 0.0, error='no entry is ready'
            )
        else:
            answer = await attempts.send(
                session,
                self._balancer.urls_by_entry[entry],
                work,
                tag,
                planned_at,
                self._timeout_s,
            )
        self.ledger.add(answer)
        return answer


def _should_repeat(answer: caller_ledger.Answer, work: Work) -> bool:
    if answer.outcome in (_Outcome.NOT_RUN, _Outcome.NOT_SENT):
        return True
    if answer.outcome is _Outcome.RAN:
        return False
    if answer.status == 409 and answer.retry_after_s is None:
        # The outcome of this key will never be known.
        return False
    return work.key is not None or work.idempotent

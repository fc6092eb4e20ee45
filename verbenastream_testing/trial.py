"""A small deployment of real processes under load, for scenarios."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import Any
from typing import TYPE_CHECKING

from verbenastream_testing import caller_ledger
from verbenastream_testing import cluster as clusters
from verbenastream_testing import deployment
from verbenastream_testing import load
from verbenastream_testing import operator_client
from verbenastream_testing import samples
from verbenastream_testing import verdict
from verbenastream_testing import world as worlds

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from verbenastream.process import settings

SAMPLE = dataclasses.replace(
    samples.MEXICO,
    services=('tariff-coding', 'accounts-support'),
    workers_per_rack=1,
)
_REPEATS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Open-loop load.

    ``keyed_share`` of the work has a key and so runs at most once.
    """

    requests: int
    per_s: float
    keyed_share: float = 0.5
    run_ms: float = 30.0
    body_bytes: int = 200
    method: str = 'POST'


class Trial:
    """A deployment with documents in force and load in the background."""

    def __init__(self, world: worlds.World, seed: int) -> None:
        self._world = world
        self._rng = random.Random(seed)
        self._loads: list[asyncio.Task[None]] = []
        self._work_count = 0
        self.cluster: clusters.Cluster
        self.operator: operator_client.OperatorClient
        self.ledger = caller_ledger.CallerLedger()
        self.revisions_by_service: dict[str, int] = {}

    async def start(
        self,
        size: deployment.Size,
        proxied: bool = False,
        entry_timings: settings.EntryTimings | None = None,
        sample: samples.Fleet = SAMPLE,
        instances: int = 2,
    ) -> None:
        """Start all processes and put the first documents in force."""
        layout = deployment.LoopbackDeployment.from_config(
            sample,
            size,
            self._world.folder,
            entry_timings=entry_timings,
            proxied=proxied,
        )
        session = await self._world.session()
        self.cluster = clusters.Cluster(layout, self._world.processes, session)
        self.operator = operator_client.OperatorClient(layout, session)
        self._world.on_close(self._end)
        await self.cluster.start()
        for service in sample.services:
            await self.submit(service, instances=instances)
        await self.cluster.wait_entries()
        for service in sample.services:
            await self.wait_in_force(service)
        await self.cluster.wait_assigned(
            min(size.targets, instances * len(sample.services))
        )
        # Slots are granted once this load is answered, so no scenario
        # depends on how long the first grants take.
        await self.run_load(Load(4, 20.0))

    async def submit(self, service: str, **changes: Any) -> Any:
        """Submit a changed document based on the current revision."""
        base = self.revisions_by_service.get(service, 0)
        document = samples.document(
            self.cluster.layout.sample, service, **changes
        )
        status, answer = await self.operator.submit(document, base)
        assert status == 200, (status, answer)
        self.revisions_by_service[service] = answer['revision']
        return answer

    async def submit_without(self, service: str, operation: str) -> Any:
        """Submit the document of a service without one of its operations."""
        document = samples.document(
            self.cluster.layout.sample, service, instances=2
        )
        operations = dict(document.operations)
        del operations[operation]
        return await self.submit(service, instances=2, operations=operations)

    async def wait_in_force(self, service: str) -> None:
        revision = self.revisions_by_service[service]

        async def in_force() -> bool:
            status = await self.operator.in_force(service)
            return status is not None and status.in_force_revision >= revision

        await worlds.until(f'{service} revision {revision} in force', in_force)

    def start_load(self, parameters: Load) -> None:
        """Send work in the background until ``finish_load``."""
        self._loads.append(asyncio.ensure_future(self.run_load(parameters)))

    async def run_load(self, parameters: Load) -> None:
        run = load.LoadRun(self.ledger, self.cluster.balancer)
        await run.run(self._plan(parameters), await self._world.session())

    async def finish_load(self) -> verdict.Verdict:
        """Wait for the callers and the targets; return the verdict."""
        await asyncio.gather(*self._loads)
        self._loads.clear()
        await self.cluster.wait_idle()
        return verdict.evaluate(self.ledger, self.cluster.runs())

    async def wait_answered(self, count: int) -> None:
        """Wait until the callers have received ``count`` answers."""

        async def enough() -> bool:
            return len(self.ledger.answers_by_tag) >= count

        await worlds.until(f'{count} answers', enough)

    def unanswered(self) -> list[str]:
        """Return the work whose last attempt was not answered as run."""
        outcome_by_work = {}
        for tag, sent in self.ledger.sent_by_tag.items():
            answer = self.ledger.answers_by_tag.get(tag)
            outcome_by_work[sent.work] = answer and answer.outcome
        return [
            work
            for work, outcome in outcome_by_work.items()
            if outcome is not caller_ledger.AttemptOutcome.RAN
        ]

    def describe(self, works: list[str]) -> str:
        """Return one line per attempt of ``works`` with its answer."""
        lines = []
        for tag, sent in self.ledger.sent_by_tag.items():
            if sent.work in works:
                answer = self.ledger.answers_by_tag.get(tag)
                lines.append(f'{sent.entry} key={sent.key}: {answer}')
        return '\n'.join(lines)

    async def until(
        self, what: str, condition: Callable[[], Awaitable[Any]]
    ) -> Any:
        return await worlds.until(what, condition)

    def _plan(self, parameters: Load) -> list[load.Work]:
        sample = self.cluster.layout.sample
        plan = []
        for number in range(parameters.requests):
            self._work_count += 1
            name = f'work-{self._work_count}'
            keyed = self._rng.random() < parameters.keyed_share
            customer = self._rng.choice(sample.customers)
            operation = sample.short_operation
            if keyed and parameters.method == 'POST':
                operation = sample.billed_operation
            plan.append(
                load.Work(
                    name=name,
                    at_s=number / parameters.per_s,
                    service=self._rng.choice(sample.services),
                    operation=operation,
                    customer=customer,
                    caller_key=samples.caller_key(customer),
                    run_ms=parameters.run_ms,
                    idempotent=not keyed,
                    key=name if keyed else None,
                    body=self._rng.randbytes(parameters.body_bytes),
                    repeats=_REPEATS,
                    method=parameters.method,
                )
            )
        return plan

    async def _end(self) -> None:
        for task in self._loads:
            task.cancel()
        await asyncio.gather(*self._loads, return_exceptions=True)
        await self.cluster.stop()

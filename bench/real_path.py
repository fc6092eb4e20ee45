"""Benchmarks of documents and keyed requests with faults, real processes."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from bench import rows
from verbenastream.process import settings
from verbenastream_testing import cluster as clusters
from verbenastream_testing import deployment
from verbenastream_testing import disturber
from verbenastream_testing import faults
from verbenastream_testing import latency
from verbenastream_testing import operator_client
from verbenastream_testing import samples
from verbenastream_testing import trial
from verbenastream_testing import world

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_COMMAND = 'python -m bench.run bench.real_path'
_SERVICE = samples.MEXICO.services[0]
_HEALTHY_ROUNDS = 200
_FAULT_ROUNDS = 20
_KEYED_REQUESTS = 10_000
_KEYED_RATE_PER_S = 150.0


class _DocumentDeployment:
    """Deploys 12 entries and 3 control processes behind fault proxies."""

    def __init__(self, environment: world.World, rng: random.Random) -> None:
        self._environment = environment
        self._rng = rng
        self._revision = 0
        self.cluster: clusters.Cluster
        self.operator: operator_client.OperatorClient

    async def start(self) -> None:
        layout = deployment.LoopbackDeployment.from_config(
            samples.MEXICO,
            deployment.Size(controls=3, entries=12, targets=0),
            self._environment.folder,
            proxied=True,
        )
        session = await self._environment.session()
        self.cluster = clusters.Cluster(
            layout, self._environment.processes, session
        )
        self._environment.on_close(self.cluster.stop)
        self.operator = operator_client.OperatorClient(layout, session)
        await self.cluster.start()
        await self.submit()
        await self.cluster.wait_entries()

    async def submit(self) -> float:
        """Submit a document; return the seconds until it is in force."""
        document = samples.document(
            samples.MEXICO,
            _SERVICE,
            headroom=0.001 * (self._revision % 100),
        )
        started_at = time.monotonic()
        status, reply = await self.operator.submit(document, self._revision)
        if status != 200:
            raise RuntimeError(f'not accepted: {status} {reply}')
        self._revision = reply['revision']

        async def in_force() -> bool:
            entry_status = await self.operator.in_force(_SERVICE)
            return entry_status is not None and (
                entry_status.in_force_revision >= self._revision
            )

        await world.until('in force', in_force, 60.0)
        return time.monotonic() - started_at

    async def submit_under_faults(self) -> float:
        """Kill a control process, cut a link and submit a document.

        Return the seconds until the document is in force.
        """
        controls = list(self.cluster.layout.controls_by_id)
        entries = list(self.cluster.layout.entries_by_id)
        killed_control = self._rng.choice(controls)
        remaining_controls = [
            name for name in controls if name != killed_control
        ]
        # Cutting the link between the two remaining control processes would
        # leave no majority, and no document could be accepted.
        source = faults.Party(self._rng.choice(entries))
        destination = faults.Party(self._rng.choice(remaining_controls))
        self.cluster.links.set(source, destination, faults.SILENT)
        self.cluster.kill(killed_control)
        in_force_s = await self.submit()
        self.cluster.links.heal()
        self.cluster.start_control(killed_control)
        await self.cluster.processes.wait_ready([killed_control], 30.0)
        await self.submit()
        return in_force_s


async def _measure_documents(
    environment: world.World, seed: int
) -> list[rows.Row]:
    deployed = _DocumentDeployment(environment, random.Random(seed))
    await deployed.start()
    healthy = latency.Histogram()
    for _ in range(_HEALTHY_ROUNDS):
        healthy.record(await deployed.submit())
    faulty = latency.Histogram()
    for _ in range(_FAULT_ROUNDS):
        faulty.record(await deployed.submit_under_faults())
    return [
        _row(
            'document in force, 12 entries, 3 control: p99 calm',
            healthy.quantile_s(0.99),
            's',
            1.0,
            seed,
        ),
        _row(
            'same, a control killed and a link cut: p99 of 20',
            faulty.quantile_s(0.99),
            's',
            3.0,
            seed,
        ),
    ]


async def _measure_keyed_requests(
    environment: world.World, seed: int
) -> list[rows.Row]:
    trial_run = trial.Trial(environment, seed)
    await trial_run.start(
        deployment.Size(controls=3, entries=4, targets=6),
        proxied=True,
        entry_timings=settings.EntryTimings(balancer_interval_s=1.0),
    )
    load_finished = asyncio.Event()
    fault_injector = disturber.FaultInjector(
        trial_run.cluster, random.Random(seed)
    )
    fault_task = asyncio.ensure_future(fault_injector.run(load_finished))
    await trial_run.run_load(
        trial.Load(_KEYED_REQUESTS, _KEYED_RATE_PER_S, 1.0, run_ms=20.0)
    )
    load_finished.set()
    await fault_task
    result = await trial_run.finish_load()
    unanswered_count = len(trial_run.unanswered())
    print(
        f'-- keyed: {fault_injector.kills} kills, {result.sent} attempts, '
        f'{result.answered} answered, {result.not_run} not-run, '
        f'{result.unknown} unknown, {result.not_sent} not sent; '
        f'{unanswered_count} of {_KEYED_REQUESTS} requests unanswered'
    )
    name = '10,000 keyed requests under faults: '
    return [
        _row(name + label, float(len(tags)), 'requests', 0.0, seed)
        for label, tags in (
            ('lost', result.lost),
            ('run twice', result.run_twice),
            ('false not-run', result.false_not_run),
            ('mixed up', result.mixed_up),
            ('above 8 slots', result.overrun),
        )
    ]


def _row(
    name: str, value: float, unit: str, target: float, seed: int
) -> rows.Row:
    return rows.Row(
        name, value, unit, None, target, rows.Bound.AT_MOST, seed, _COMMAND
    )


def _run_measurement(
    measurement: Callable[[world.World, int], Awaitable[list[rows.Row]]],
    seed: int,
) -> list[rows.Row]:
    environment = world.World()

    async def run() -> list[rows.Row]:
        return await measurement(environment, seed)

    try:
        return environment.run(run())
    finally:
        environment.close()


def run(seed: int) -> list[rows.Row]:
    """Measure documents, then keyed requests."""
    return [
        *_run_measurement(_measure_documents, seed),
        *_run_measurement(_measure_keyed_requests, seed),
    ]

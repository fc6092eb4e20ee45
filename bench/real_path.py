"""Documents in force and keyed requests under faults on real processes."""

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
_CALM_ROUNDS = 200
_FAULT_ROUNDS = 20
_KEYED = 10_000
_KEYED_PER_S = 150.0


class _InForce:
    """12 entries and 3 control processes behind fault proxies."""

    def __init__(self, place: world.World, rng: random.Random) -> None:
        self._place = place
        self._rng = rng
        self._revision = 0
        self.cluster: clusters.Cluster
        self.operator: operator_client.OperatorClient

    async def start(self) -> None:
        layout = deployment.LoopbackDeployment.from_config(
            samples.MEXICO,
            deployment.Size(controls=3, entries=12, targets=0),
            self._place.folder,
            proxied=True,
        )
        session = await self._place.session()
        self.cluster = clusters.Cluster(layout, self._place.processes, session)
        self._place.on_close(self.cluster.stop)
        self.operator = operator_client.OperatorClient(layout, session)
        await self.cluster.start()
        await self.submit()
        await self.cluster.wait_entries()

    async def submit(self) -> float:
        """Return seconds from the submission until it is in force."""
        document = samples.document(
            samples.MEXICO,
            _SERVICE,
            headroom=0.001 * (self._revision % 100),
        )
        started = time.monotonic()
        status, answer = await self.operator.submit(document, self._revision)
        if status != 200:
            raise RuntimeError(f'not accepted: {status} {answer}')
        self._revision = answer['revision']

        async def in_force() -> bool:
            found = await self.operator.in_force(_SERVICE)
            return found is not None and (
                found.in_force_revision >= self._revision
            )

        await world.until('in force', in_force, 60.0)
        return time.monotonic() - started

    async def disturb(self) -> float:
        """Kill a control process and cut a link, then submit."""
        controls = list(self.cluster.layout.controls_by_id)
        entries = list(self.cluster.layout.entries_by_id)
        killed = self._rng.choice(controls)
        others = [name for name in controls if name != killed]
        # A cut between the two control processes that are left would take
        # the majority away, and nothing could be accepted.
        source = faults.Party(self._rng.choice(entries))
        destination = faults.Party(self._rng.choice(others))
        self.cluster.links.set(source, destination, faults.SILENT)
        self.cluster.kill(killed)
        seconds = await self.submit()
        self.cluster.links.heal()
        self.cluster.start_control(killed)
        await self.cluster.processes.wait_ready([killed], 30.0)
        await self.submit()
        return seconds


async def _in_force(place: world.World, seed: int) -> list[rows.Row]:
    measured = _InForce(place, random.Random(seed))
    await measured.start()
    calm = latency.Histogram()
    for _ in range(_CALM_ROUNDS):
        calm.record(await measured.submit())
    disturbed = latency.Histogram()
    for _ in range(_FAULT_ROUNDS):
        disturbed.record(await measured.disturb())
    return [
        _row(
            'document in force, 12 entries, 3 control: p99 calm',
            calm.quantile_s(0.99),
            's',
            1.0,
            seed,
        ),
        _row(
            'same, a control killed and a link cut: p99 of 20',
            disturbed.quantile_s(0.99),
            's',
            3.0,
            seed,
        ),
    ]


async def _keyed(place: world.World, seed: int) -> list[rows.Row]:
    subject = trial.Trial(place, seed)
    await subject.start(
        deployment.Size(controls=3, entries=4, targets=6),
        proxied=True,
        entry_timings=settings.EntryTimings(balancer_interval_s=1.0),
    )
    done = asyncio.Event()
    disturbances = disturber.FaultInjector(
        subject.cluster, random.Random(seed)
    )
    disturbing = asyncio.ensure_future(disturbances.run(done))
    await subject.run_load(trial.Load(_KEYED, _KEYED_PER_S, 1.0, run_ms=20.0))
    done.set()
    await disturbing
    found = await subject.finish_load()
    unanswered = len(subject.unanswered())
    print(
        f'-- keyed: {disturbances.kills} kills, {found.sent} attempts, '
        f'{found.answered} answered, {found.not_run} not-run, '
        f'{found.unknown} unknown, {found.not_sent} not sent; '
        f'{unanswered} of {_KEYED} works without an answer at the end'
    )
    name = '10,000 keyed requests under faults: '
    return [
        _row(name + label, float(len(tags)), 'requests', 0.0, seed)
        for label, tags in (
            ('lost', found.lost),
            ('run twice', found.run_twice),
            ('false not-run', found.false_not_run),
            ('mixed up', found.mixed_up),
            ('above 8 slots', found.overrun),
        )
    ]


def _row(
    name: str, value: float, unit: str, target: float, seed: int
) -> rows.Row:
    return rows.Row(
        name, value, unit, None, target, rows.Bound.AT_MOST, seed, _COMMAND
    )


def _measure(
    part: Callable[[world.World, int], Awaitable[list[rows.Row]]], seed: int
) -> list[rows.Row]:
    place = world.World()

    async def run() -> list[rows.Row]:
        return await part(place, seed)

    try:
        return place.run(run())
    finally:
        place.close()


def run(seed: int) -> list[rows.Row]:
    """Return the figures on documents and on keyed requests."""
    return [*_measure(_in_force, seed), *_measure(_keyed, seed)]

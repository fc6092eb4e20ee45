"""Cost of control on real processes against the number of instances.

Twelve entries and three control processes run without callers while a
stand-in announces a fleet once per second. Processor time comes from the
kernel, bytes from the processes' own counters.
"""

from __future__ import annotations

import asyncio
import dataclasses
import os
import pathlib
import statistics
import sys
import tempfile
import time

import aiohttp
import msgspec

from bench import rows
from verbenastream_testing import cluster as clusters
from verbenastream_testing import deployment
from verbenastream_testing import operator_client
from verbenastream_testing import samples
from verbenastream_testing import supervisor

_MODULE = 'bench.control_cost'
_SAMPLE = samples.MEXICO
_SIZES = (60, 120, 240)
_ENTRIES = 12
_SETTLE_S = 12.0
_MEASURE_S = 15.0
_CORE_SHARE = 0.011
_MEMORY_MB = 128.0
_BYTES_PER_S = 16_384.0


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What one process used: seconds, bytes and megabytes."""

    processor_s: float
    traffic_bytes: float
    memory_mb: float


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Median cost of one process of a role per second."""

    core_share: float
    bytes_per_s: float
    memory_mb: float


def _processor_s(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')


def _memory_mb(pid: int) -> float:
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    return 0.0


async def _traffic(session: aiohttp.ClientSession, url: str) -> float:
    async with session.get(f'{url}/metrics') as answer:
        text = await answer.text()
    return sum(
        float(line.rsplit(' ', 1)[1])
        for line in text.splitlines()
        if line.startswith('verbenastream_peer_bytes_total')
    )


class _Measurement:
    """One fleet size on a deployment of its own."""

    def __init__(
        self, cluster: clusters.Cluster, session: aiohttp.ClientSession
    ) -> None:
        self._cluster = cluster
        self._session = session
        layout = cluster.layout
        self._urls_by_name = {
            name: layout.control_url(name) for name in layout.controls_by_id
        }
        for name in layout.entries_by_id:
            self._urls_by_name[name] = layout.caller_url(name)

    async def usage(self) -> dict[str, Usage]:
        found = {}
        for name, url in self._urls_by_name.items():
            pid = self._cluster.processes.processes_by_name[name].pid
            found[name] = Usage(
                _processor_s(pid),
                await _traffic(self._session, url),
                _memory_mb(pid),
            )
        return found

    async def costs(self) -> dict[str, Cost]:
        """Return the median cost by role."""
        before = await self.usage()
        started = time.monotonic()
        await asyncio.sleep(_MEASURE_S)
        after = await self.usage()
        elapsed = time.monotonic() - started
        by_role: dict[str, list[Cost]] = {}
        for name, last in after.items():
            first = before[name]
            by_role.setdefault(name.split('-')[0], []).append(
                Cost(
                    (last.processor_s - first.processor_s) / elapsed,
                    (last.traffic_bytes - first.traffic_bytes) / elapsed,
                    last.memory_mb,
                )
            )
        # The control leader does the work of its role; the median of three
        # replicas would show a follower.
        leader = max(by_role['control'], key=lambda cost: cost.core_share)
        return {
            'entry': _median(by_role['entry']),
            'control leader': leader,
            'control follower': _median(
                [cost for cost in by_role['control'] if cost is not leader]
            ),
        }


def _median(costs: list[Cost]) -> Cost:
    return Cost(
        statistics.median(cost.core_share for cost in costs),
        statistics.median(cost.bytes_per_s for cost in costs),
        statistics.median(cost.memory_mb for cost in costs),
    )


async def _measure(count: int) -> dict[str, Cost]:
    with tempfile.TemporaryDirectory(prefix='verbenastream-') as name:
        folder = pathlib.Path(name)
        layout = deployment.LoopbackDeployment.from_config(
            _SAMPLE, deployment.Size(3, _ENTRIES, 1), folder
        )
        with supervisor.Supervisor(folder / 'logs') as processes:
            async with aiohttp.ClientSession() as session:
                cluster = clusters.Cluster(layout, processes, session)
                return await _run(cluster, session, count)


async def _run(
    cluster: clusters.Cluster, session: aiohttp.ClientSession, count: int
) -> dict[str, Cost]:
    layout = cluster.layout
    layout.write()
    for name in layout.controls_by_id:
        cluster.start_control(name)
    for name in layout.entries_by_id:
        cluster.start_entry(name)
    await cluster.processes.wait_ready(list(layout.controls_by_id), 30.0)
    base = msgspec.structs.replace(
        layout.targets_by_id['worker-1'], announce_interval_s=1.0
    )
    path = layout.folder / 'fleet.json'
    path.write_bytes(msgspec.json.encode(base))
    cluster.processes.start(
        'fleet',
        'verbenastream_testing.announcer_fleet',
        ['--settings', str(path), '--count', str(count)],
        '',
    )
    operator = operator_client.OperatorClient(layout, session)
    per_pool = count // len(_SAMPLE.services)
    for service in _SAMPLE.services:
        document = samples.document(_SAMPLE, service, int(per_pool * 0.8))
        await operator.submit(document, 0)
    await cluster.wait_entries(limit_s=30.0)
    await asyncio.sleep(_SETTLE_S)
    return await _Measurement(cluster, session).costs()


def _rows(costs: dict[int, dict[str, Cost]], seed: int) -> list[rows.Row]:
    found = []

    def add(name: str, value: float, unit: str, target: float | None) -> None:
        found.append(
            rows.at_most(_MODULE, seed, name, value, unit, target=target)
        )

    for count, by_role in costs.items():
        for role, cost in by_role.items():
            where = f'{role}, {count} instances'
            add(f'{where}: processor', cost.core_share, 'core', _CORE_SHARE)
            add(f'{where}: traffic', cost.bytes_per_s, 'B/s', _BYTES_PER_S)
            add(f'{where}: memory', cost.memory_mb, 'MB', _MEMORY_MB)
    first, last = min(costs), max(costs)
    for role in costs[first]:
        low, high = costs[first][role], costs[last][role]
        span = last - first
        add(
            f'{role}: processor per instance',
            (high.core_share - low.core_share) / span * 1e6,
            'us/s',
            None,
        )
        add(
            f'{role}: traffic per instance',
            (high.bytes_per_s - low.bytes_per_s) / span,
            'B/s',
            None,
        )
        add(
            f'{role}: memory per instance',
            (high.memory_mb - low.memory_mb) / span * 1024,
            'KB',
            None,
        )
    return found


def run(seed: int) -> list[rows.Row]:
    """Return the cost of each role at three fleet sizes and its slopes."""
    costs = {}
    for count in _SIZES:
        print(f'-- {count} instances', file=sys.stderr)
        costs[count] = asyncio.run(_measure(count))
    return _rows(costs, seed)

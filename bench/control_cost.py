"""Cost of real control and entry processes by the number of instances.

Twelve entries and three control processes run without callers while a fake
fleet announces its instances once per second. Processor time comes from the
kernel, bytes from the counters of the processes.
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
_FLEET_SIZES = (60, 120, 240)
_ENTRIES = 12
_WARM_UP_S = 12.0
_MEASURED_S = 15.0
_CORE_SHARE_TARGET = 0.011
_MEMORY_TARGET_MB = 128.0
_TRAFFIC_TARGET_BYTES_PER_S = 16_384.0


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Processor time and bytes since a process started, and its memory."""

    processor_s: float
    traffic_bytes: float
    memory_mb: float


@dataclasses.dataclass(frozen=True, slots=True)
class RoleCost:
    """Cost of one process of a role."""

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


async def _peer_traffic_bytes(
    session: aiohttp.ClientSession, url: str
) -> float:
    async with session.get(f'{url}/metrics') as answer:
        text = await answer.text()
    return sum(
        float(line.rsplit(' ', 1)[1])
        for line in text.splitlines()
        if line.startswith('verbenastream_peer_bytes_total')
    )


class _Measurement:
    """Measures the processes of a running deployment."""

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

    async def usage_by_name(self) -> dict[str, ProcessUsage]:
        usage_by_name = {}
        for name, url in self._urls_by_name.items():
            pid = self._cluster.processes.processes_by_name[name].pid
            usage_by_name[name] = ProcessUsage(
                _processor_s(pid),
                await _peer_traffic_bytes(self._session, url),
                _memory_mb(pid),
            )
        return usage_by_name

    async def cost_by_role(self) -> dict[str, RoleCost]:
        """Return the cost by role, with the control leader on its own."""
        usage_before = await self.usage_by_name()
        started_at = time.monotonic()
        await asyncio.sleep(_MEASURED_S)
        usage_after = await self.usage_by_name()
        elapsed_s = time.monotonic() - started_at
        costs_by_role: dict[str, list[RoleCost]] = {}
        for name, last in usage_after.items():
            first = usage_before[name]
            costs_by_role.setdefault(name.split('-')[0], []).append(
                RoleCost(
                    (last.processor_s - first.processor_s) / elapsed_s,
                    (last.traffic_bytes - first.traffic_bytes) / elapsed_s,
                    last.memory_mb,
                )
            )
        # The leader does most of the work of the control role. It is reported
        # separately, as the median of three replicas would be a follower.
        leader = max(
            costs_by_role['control'], key=lambda cost: cost.core_share
        )
        return {
            'entry': _median_cost(costs_by_role['entry']),
            'control leader': leader,
            'control follower': _median_cost(
                [
                    cost
                    for cost in costs_by_role['control']
                    if cost is not leader
                ]
            ),
        }


def _median_cost(costs: list[RoleCost]) -> RoleCost:
    return RoleCost(
        statistics.median(cost.core_share for cost in costs),
        statistics.median(cost.bytes_per_s for cost in costs),
        statistics.median(cost.memory_mb for cost in costs),
    )


async def _measure(count: int) -> dict[str, RoleCost]:
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
) -> dict[str, RoleCost]:
    layout = cluster.layout
    layout.write()
    for name in layout.controls_by_id:
        cluster.start_control(name)
    for name in layout.entries_by_id:
        cluster.start_entry(name)
    await cluster.processes.wait_ready(list(layout.controls_by_id), 30.0)
    target_settings = msgspec.structs.replace(
        layout.targets_by_id['worker-1'], announce_interval_s=1.0
    )
    path = layout.folder / 'fleet.json'
    path.write_bytes(msgspec.json.encode(target_settings))
    cluster.processes.start(
        'fleet',
        'verbenastream_testing.announcer_fleet',
        ['--settings', str(path), '--count', str(count)],
        '',
    )
    operator = operator_client.OperatorClient(layout, session)
    instances_per_pool = count // len(_SAMPLE.services)
    for service in _SAMPLE.services:
        document = samples.document(
            _SAMPLE, service, int(instances_per_pool * 0.8)
        )
        await operator.submit(document, 0)
    await cluster.wait_entries(limit_s=30.0)
    await asyncio.sleep(_WARM_UP_S)
    return await _Measurement(cluster, session).cost_by_role()


def _rows(
    costs_by_size: dict[int, dict[str, RoleCost]], seed: int
) -> list[rows.Row]:
    result = []

    def add(name: str, value: float, unit: str, target: float | None) -> None:
        result.append(
            rows.at_most(_MODULE, seed, name, value, unit, target=target)
        )

    for count, cost_by_role in costs_by_size.items():
        for role, cost in cost_by_role.items():
            label = f'{role}, {count} instances'
            add(
                f'{label}: processor',
                cost.core_share,
                'core',
                _CORE_SHARE_TARGET,
            )
            add(
                f'{label}: traffic',
                cost.bytes_per_s,
                'B/s',
                _TRAFFIC_TARGET_BYTES_PER_S,
            )
            add(f'{label}: memory', cost.memory_mb, 'MB', _MEMORY_TARGET_MB)
    smallest, largest = min(costs_by_size), max(costs_by_size)
    for role in costs_by_size[smallest]:
        cost_smallest, cost_largest = (
            costs_by_size[smallest][role],
            costs_by_size[largest][role],
        )
        added_instances = largest - smallest
        add(
            f'{role}: processor per instance',
            (cost_largest.core_share - cost_smallest.core_share)
            / added_instances
            * 1e6,
            'us/s',
            None,
        )
        add(
            f'{role}: traffic per instance',
            (cost_largest.bytes_per_s - cost_smallest.bytes_per_s)
            / added_instances,
            'B/s',
            None,
        )
        add(
            f'{role}: memory per instance',
            (cost_largest.memory_mb - cost_smallest.memory_mb)
            / added_instances
            * 1024,
            'KB',
            None,
        )
    return result


def run(seed: int) -> list[rows.Row]:
    """Return the cost of each role at three fleet sizes and its slopes."""
    costs_by_size = {}
    for count in _FLEET_SIZES:
        print(f'-- {count} instances', file=sys.stderr)
        costs_by_size[count] = asyncio.run(_measure(count))
    return _rows(costs_by_size, seed)

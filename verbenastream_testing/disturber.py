"""Injects random faults into a running deployment."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from verbenastream_testing import faults

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenastream_testing import cluster as clusters


class FaultInjector:
    """Kills entries and control processes and breaks links to targets.

    It restarts each killed process before the next fault, so the deployment
    never loses the majority of its control processes.
    """

    def __init__(self, cluster: clusters.Cluster, rng: random.Random) -> None:
        self._cluster = cluster
        self._rng = rng
        self.kills = 0

    async def run(self, stopped: asyncio.Event) -> None:
        """Inject faults until ``stopped`` is set; then no fault is left."""
        fault_methods = (
            self._kill_entry,
            self._kill_control,
            self._break_target_connections,
        )
        while not stopped.is_set():
            await self._rng.choice(fault_methods)()
            await asyncio.sleep(self._rng.uniform(0.5, 2.0))

    async def _kill_entry(self) -> None:
        cluster = self._cluster
        name = self._rng.choice(list(cluster.layout.entries_by_id))
        await self._kill(name, cluster.start_entry)

    async def _kill_control(self) -> None:
        cluster = self._cluster
        name = self._rng.choice(list(cluster.layout.controls_by_id))
        await self._kill(name, cluster.start_control)

    async def _kill(self, name: str, start: Callable[[str], None]) -> None:
        cluster = self._cluster
        cluster.kill(name)
        self.kills += 1
        await asyncio.sleep(self._rng.uniform(0.0, 2.0))
        start(name)
        await cluster.processes.wait_ready([name], 30.0)

    async def _break_target_connections(self) -> None:
        links = self._cluster.links
        targets = list(self._cluster.layout.targets_by_id)
        fault = faults.Faults(close_after_bytes=self._rng.randrange(1, 1_200))
        link = self._rng.choice(
            [
                faults.LinkFaults(forward=fault),
                faults.LinkFaults(backward=fault),
            ]
        )
        party = faults.Party(self._rng.choice(targets))
        links.set(faults.ANY, party, link)
        await asyncio.sleep(2.0)
        links.heal()

"""Random faults of a running deployment, drawn from a seed."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from verbenastream_testing import faults

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenastream_testing import cluster as clusters


class Disturber:
    """Kills entries and control processes and cuts links to targets.

    Every process that it kills starts again, one at a time, so the deployment
    never loses its control majority.
    """

    def __init__(self, cluster: clusters.Cluster, rng: random.Random) -> None:
        self._cluster = cluster
        self._rng = rng
        self.kills = 0

    async def run(self, done: asyncio.Event) -> None:
        """Disturb until ``done`` is set; what was killed is then back."""
        steps = (self._kill_entry, self._kill_control, self._cut_target)
        while not done.is_set():
            await self._rng.choice(steps)()
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

    async def _cut_target(self) -> None:
        links = self._cluster.links
        targets = list(self._cluster.layout.targets_by_id)
        fault = faults.Faults(cut_at=self._rng.randrange(1, 1_200))
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

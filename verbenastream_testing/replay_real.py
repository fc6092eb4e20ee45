"""Replays a trace against real processes on loopback.

``python -m verbenastream_testing.replay_real FILE`` starts the deployment of
the trace, sends its requests at their times, injects its failures and
maintenance, and compares the result with the expected outcomes of the trace.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.control import messages
from verbenastream.process import traces
from verbenastream_testing import caller_ledger
from verbenastream_testing import cluster as clusters
from verbenastream_testing import deployment
from verbenastream_testing import expected_outcomes
from verbenastream_testing import load
from verbenastream_testing import operator_client
from verbenastream_testing import plans
from verbenastream_testing import samples
from verbenastream_testing import verdict
from verbenastream_testing import world as worlds

if TYPE_CHECKING:
    from collections.abc import Sequence

_SAMPLES_BY_DEPLOYMENT = {
    sample.name: sample for sample in (samples.MEXICO, samples.GHANA)
}


class RealReplay:
    """One replay; its processes belong to ``world`` and end with it."""

    def __init__(
        self,
        world: worlds.World,
        header: traces.Header,
        events: Sequence[traces.Event],
        entries: int = 4,
    ) -> None:
        self._world = world
        self._events = list(events)
        self._sample = _SAMPLES_BY_DEPLOYMENT[header.deployment]
        self._announcements = [
            event
            for event in self._events
            if isinstance(event, traces.Announced)
        ]
        self._size = deployment.Size(
            controls=3, entries=entries, targets=len(self._announcements)
        )
        self.ledger = caller_ledger.CallerLedger()
        self.cluster: clusters.Cluster
        self.operator: operator_client.OperatorClient

    async def run(self) -> verdict.Verdict:
        """Return the verdict once every request has an outcome."""
        await self._start()
        session = await self._world.session()
        run = load.LoadRun(self.ledger, self.cluster.balancer)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(run.run(plans.from_trace(self._events), session))
            for event in self._events:
                match event:
                    case traces.Failure():
                        tasks.create_task(self._inject_failure(event))
                    case traces.Maintenance():
                        tasks.create_task(self._announce_maintenance(event))
        await self.cluster.wait_idle()
        return verdict.evaluate(self.ledger, self.cluster.runs())

    def work_count(self) -> int:
        """Return the number of distinct requests that were sent."""
        return len({sent.work for sent in self.ledger.sent_by_tag.values()})

    async def _start(self) -> None:
        layout = deployment.LoopbackDeployment.from_config(
            self._sample, self._size, self._world.folder
        )
        session = await self._world.session()
        self.cluster = clusters.Cluster(
            layout, self._world.processes, session, by_rack=True
        )
        self._world.on_close(self.cluster.stop)
        self.operator = operator_client.OperatorClient(layout, session)
        await self.cluster.start()
        needed = 0
        for event in self._events:
            if isinstance(event, traces.Submission):
                await self.operator.submit(
                    event.document, event.base_revision, event.id
                )
                needed += event.document.instances
        await self.cluster.wait_entries()
        await self.cluster.wait_assigned(min(needed, self._size.targets))

    async def _inject_failure(self, event: traces.Failure) -> None:
        await asyncio.sleep(event.at)
        names = self._racks_of(event.domain, event.name)
        for name in names:
            self.cluster.kill(name)
        if event.until is not None:
            await asyncio.sleep(event.until - event.at)
            for name in names:
                self.cluster.start_target(name)

    async def _announce_maintenance(self, event: traces.Maintenance) -> None:
        await asyncio.sleep(event.at)
        racks = tuple(
            {
                (target.data_centre, target.rack)
                for target in self._announcements
                if target.rack == event.name
            }
        )
        await self.operator.notice(
            messages.NoticeRequest(
                id=f'{event.name}-{event.at:g}',
                in_s=event.deadline - event.at,
                for_s=event.seconds,
                racks=racks,
            )
        )

    def _racks_of(self, domain: traces.Domain, name: str) -> list[str]:
        """Return the names of the rack processes that a failure affects.

        A rack is one process here, so the failure of an instance includes its
        whole rack.
        """
        match domain:
            case traces.Domain.RACK:
                return [name]
            case traces.Domain.DATA_CENTRE:
                racks = [
                    event.rack
                    for event in self._announcements
                    if event.data_centre == ids.DataCentreId(name)
                ]
            case _:
                racks = [
                    event.rack
                    for event in self._announcements
                    if event.id == name
                ]
        return sorted(set(racks))


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('file', type=pathlib.Path)
    parsed = parser.parse_args(arguments)
    header, events = traces.read(parsed.file)
    world = worlds.World()
    try:
        replay = RealReplay(world, header, list(events))
        result = world.run(replay.run())
    finally:
        world.close()
    for line in result.lines():
        print(line)
    expected = expected_outcomes.read(parsed.file)
    problems = expected.problems(result, replay.work_count())
    for problem in problems:
        print(f'problem: {problem}')
    return 1 if problems else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))

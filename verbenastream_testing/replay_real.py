"""Replays a trace against real processes on loopback.

``python -m verbenastream_testing.replay_real FILE`` starts the deployment of
the trace, sends its requests at their times, brings about its failures and
maintenance, and compares with the outcomes beside the trace.
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
from verbenastream_testing import world

if TYPE_CHECKING:
    from collections.abc import Sequence

_SAMPLES_BY_DEPLOYMENT = {
    found.name: found for found in (samples.MEXICO, samples.GHANA)
}


class RealReplay:
    """One replay; processes belong to ``place`` and end with it."""

    def __init__(
        self,
        place: world.World,
        header: traces.Header,
        events: Sequence[traces.Event],
        entries: int = 4,
    ) -> None:
        self._place = place
        self._events = list(events)
        self._sample = _SAMPLES_BY_DEPLOYMENT[header.deployment]
        self._announced = [
            event
            for event in self._events
            if isinstance(event, traces.Announced)
        ]
        self._size = deployment.Size(
            controls=3, entries=entries, targets=len(self._announced)
        )
        self.ledger = caller_ledger.CallerLedger()
        self.cluster: clusters.Cluster
        self.operator: operator_client.OperatorClient

    async def run(self) -> verdict.Verdict:
        """Return the verdict once every request has an outcome."""
        await self._start()
        session = await self._place.session()
        run = load.LoadRun(self.ledger, self.cluster.balancer)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(run.run(plans.from_trace(self._events), session))
            for event in self._events:
                match event:
                    case traces.Failure():
                        tasks.create_task(self._fail(event))
                    case traces.Maintenance():
                        tasks.create_task(self._maintain(event))
        await self.cluster.wait_idle()
        return verdict.evaluate(self.ledger, self.cluster.runs())

    def works(self) -> int:
        """Return how many pieces of work were sent."""
        return len({sent.work for sent in self.ledger.sent_by_tag.values()})

    async def _start(self) -> None:
        layout = deployment.LoopbackDeployment.from_config(
            self._sample, self._size, self._place.folder
        )
        session = await self._place.session()
        self.cluster = clusters.Cluster(
            layout, self._place.processes, session, by_rack=True
        )
        self._place.on_close(self.cluster.stop)
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

    async def _fail(self, event: traces.Failure) -> None:
        await asyncio.sleep(event.at)
        names = self._racks_of(event.domain, event.name)
        for name in names:
            self.cluster.kill(name)
        if event.until is not None:
            await asyncio.sleep(event.until - event.at)
            for name in names:
                self.cluster.start_target(name)

    async def _maintain(self, event: traces.Maintenance) -> None:
        await asyncio.sleep(event.at)
        racks = tuple(
            {
                (found.data_centre, found.rack)
                for found in self._announced
                if found.rack == event.name
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
        """Return the rack processes of a failure.

        A rack is one process here, so an instance takes its rack along.
        """
        match domain:
            case traces.Domain.RACK:
                return [name]
            case traces.Domain.DATA_CENTRE:
                found = [
                    event.rack
                    for event in self._announced
                    if event.data_centre == ids.DataCentreId(name)
                ]
            case _:
                found = [
                    event.rack for event in self._announced if event.id == name
                ]
        return sorted(set(found))


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('file', type=pathlib.Path)
    parsed = parser.parse_args(arguments)
    header, events = traces.read(parsed.file)
    place = world.World()
    try:
        replay = RealReplay(place, header, list(events))
        found = place.run(replay.run())
    finally:
        place.close()
    for line in found.lines():
        print(line)
    expected = expected_outcomes.read(parsed.file)
    problems = expected.problems(found, replay.works())
    for problem in problems:
        print(f'problem: {problem}')
    return 1 if problems else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))

"""Runs a deployment on loopback under load with failures: ``make demo``.

The exit status is 0 only if nothing was lost or run twice, every invariant
held and the second document is in force everywhere.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys
import tempfile
import time
from typing import TYPE_CHECKING

import aiohttp

from verbenastream import errors
from verbenastream.process.control import messages
from verbenastream.process import reports
from verbenastream.process import settings
from verbenastream_testing import caller_ledger
from verbenastream_testing import cluster as clusters
from verbenastream_testing import deployment
from verbenastream_testing import load
from verbenastream_testing import operator_client
from verbenastream_testing import plans
from verbenastream_testing import samples
from verbenastream_testing import supervisor
from verbenastream_testing import trace_generator
from verbenastream_testing import verdict
from verbenastream_testing import world

if TYPE_CHECKING:
    from collections.abc import Awaitable

_SEED = 1
_SAMPLE = samples.MEXICO
_SIZE = deployment.Size(controls=3, entries=4, targets=30)
_SHAPE = trace_generator.Shape(
    seconds=16.0,
    requests_per_s=60.0,
    peak_s=2.0,
    long_factor=30.0,
    cancelled_share=0.0,
    rack_losses=0,
    maintenance_notices=0,
)
# Time of each failure, in seconds after the first request.
_MAINTENANCE_AT_S = 2.0
_STOP_ENTRY_AT_S = 5.0
_KILL_CONTROL_AT_S = 8.0
_SECOND_DOCUMENT_AT_S = 10.0
_STOPPED_ENTRY = 'entry-4'


class Demo:
    """One run; prints each step with the seconds since the start."""

    def __init__(
        self, cluster: clusters.Cluster, session: aiohttp.ClientSession
    ) -> None:
        self.cluster = cluster
        self.session = session
        self.operator = operator_client.OperatorClient(cluster.layout, session)
        self.ledger = caller_ledger.CallerLedger(
            cluster.layout.folder / 'callers.jsonl'
        )
        self.problems: list[str] = []
        self._started = time.monotonic()

    async def run(self) -> bool:
        await self._prepare()
        run = load.LoadRun(self.ledger, self.cluster.balancer)
        generator = trace_generator.TraceGenerator(_SAMPLE, _SHAPE, _SEED)
        plan = plans.from_trace(generator.events())
        self._print_step(
            f'{len(plan)} requests of {len(_SAMPLE.services)} services'
        )
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(run.run(plan, self.session))
            for at_s, step in (
                (_MAINTENANCE_AT_S, self._maintain()),
                (_STOP_ENTRY_AT_S, self._stop_entry()),
                (_KILL_CONTROL_AT_S, self._kill_control()),
                (_SECOND_DOCUMENT_AT_S, self._submit_second_document()),
            ):
                tasks.create_task(self._run_at(at_s, step))
        await self.cluster.wait_idle()
        await self._report(run)
        return not self.problems

    async def _prepare(self) -> None:
        await self.cluster.start()
        self._print_step(
            f'{len(self.cluster.processes.processes_by_name)} processes'
        )
        for service in _SAMPLE.services:
            status, answer = await self.operator.submit(
                samples.document(_SAMPLE, service), 0
            )
            if status != 200:
                self.problems.append(f'{service} was not accepted: {answer}')
        await self.cluster.wait_entries()
        for service in _SAMPLE.services:
            await self._wait_in_force(service, 1)
        self._print_step('first documents are in force')
        pools = await self.cluster.wait_assigned(
            len(_SAMPLE.services) * (_SAMPLE.workers_per_service - 1)
        )
        self._print_step(
            f'{len(pools)} of {_SIZE.targets} targets have a pool'
        )

    async def _maintain(self) -> None:
        """Take a serving target into maintenance and let it return."""
        pools = await self.cluster.pools()
        target = sorted(pools)[0]
        self._print_step(f'platform takes {target} of {pools[target]}')
        await self.operator.notice(
            messages.NoticeRequest(
                id='demo', in_s=2.0, for_s=5.0, instances=(target,)
            )
        )

        async def released() -> bool:
            state = await self.cluster.target_state(target)
            return state is not None and not (
                state['pool'] or state['running']
            )

        await world.until(f'{target} is drained', released)
        self._print_step(f'{target} is drained and reboots')
        await self.cluster.reboot(target)

    async def _stop_entry(self) -> None:
        self._print_step(f'{_STOPPED_ENTRY} gets SIGTERM')
        status = await self.cluster.processes.stop(_STOPPED_ENTRY, 20.0)
        self._print_step(f'{_STOPPED_ENTRY} ended with status {status}')
        if status != 0:
            self.problems.append(
                f'{_STOPPED_ENTRY} ended with status {status}, not 0'
            )

    async def _kill_control(self) -> None:
        leader = await self.operator.leader()
        self.cluster.kill(leader)
        self._print_step(f'{leader}, the leader, was killed with SIGKILL')

    async def _submit_second_document(self) -> None:
        service = _SAMPLE.spare
        document = samples.document(_SAMPLE, service, instances=4)
        started = time.monotonic()
        status, answer = await self.operator.submit(document, 1, 'demo-2')
        if status != 200:
            self.problems.append(f'second document: {status} {answer}')
            return
        await self._wait_in_force(service, 2)
        self._print_step(
            f'second document of {service} is in force '
            f'{time.monotonic() - started:.2f} s after its submission'
        )

    async def _wait_in_force(self, service: str, revision: int) -> None:
        async def in_force() -> bool:
            found = await self.operator.in_force(service)
            return (
                found is not None
                and found.revision == revision
                and found.in_force
                and not found.lagging
            )

        await world.until(f'{service} revision {revision} in force', in_force)

    async def _report(self, run: load.LoadRun) -> None:
        report = await self._complete_burn_report()
        self.ledger.close()
        result = verdict.evaluate(self.ledger, self.cluster.runs())
        print('\nWhat callers saw')
        for line in result.lines():
            print(f'  {line}')
        for operation, histogram in run.latency_by_operation.items():
            if histogram.count:
                print(
                    f'  {operation}: {histogram.count} answered, '
                    f'p50 {histogram.quantile_s(0.5) * 1e3:.0f} ms, '
                    f'p99 {histogram.quantile_s(0.99) * 1e3:.0f} ms'
                )
        print()
        print(reports.render_text(report))
        if not result.passed:
            self.problems.append('an invariant is broken, see the counts')
        self._print_unanswered()

    async def _complete_burn_report(self) -> reports.BurnReport:
        """Return the report once it has the last counts of the entries."""
        answered = len(self.ledger.answers_by_tag)

        async def complete() -> reports.BurnReport | None:
            report = await self.operator.burn()
            counted = sum(item.good + item.bad for item in report.services)
            return report if counted >= answered else None

        try:
            found = await world.until('all answers are counted', complete, 8.0)
        except world.ConditionError as error:
            self.problems.append(str(error))
            found = await self.operator.burn()
        assert found is not None
        return found

    def _print_unanswered(self) -> None:
        """Print how much work had no answer after all repeats."""
        outcome_by_work: dict[str, caller_ledger.AttemptOutcome] = {}
        for tag, sent in self.ledger.sent_by_tag.items():
            answer = self.ledger.answers_by_tag.get(tag)
            if answer is not None:
                outcome_by_work[sent.work] = answer.outcome
        unanswered = [
            work
            for work, outcome in outcome_by_work.items()
            if outcome is not caller_ledger.AttemptOutcome.RAN
        ]
        print(f'work without an answer: {len(unanswered)}')

    async def _run_at(self, at_s: float, step: Awaitable[None]) -> None:
        await asyncio.sleep(at_s)
        try:
            await step
        except errors.VerbenastreamError as error:
            self.problems.append(str(error))

    def _print_step(self, text: str) -> None:
        print(f'{time.monotonic() - self._started:6.2f} s  {text}', flush=True)


async def _run(folder: pathlib.Path) -> int:
    layout = deployment.LoopbackDeployment.from_config(
        _SAMPLE,
        _SIZE,
        folder,
        entry_timings=settings.EntryTimings(balancer_interval_s=1.0),
    )
    connector = aiohttp.TCPConnector(limit=0)
    with supervisor.Supervisor(folder / 'logs') as processes:
        async with aiohttp.ClientSession(connector=connector) as session:
            cluster = clusters.Cluster(layout, processes, session, True)
            demo = Demo(cluster, session)
            try:
                await demo.run()
            except errors.VerbenastreamError as error:
                demo.problems.append(str(error))
            finally:
                await cluster.stop()
        for name in processes.end_all(10.0):
            demo.problems.append(f'{name} did not end on SIGTERM')
    for problem in demo.problems:
        print(f'problem: {problem}')
    print('demo passed' if not demo.problems else 'demo failed')
    return 1 if demo.problems else 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--keep', type=pathlib.Path, help='folder for logs and ledgers'
    )
    arguments = parser.parse_args()
    if arguments.keep is not None:
        return asyncio.run(_run(arguments.keep))
    with tempfile.TemporaryDirectory(prefix='verbenastream-') as folder:
        return asyncio.run(_run(pathlib.Path(folder)))


if __name__ == '__main__':
    sys.exit(main())

"""A lasting job is stopped on sound workers after four crashes."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standin'))

import harness  # noqa: E402

PREFIX = '/puxa400/'
NAME = '5c0e7a21d94b36f8'
JOB = PREFIX + NAME
WORKERS = 8
TASKS = 5
MAY_MISS = 1
# One of eight workers crashes at a time, and is back after 4.5 s.
CRASHES = 4
AT_WORK_BEFORE_CRASH_S = 5.0
DOWN_S = 4.5


async def case(record, nodes, trouble):
    operator = harness.Operator(nodes, record)
    client = harness.Client(nodes, record)
    workers = [
        harness.Worker(
            nodes,
            record,
            f'm-{number}',
            'huvo11a',
            f'r1-{number // 4}',
            lambda task, payload: None,
        )
        for number in range(WORKERS)
    ]
    platform = harness.Platform(nodes, record, workers)
    await platform.start()
    nodes.start_all()
    await nodes.wait_until_ready()
    routes = [harness.route('r-anu6wsj', PREFIX, 'huvo11a')]
    if not await operator.configure(
        harness.configuration(1, routes, ['huvo11a'])
    ):
        raise harness.CannotRun('the configuration was not acknowledged')
    for worker in workers:
        worker.start()
    await asyncio.sleep(3.0)
    steps = [
        {
            'Count': TASKS,
            'Cpu': 1300,
            'MemMb': 4800,
            'LongRunning': True,
            'MayMiss': MAY_MISS,
        }
    ]
    if not await client.submit(JOB, 'watch the register', steps):
        raise harness.CannotRun('the job was not accepted')
    await asyncio.sleep(4.0)
    if sum(len(worker.runs) for worker in workers) != TASKS:
        raise harness.CannotRun('the tasks do not run')

    # The worker of the first task crashes, four times in all.
    crashes = 0
    end = time.monotonic() + 60
    while trouble and crashes < CRASHES and time.monotonic() < end:
        await asyncio.sleep(0.05)
        for worker in workers:
            if any(
                run.task == f'{NAME}.0.0.0'
                and time.monotonic() - run.started_at >= AT_WORK_BEFORE_CRASH_S
                for run in worker.runs.values()
            ):
                worker.crash()
                crashes += 1
                asyncio.get_running_loop().call_later(DOWN_S, worker.start)
                break
    if trouble and crashes < CRASHES:
        raise harness.CannotRun(f'only {crashes} crashes')

    # From here on there is no disruption.
    await asyncio.sleep(25.0 if trouble else 45.0)
    state = await client.state(JOB)
    running = sum(len(worker.runs) for worker in workers)
    ends = sorted(end for worker in workers for end in worker.ends)
    failed = [end for end in ends if end[3] == 'failed']
    stopped = [end for end in ends if end[3] == 'stopped']
    record.write(
        f'state {state}, {running} of {TASKS} tasks run, {crashes} crashes, '
        f'{len(failed)} runs ended failed, {len(stopped)} stopped'
    )
    broken = []
    # All that is stopped was at work on a sound worker. Each stop makes one
    # more task unavailable, and none of them comes back.
    if len(stopped) > MAY_MISS:
        broken.append(
            f'AVAIL: {len(stopped)} tasks of a step with MayMiss {MAY_MISS} '
            f'were stopped on sound workers between {stopped[0][0]:.1f} s '
            f'and {stopped[-1][0]:.1f} s'
        )
    return broken


if __name__ == '__main__':
    # The argument is TROUBLE; 0 means without the disruption.
    sys.exit(harness.main(case, HERE, trouble=sys.argv[1:] != ['0']))

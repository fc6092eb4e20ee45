"""One large job stops the whole system."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standin'))

import harness  # noqa: E402

PREFIX = '/puxa400/'
LASTING = '1a7bc1e21d94b3f0'
WORKERS = 8
TASKS = 2400
# With the disruption one job, without it eight of an eighth each.
PARTS = 8
WATCH_S = 45.0
# A task that lasts has to run again 6 s after its last run, and 3 s more.
LASTS_S = 9.0


def duration(task, payload):
    return None if task.startswith(LASTING) else 1.0


def name_of(kind, number):
    return f'{kind}{number:04d}1e21d94b3f'


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
            duration,
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
    lasting = {
        'Count': WORKERS,
        'Cpu': 1300,
        'MemMb': 4800,
        'LongRunning': True,
        'MaxPerServer': 1,
        'MayMiss': 1,
    }
    if not await client.submit(PREFIX + LASTING, 'watch', [lasting]):
        raise harness.CannotRun('the lasting job was not accepted')
    await asyncio.sleep(4.0)

    def lasting_runs():
        return sum(
            task.startswith(LASTING)
            for worker in workers
            for task, _ in worker.runs
        )

    if lasting_runs() != WORKERS:
        raise harness.CannotRun('the lasting tasks do not run')

    # Half of the workers have room for all tasks, and there are two halves.
    jobs = 1 if trouble else PARTS
    large = {
        'Count': TASKS // jobs,
        'Cpu': 20,
        'MemMb': 16,
        'EstMs': 1000,
        'MaxPerServer': TASKS // jobs // 4,
    }
    accepted = []
    for number in range(jobs):
        name = name_of('2b', number)
        if not await client.submit(PREFIX + name, 'large', [large]):
            raise harness.CannotRun('a large job was not accepted')
        accepted.append(name)
        await asyncio.sleep(0.5)

    # Small jobs go on.
    small = {'Count': 1, 'Cpu': 880, 'MemMb': 1800, 'EstMs': 850}
    end = record.now() + WATCH_S
    number = unclear = 0
    away_since = None
    longest_away_s = 0.0
    while record.now() < end:
        name = name_of('3c', number)
        number += 1
        status, _ = await client.call(
            'POST',
            PREFIX + name,
            json.dumps({'Spec': 'small', 'Steps': [small]}).encode(),
        )
        if status == 200:
            accepted.append(name)
        else:
            unclear += 1
        if lasting_runs() == WORKERS:
            away_since = None
        elif away_since is None:
            away_since = record.now()
        if away_since is not None:
            longest_away_s = max(longest_away_s, record.now() - away_since)
        await asyncio.sleep(1.0)
    record.write('the traffic has ended')
    await asyncio.sleep(harness.BOUNDS['finish_s'])
    lost = []
    for name in accepted:
        state = await client.state(PREFIX + name)
        if state != 'completed':
            lost.append((name, state))
    begun = {
        task.split('.')[0]
        for worker in workers
        for _, task, _ in worker.starts
    }
    lapsed = sum(
        end[3] == 'lapsed' for worker in workers for end in worker.ends
    )
    record.write(
        f'{len(lost)} of {len(accepted)} accepted jobs are not completed, '
        f'{unclear} of {number} small jobs were not accepted, {lapsed} runs '
        f'lapsed, lasting tasks were away for {longest_away_s:.1f} s, '
        f'{lasting_runs()} of {WORKERS} run now; nodes that ended by '
        f'themselves: {nodes.ended_by_themselves()}'
    )
    broken = []
    never = [name for name, _ in lost if name not in begun]
    if never:
        broken.append(
            f'LOST: {len(never)} of {len(accepted)} accepted jobs have '
            f'nothing running and never began, '
            f'{harness.BOUNDS["finish_s"]} s after the end of the traffic, '
            f'with room for them; the first is {never[0]}'
        )
    if longest_away_s > LASTS_S:
        broken.append(
            f'LOST: tasks that last did not run for {longest_away_s:.1f} s, '
            f'with room for them'
        )
    return broken


if __name__ == '__main__':
    # The argument is TROUBLE; 0 means without the disruption.
    sys.exit(harness.main(case, HERE, trouble=sys.argv[1:] != ['0']))

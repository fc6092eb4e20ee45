"""Standing jobs that miss a lost worker keep the other workers idle."""

from __future__ import annotations

import asyncio
import pathlib
import sys

import harness

# The site has share = 0.14: one of eight workers.
WORKERS = 8
FINISH_S = 14.0
# One task of each standing job is on each worker.
STANDING = harness.Work(700, 3000, None)
STANDING_JOBS = [f'000000000000a0{number:02x}' for number in range(1, 8)]
# What the clients hand in: 4 jobs a second for 8 s.
BATCH = harness.Work(1900, 3900, 1.8)
BATCH_JOBS = [f'000000000000b0{number:02x}' for number in range(1, 33)]


async def case(record: harness.Record) -> list[str]:
    """Return how the rule was broken."""
    nodes = harness.Nodes(record, disks=3, others=2)
    client = harness.Client(record)
    work = dict.fromkeys(STANDING_JOBS, STANDING)
    work.update(dict.fromkeys(BATCH_JOBS, BATCH))
    workers = [
        harness.Worker(nodes, number, work) for number in range(1, WORKERS + 1)
    ]
    platform = harness.Platform(record, workers)
    try:
        await platform.start(nodes.prefix)
        nodes.cloud = platform.address
        nodes.start_all()
        await nodes.wait_ready(client)
        await client.configure(nodes, harness.configuration())
        for worker in workers:
            worker.start()
        await asyncio.sleep(2.0)
        return await _play(record, nodes, client, workers)
    finally:
        for worker in workers:
            await worker.close()
        await platform.close()
        await client.close()
        nodes.close()


async def _play(
    record: harness.Record,
    nodes: harness.Nodes,
    client: harness.Client,
    workers: list[harness.Worker],
) -> list[str]:
    standing = harness.job(WORKERS, STANDING, MaxPerServer=1, MayMiss=1)
    for job in STANDING_JOBS:
        await _submit(client, nodes, job, standing)
    await asyncio.sleep(3.0)
    if any(len(worker.running) != len(STANDING_JOBS) for worker in workers):
        raise harness.CannotRunError('the standing jobs do not run')
    if harness.is_troubled():
        # It is lost for good.
        await workers[-1].crash()
    await asyncio.sleep(3.0)
    for job in BATCH_JOBS:
        await _submit(client, nodes, job, harness.job(8, BATCH))
        await asyncio.sleep(0.25)
    record.write('the traffic ends')
    asked_from = record.now() + FINISH_S
    standing_since: dict[str, float] = {}
    broken: dict[str, str] = {}
    while record.now() < asked_from + 8.0:
        await asyncio.sleep(0.1)
        now = record.now()
        up = [worker for worker in workers if worker.is_up]
        used = sum(worker.cpu - worker.free()[0] for worker in up)
        total = sum(worker.cpu for worker in up)
        idle = [worker for worker in up if _has_room_for_two(worker)]
        for job in BATCH_JOBS:
            stands_still = (
                now >= asked_from
                and used < total / 2
                and bool(idle)
                and _stands_still(workers, job)
            )
            if not stands_still:
                standing_since.pop(job, None)
                continue
            since = standing_since.setdefault(job, now)
            if now > since + 3.0 and job not in broken:
                broken[job] = (
                    f'LOST: job {job} has had nothing running for 3 s, '
                    f'{used} of {total} thousandths of a core are in use, '
                    f'and {len(idle)} of {len(up)} workers have room for two '
                    'tasks of it'
                )
    return list(broken.values())


def _has_room_for_two(worker: harness.Worker) -> bool:
    cpu, mem_mb = worker.free()
    return cpu >= 2 * BATCH.cpu and mem_mb >= 2 * BATCH.mem_mb


def _stands_still(workers: list[harness.Worker], job: str) -> bool:
    """Whether tasks of the job wait and none of them runs."""
    rows = [
        row
        for worker in workers
        for row in worker.history
        if row[0].startswith(f'{job}.')
    ]
    if any(row[3] is None for row in rows):
        return False
    return len({row[0] for row in rows if row[4] == 'done'}) < 8


async def _submit(
    client: harness.Client, nodes: harness.Nodes, job: str, body: object
) -> None:
    status, _ = await client.until_answered(
        nodes, 'POST', harness.PREFIX + job, body
    )
    if status != 200:
        raise harness.CannotRunError(f'job refused with {status}')


if __name__ == '__main__':
    sys.exit(harness.main(case, pathlib.Path(__file__).parent))

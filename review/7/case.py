"""Heartbeats that lack fields are taken for those of a worker."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standin-2'))

import deployment  # noqa: E402

# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
PREFIX = '/alpha/'
JOB = '00c0ffee00c0ffee'
TASK = f'{JOB}.0.0.0'
TASK_CPU = 1000
# Bounds of the rule.
FINISH_S = 14.0
IDLE_S = 3.0


class OtherWriter:
    """Sends heartbeats that lack fields and starts nothing.

    Missing are Version, Slots, ColdLeftMs, ClockMs, Labels, Machine, Running
    and Ended, which each heartbeat of a worker holds.
    """

    def __init__(self, world: deployment.World) -> None:
        self._world = world
        self._born = int(time.time() * 1000)
        self._tasks: set[asyncio.Task[None]] = set()
        self.start_count = 0

    async def run(self) -> None:
        """Send a heartbeat at each interval."""
        sequence = 0
        while True:
            sequence += 1
            task = asyncio.create_task(self._send(sequence))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(deployment.HEARTBEAT_INTERVAL_S)

    async def _send(self, sequence: int) -> None:
        body = {
            'Service': 'alpha',
            'Addr': f'{self._world.nodes.prefix}.202:8080',
            'Zone': 'zone-a',
            'State': 'ready',
            'Seq': sequence,
            'born': self._born,
            'Capacity': {'Cpu': 2000, 'MemMb': 16_384, 'Gpu': 0},
        }
        answer = await self._world.put_heartbeat(
            self._world.any_control(), 'i-other', body
        )
        self._world.record.write(f'answer to the other writer: {answer}')
        if answer is not None:
            self.start_count += len(answer.get('Start', ()))


async def case(world: deployment.World) -> list[str]:
    """Return the task if nothing of it runs although there is room."""
    await world.machines.start(world.nodes.cloud)
    await world.configure(
        deployment.configuration(
            1,
            [deployment.route('r-alpha', PREFIX, 'alpha')],
            [deployment.service('alpha')],
        )
    )
    for number in range(3):
        world.add_machine(f'm-{number}', 'alpha')
    await asyncio.sleep(3.0)
    writer = OtherWriter(world)
    sending = None
    if TROUBLE:
        sending = asyncio.create_task(writer.run())
    await asyncio.sleep(2.0)
    job = {
        'Spec': json.dumps({'work_s': 1.0}),
        'Steps': [{'Count': 1, 'Cpu': TASK_CPU, 'MemMb': 100, 'EstMs': 1000}],
    }
    if await world.submit(PREFIX, JOB, job) != 200:
        raise deployment.SetupError('the job was not accepted')
    await asyncio.sleep(FINISH_S)
    state = await world.job_state(PREFIX, JOB)
    asked_at = world.record.now()
    await asyncio.sleep(IDLE_S)
    state_later = await world.job_state(PREFIX, JOB)
    if sending is not None:
        sending.cancel()
    return _broken(world, state, state_later, asked_at, writer.start_count)


def _broken(
    world: deployment.World,
    state: str,
    state_later: str,
    asked_at: float,
    start_count: int,
) -> list[str]:
    world.record.write(f'the job is {state}, {IDLE_S} s later {state_later}')
    world.record.write(f'starts sent to the other writer: {start_count}')
    has_run = any(
        run.ended_at is None or run.ended_at > asked_at
        for _, run in world.ledger.of_task(TASK)
    )
    if state_later == 'completed' or has_run:
        return []
    # All three workers are up, and nothing runs on them.
    return [
        f'{TASK} had nothing running for {IDLE_S} s, {FINISH_S} s after the '
        f'job was accepted, with 3 idle workers of 4000 millicores; '
        f'its {start_count} starts went to the other writer'
    ]


if __name__ == '__main__':
    sys.exit(deployment.play(FOLDER, case, TROUBLE))

"""Time of an assignment pass beside tasks that no worker can run.

All workers are full of finite tasks and more jobs wait for them. Beside these
wait long-running jobs that fit nowhere: on none at all, or only once finite
tasks have ended.
"""

from __future__ import annotations

import statistics
import time
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import model
from verbenastream_testing.jobqueue import leader as leaders

from bench import rows

if TYPE_CHECKING:
    from collections.abc import Mapping

_MODULE = 'bench.assignment'
_WORKERS = 1200
_TASKS_PER_WORKER = 8
_WAITING_JOBS = 300
_PASSES = 30
_INTERVAL_S = 0.1
# All workers report this often, in passes.
_REPORT_PASSES = 10
_FINITE_STEP = model.Step(
    _TASKS_PER_WORKER, model.Resources(2000, 100), estimate_s=5.0
)
_STEPS_BY_NAME: Mapping[str, model.Step] = {
    'a label that none has': model.Step(
        1, model.Resources(50, 100), label='kind-b', long_running=True
    ),
    'more than is free': model.Step(
        1, model.Resources(15_500, 100), long_running=True
    ),
    'a gang that needs more than is free': model.Step(
        4, model.Resources(15_500, 100), gang=True, long_running=True
    ),
}


def run(seed: int) -> list[rows.Row]:
    """Return the median time of a pass without and with such jobs."""
    baseline_ms = _median_pass_ms(None, 0)
    result = [
        rows.at_most(_MODULE, seed, 'pass, all can run', baseline_ms, 'ms')
    ]
    for name, step in _STEPS_BY_NAME.items():
        for count in (50, 300):
            result.append(
                rows.at_most(
                    _MODULE,
                    seed,
                    f'pass, {count} jobs need {name}',
                    _median_pass_ms(step, count),
                    'ms',
                    baseline_ms,
                )
            )
    return result


def _median_pass_ms(step: model.Step | None, count: int) -> float:
    leader = _full_leader()
    for number in range(count):
        assert step is not None
        leader.submit(step, job=ids.JobId(f'{0x100000 + number:016x}'))
    for number in range(_WAITING_JOBS):
        job = ids.JobId(f'{0x200000 + number:016x}')
        leader.submit(_FINITE_STEP, job=job)
    worker_ids = list(leader.running_by_worker)
    times_s = []
    for number in range(_PASSES):
        leader.now += _INTERVAL_S
        if number % _REPORT_PASSES == 0:
            for worker in worker_ids:
                leader.report_runs(worker, percent=50.0)
        else:
            leader.beat(worker_ids[number])
        started = time.perf_counter()
        leader.dispatcher.assign(leader.now, leader.now)
        times_s.append(time.perf_counter() - started)
    return 1000 * statistics.median(times_s)


def _full_leader() -> leaders.Leader:
    leader = leaders.Leader(_WORKERS)
    for number, worker in enumerate(list(leader.running_by_worker)):
        beat, _ = leader.beat(worker)
        job = ids.JobId(f'{0x1000 + number:016x}')
        leader.submit(_FINITE_STEP, job=job)
        starts = tuple(
            commands.Start(
                model.TaskKey(job, 0, 0, position), worker, 1, beat.sequence
            )
            for position in range(_TASKS_PER_WORKER)
        )
        leader.apply(commands.StartTasks(starts, leader.now))
        leader.report_runs(worker, percent=50.0)
    return leader

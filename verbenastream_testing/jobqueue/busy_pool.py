"""A pool whose workers small tasks keep full."""

from __future__ import annotations

import itertools

from verbenastream import ids
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import workers
from verbenastream_testing.jobqueue import leader as leaders

_INTERVAL_S = 0.05
_SMALL_STEP = model.Step(4, model.Resources(2000, 100), 0.8)
_TASKS_PER_WORKER = 8
_MIN_WAITING = 40


class BusyPool:
    """A leader and workers with more small tasks than they can run::

    pool = BusyPool(2)
    pool.submit_crashed(step, crashes=1)
    waited_s = pool.time_to_start_s(key, limit_s=10.0)
    """

    def __init__(self, worker_count: int) -> None:
        self.leader = leaders.Leader(worker_count)
        self.started_count = 0
        self._numbers = itertools.count(0x100)
        self._end_numbers = dict.fromkeys(self.leader.running_by_worker, 0)
        # Worker and start time of each run.
        self._runs: dict[
            tuple[model.TaskKey, int], tuple[ids.WorkerId, float]
        ] = {}
        self._fill()

    def _submit_small(self) -> ids.JobId:
        job = ids.JobId(f'{next(self._numbers):016x}')
        self.leader.submit(_SMALL_STEP, job=job)
        return job

    def _fill(self) -> None:
        """Start small tasks, some of which end at each heartbeat."""
        leader = self.leader
        for worker in leader.running_by_worker:
            beat, _ = leader.beat(worker)
            keys = [
                model.TaskKey(job, 0, 0, position)
                for job in (self._submit_small(), self._submit_small())
                for position in range(_SMALL_STEP.count)
            ]
            assert len(keys) == _TASKS_PER_WORKER
            starts = tuple(
                commands.Start(key, worker, 1, beat.sequence) for key in keys
            )
            numbers = leader.apply(commands.StartTasks(starts, leader.now))
            for position, run in enumerate(zip(keys, numbers)):
                self._runs[run] = (worker, leader.now - 0.1 * position)

    def submit_crashed(self, step: model.Step, crashes: int) -> None:
        """Submit a task under which workers crashed at its start."""
        state = self.leader.state
        self.leader.submit(step)
        task = state.jobs_by_id[leaders.JOB].tasks[0][0][0]
        task.crashes = crashes
        task.suspected_crashes = min(1, crashes)
        state.restore(state.snapshot())

    def time_to_start_s(
        self, key: model.TaskKey, limit_s: float
    ) -> float | None:
        """Run the pool until ``key`` starts; None if it does not in time."""
        begin = self.leader.now
        while self.leader.now < begin + limit_s:
            self.leader.now += _INTERVAL_S
            self._top_up()
            for worker in self.leader.running_by_worker:
                if key in self._answer(worker):
                    return self.leader.now - begin
        return None

    def _top_up(self) -> None:
        waiting = sum(
            task.phase is model.TaskPhase.WAITING
            for job in self.leader.state.open_jobs.values()
            for task in job.tasks[0][0]
        )
        for _ in range(max(0, _MIN_WAITING - waiting) // _SMALL_STEP.count):
            self._submit_small()

    def _answer(self, worker: ids.WorkerId) -> set[model.TaskKey]:
        """Report the ends of runs; return the tasks that start."""
        leader = self.leader
        runs = {
            run: at for run, (on, at) in self._runs.items() if on == worker
        }
        ended = [
            run
            for run, at in runs.items()
            if leader.now - at >= _SMALL_STEP.estimate_s
        ]
        reports = []
        for run in ended:
            del self._runs[run]
            self._end_numbers[worker] += 1
            reports.append(
                workers.EndReport(
                    self._end_numbers[worker], *run, model.EndKind.DONE
                )
            )
        leader.running_by_worker[worker] = tuple(
            workers.RunReport(*run, percent=50.0)
            for run in runs
            if run not in ended
        )
        leader.ended = tuple(reports)
        beat, _ = leader.beat(worker)
        leader.ended = ()
        command = leader.dispatcher.find_ended_runs(
            beat, leader.now, leader.now
        )
        if command is not None:
            leader.apply(command)
        leader.dispatcher.acknowledge(beat)
        started = leader.give_orders(worker)
        for run in started:
            self._runs[run] = (worker, leader.now)
        self.started_count += len(started)
        return {key for key, _ in started}

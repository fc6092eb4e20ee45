"""Workers on a manual clock whose runs end, beside a stream of small jobs."""

from __future__ import annotations

import dataclasses
import itertools
import random
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import workers
from verbenastream_testing.jobqueue import leader as leaders

if TYPE_CHECKING:
    Run = tuple[model.TaskKey, int]

_INTERVAL_S = 0.05
_STARTUP_S = 0.5
# How long a job may stand still beside room for twice what it needs.
MAX_STANDSTILL_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Jobs with a step of ``count`` tasks, handed in at a steady rate.

    The tasks run between ``shortest_s`` and ``longest_s``.
    """

    jobs_per_s: float
    count: int
    need: model.Resources
    shortest_s: float
    longest_s: float
    queue: ids.QueueId = leaders.QUEUE

    @property
    def step(self) -> model.Step:
        """The only step of each job, with the mean as its estimate."""
        mean_s = (self.shortest_s + self.longest_s) / 2
        return model.Step(self.count, self.need, estimate_s=mean_s)


@dataclasses.dataclass(slots=True)
class _Running:
    worker: ids.WorkerId
    started_at: float
    ends_at: float
    step: model.Step


class StreamPool:
    """A leader and workers that run what they are told, on a manual clock::

    pool = StreamPool(8)
    job = pool.submit(step)
    pool.advance(3.0, stream)
    assert not pool.standstills
    """

    def __init__(self, worker_count: int, seed: int = 1) -> None:
        self.leader = leaders.Leader(worker_count)
        self.rng = random.Random(seed)
        self._numbers = itertools.count(0x100)
        self._incarnations = dict.fromkeys(self.leader.running_by_worker, 1)
        self._end_counts = dict.fromkeys(self.leader.running_by_worker, 0)
        self._pending_ends: dict[ids.WorkerId, list[workers.EndReport]] = {
            worker: [] for worker in self.leader.running_by_worker
        }
        self.running: dict[Run, _Running] = {}
        self._run_times: dict[ids.JobId, tuple[float, float]] = {}
        self._next_job_at: dict[Stream, float] = {}
        # The tasks whose runs do not end and report no progress.
        self.hanging_workers: set[ids.WorkerId] = set()
        self.stream_jobs: list[ids.JobId] = []
        # Time of the latest start of each task.
        self.started_at_by_task: dict[model.TaskKey, float] = {}
        self._standing_since: dict[ids.JobId, float] = {}
        # Jobs of streams that have stood still for too long.
        self.standstills: dict[ids.JobId, float] = {}

    @property
    def now(self) -> float:
        """The time on the clock of the leader."""
        return self.leader.now

    @property
    def worker_ids(self) -> list[ids.WorkerId]:
        """The workers that are up."""
        return list(self.leader.running_by_worker)

    # What callers do.

    def submit(
        self,
        step: model.Step,
        queue: ids.QueueId = leaders.QUEUE,
        run_time_s: float = 0.0,
    ) -> ids.JobId:
        """Submit a job of one step, which lasts unless it has a run time."""
        job = ids.JobId(f'{next(self._numbers):016x}')
        self.leader.submit(step, job=job, queue=queue)
        self._run_times[job] = (run_time_s, run_time_s)
        return job

    def _submit_stream(self, stream: Stream) -> None:
        due_at = self._next_job_at.setdefault(stream, self.now)
        while due_at <= self.now:
            job = self.submit(stream.step, stream.queue)
            self._run_times[job] = (stream.shortest_s, stream.longest_s)
            self.stream_jobs.append(job)
            due_at += 1 / stream.jobs_per_s
        self._next_job_at[stream] = due_at

    # What happens to workers and leaders.

    def lose(self, worker: ids.WorkerId) -> None:
        """Lose a worker for good, as the list of instances shows."""
        for run, running in list(self.running.items()):
            if running.worker == worker:
                del self.running[run]
                self._break_gang(run, running.step)
        del self.leader.running_by_worker[worker]
        dispatcher = self.leader.dispatcher
        runs = tuple(self.leader.state.runs_by_worker.get(worker, ()))
        if runs:
            self.leader.apply(commands.EndRuns((), runs, self.now))
        known = dispatcher.workers_by_id.get(worker)
        if known is not None:
            dispatcher.remove_worker(known)

    def _break_gang(self, lost: Run, step: model.Step) -> None:
        """End the other tasks of the gang of a lost run."""
        if not step.gang:
            return
        for run, running in list(self.running.items()):
            if run[0][:3] == lost[0][:3]:
                self._end(run, running, model.EndKind.BROKEN)

    def add(self, worker: ids.WorkerId) -> None:
        """Let a worker join, or come back under its id."""
        self._incarnations[worker] = self._incarnations.get(worker, 0) + 1
        self._end_counts[worker] = 0
        self._pending_ends[worker] = []
        self.leader.running_by_worker[worker] = ()

    def restart(self, worker: ids.WorkerId) -> None:
        """Restart a worker under its id; what it ran is gone."""
        self.lose(worker)
        self.add(worker)

    def change_leader(self) -> None:
        """Start another leader with the same replicated state."""
        self.leader.start_dispatcher()

    # Time.

    def advance(self, duration_s: float, *streams: Stream) -> None:
        """Let time pass while jobs of ``streams`` are handed in."""
        end = self.now + duration_s
        while self.now < end:
            self.leader.now += _INTERVAL_S
            for stream in streams:
                self._submit_stream(stream)
            for worker in self.worker_ids:
                self._answer(worker)
            self._find_standstills()

    def time_to_start_s(
        self, keys: list[model.TaskKey], limit_s: float, *streams: Stream
    ) -> float | None:
        """Let time pass until all tasks run; None if not all do in time."""
        begin = self.now
        while self.now < begin + limit_s:
            self.advance(_INTERVAL_S, *streams)
            running = {run[0] for run in self.running}
            if running.issuperset(keys):
                return self.now - begin
        return None

    def _answer(self, worker: ids.WorkerId) -> None:
        leader = self.leader
        for run, running in list(self.running.items()):
            if running.worker == worker and leader.now >= running.ends_at:
                if worker not in self.hanging_workers:
                    self._end(run, running, model.EndKind.DONE)
        leader.running_by_worker[worker] = tuple(
            workers.RunReport(*run, percent=self._percent(running))
            for run, running in self.running.items()
            if running.worker == worker
        )
        incarnation = self._incarnations[worker]
        leader.ended = tuple(self._pending_ends[worker])
        beat, _ = leader.beat(worker, incarnation)
        leader.ended = ()
        self._pending_ends[worker] = []
        command = leader.dispatcher.find_ended_runs(
            beat, leader.now, leader.now
        )
        if command is not None:
            leader.apply(command)
        leader.dispatcher.acknowledge(beat)
        for key, number in leader.give_orders(worker, incarnation):
            self._start(key, number, worker)

    def _percent(self, running: _Running) -> float:
        age_s = self.now - running.started_at
        if running.step.long_running:
            return 100.0 if age_s >= _STARTUP_S else 50.0
        if running.worker in self.hanging_workers:
            return 10.0
        return min(99.0, 100 * age_s / (running.ends_at - running.started_at))

    def _start(
        self, key: model.TaskKey, number: int, worker: ids.WorkerId
    ) -> None:
        spec = self.leader.state.jobs_by_id[key.job].spec
        assert spec is not None
        step = spec.steps[key.step]
        ends_at = float('inf')
        if not step.long_running:
            ends_at = self.now + self.rng.uniform(*self._run_times[key.job])
        self.running[key, number] = _Running(worker, self.now, ends_at, step)
        self.started_at_by_task[key] = self.now

    def _end(self, run: Run, running: _Running, kind: model.EndKind) -> None:
        del self.running[run]
        self._end_counts[running.worker] += 1
        self._pending_ends[running.worker].append(
            workers.EndReport(self._end_counts[running.worker], *run, kind)
        )

    # What is checked.

    def free(self, worker: ids.WorkerId) -> model.Resources:
        """Return the capacity of a worker that no run takes."""
        available = self.leader.capacity_by_worker.get(
            worker, leaders.CAPACITY
        )
        for running in self.running.values():
            if running.worker == worker:
                available = capacity.subtract(available, running.step.need)
        return available

    def _find_standstills(self) -> None:
        free = {worker: self.free(worker) for worker in self.worker_ids}
        free_millicores = sum(left.millicores for left in free.values())
        total = len(free) * leaders.CAPACITY.millicores
        is_half_used = 2 * free_millicores <= total
        running_jobs = {key.job for key, _ in self.running}
        for job_id in self.stream_jobs:
            job = self.leader.state.open_jobs.get(job_id)
            if (
                job is None
                or job_id in running_jobs
                or is_half_used
                or not self._has_room_for_two(job, free)
            ):
                self._standing_since.pop(job_id, None)
                continue
            since = self._standing_since.setdefault(job_id, self.now)
            if self.now > since + MAX_STANDSTILL_S:
                self.standstills[job_id] = self.now - since

    @staticmethod
    def _has_room_for_two(
        job: model.Job, free: dict[ids.WorkerId, model.Resources]
    ) -> bool:
        assert job.spec is not None
        need = job.spec.steps[0].need
        return any(
            capacity.count_fitting(need, left) >= 2 for left in free.values()
        )

    def open_stream_jobs(self) -> list[ids.JobId]:
        """Return the jobs of streams that have not ended."""
        open_jobs = self.leader.state.open_jobs
        return [job for job in self.stream_jobs if job in open_jobs]

    def tasks(self, job: ids.JobId) -> list[model.TaskKey]:
        """Return the keys of the tasks of a job of one step."""
        spec = self.leader.state.jobs_by_id[job].spec
        assert spec is not None
        return [
            model.TaskKey(job, 0, 0, position)
            for position in range(spec.steps[0].count)
        ]

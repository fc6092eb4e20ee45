"""Plays the life of one large job and measures each piece of work.

A piece is what the event loop of a node does without a pause: one command
applied, one heartbeat processed, one assignment pass.
"""

from __future__ import annotations

import contextlib
import dataclasses
import time

from verbenastream import ids
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import lost_workers
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import state as states
from verbenastream.process.jobqueue import upkeep
from verbenastream_testing.jobqueue import leader as leaders

WORKERS = 8
# Enough for all tasks on half of the workers.
CAPACITY = model.Resources(50_000, 50_000, 0)
# The piece of work of a replica that does not lead.
RESTORE = 'restore'
# All heartbeats are answered this often, until everything has started.
_MAX_ROUNDS = 200


class LargeJob:
    """A leader with ``WORKERS`` workers that runs one job.

    ``longest_s_by_piece`` is the longest processor time of each kind of piece
    of work, in seconds::

        played = LargeJob(model.JobSpec('spec', (step,)))
        played.start_all()
        played.longest_s_by_piece['assignment pass']
    """

    def __init__(self, spec: model.JobSpec) -> None:
        self.longest_s_by_piece: dict[str, float] = {}
        self.leader = leader = leaders.Leader(WORKERS)
        self.worker_ids = list(leader.running_by_worker)
        for worker in self.worker_ids:
            leader.capacity_by_worker[worker] = CAPACITY
        leader.beat_all()
        self._spec = spec
        with self._piece('submission'):
            leader.submit_spec(spec)

    @contextlib.contextmanager
    def _piece(self, name):
        started_at = time.thread_time()
        yield
        elapsed_s = time.thread_time() - started_at
        longest_s = self.longest_s_by_piece.get(name, 0.0)
        self.longest_s_by_piece[name] = max(longest_s, elapsed_s)

    @property
    def job(self):
        return self.leader.state.jobs_by_id[leaders.JOB]

    def assign(self):
        leader = self.leader
        with self._piece('assignment pass'):
            leader.dispatcher.assign(leader.now, leader.now)

    def start_all(self):
        """Answer heartbeats until all tasks run; return whether they do."""
        total = sum(step.count for step in self._spec.steps)
        for _ in range(_MAX_ROUNDS):
            self.leader.now += 0.25
            self.assign()
            for worker in self.worker_ids:
                self._answer_heartbeat(worker)
            if self.leader.count_runs() == total * self._spec.occurrence_count:
                return True
        return False

    def _answer_heartbeat(self, worker):
        leader = self.leader
        dispatcher = leader.dispatcher
        with self._piece('heartbeat'):
            heartbeat, _ = leader.beat(worker)
            dispatcher.find_ended_runs(heartbeat, leader.now, leader.now)
        with self._piece('start command'):
            command = dispatcher.build_start_command(heartbeat, leader.now)
        numbers = []
        if command is not None:
            with self._piece('start applied'):
                numbers = leader.apply(command)
            with self._piece('starts finished'):
                dispatcher.finish_starts(command)
        with self._piece('orders'):
            dispatcher.build_orders(heartbeat, command, numbers, 1, leader.now)
        leader.report_runs(worker)

    def report_all(self):
        for worker in self.worker_ids:
            with self._piece('heartbeat'):
                self.leader.report_runs(worker)

    def drain(self, worker):
        """Answer a heartbeat of a worker that drains."""
        leader = self.leader
        leader.now += 0.25
        heartbeat, _ = leader.beat(worker)
        heartbeat = dataclasses.replace(
            heartbeat, sequence=heartbeat.sequence + 1, draining=True
        )
        leader.sequence += 1
        with self._piece('heartbeat of a draining worker'):
            leader.dispatcher.observe(heartbeat, leader.now)
            leader.dispatcher.build_orders(heartbeat, None, [], 1, leader.now)

    def plan_wave(self):
        """Plan the maintenance of all instances."""
        leader = self.leader
        ids_by_worker = {
            worker: ids.InstanceId(f'm-{worker}') for worker in self.worker_ids
        }
        leader.apply(
            commands.RequestWave(
                1, tuple(ids_by_worker.values()), 100.0, 2, leader.now
            )
        )
        listing = instances.Listing(
            leader.now,
            {
                id: instances.Instance(
                    id,
                    leaders.POOL,
                    instances.InstanceState.UP,
                    ids.DataCentreId('dc-1'),
                    ids.RackId('rack-1'),
                    CAPACITY,
                    worker=worker,
                )
                for worker, id in ids_by_worker.items()
            },
        )
        planner = upkeep.MaintenancePlanner(leader.state, leader.dispatcher)
        for _ in range(3):
            leader.now += 0.25
            with self._piece('plan of a wave'):
                planner.plan(listing, set(), leader.now, leader.now)

    def end_runs(self, worker):
        """Report the end of 500 runs, the most that a heartbeat lists."""
        leader = self.leader
        runs = list(leader.state.runs_by_worker.get(worker, ()))[:500]
        ends = tuple(
            commands.RunEnd(key, number, model.EndKind.DONE)
            for key, number in runs
        )
        with self._piece('ends applied'):
            leader.apply(commands.EndRuns(ends, (), leader.now))

    def crash(self, worker):
        leader = self.leader
        dispatcher = leader.dispatcher
        known = dispatcher.workers_by_id[worker]
        with self._piece('crash reported'):
            command = dispatcher.ended_workers.find_runs(
                known, lost_workers.LossReason.WORKER_CRASHED, leader.now
            )
        if command is not None:
            with self._piece('crash applied'):
                leader.apply(command)
        with self._piece('worker removed'):
            dispatcher.remove_worker(known)

    def remove_assigned_worker(self, worker):
        """Remove a worker while tasks are assigned to it."""
        self.assign()
        known = self.leader.dispatcher.workers_by_id[worker]
        with self._piece('worker removed'):
            self.leader.dispatcher.remove_worker(known)

    def restore(self):
        with self._piece('snapshot'):
            data = self.leader.state.snapshot()
        state = states.JobQueueState()
        with self._piece(RESTORE):
            state.restore(data)

    def change_leader(self):
        """Let a new leader take over from the same state."""
        leader = self.leader
        leader.start_dispatcher()
        leader.beat_all()
        self.assign()

    def cancel(self):
        leader = self.leader
        with self._piece('cancellation'):
            leader.apply(
                commands.Cancel(leaders.JOB, leaders.QUEUE, leader.now)
            )
        self.assign()

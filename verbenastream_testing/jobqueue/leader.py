"""A leader of the job queue on a manual clock, without log or network."""

from __future__ import annotations

import dataclasses

from verbenastream import ids
from verbenastream.process.jobqueue import availability
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import dispatcher as dispatchers
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import state as states
from verbenastream.process.jobqueue import workers
from verbenastream import wire

POOL = ids.PoolId('pool-a')
SPARE_POOL = ids.PoolId('pool-s')
QUEUE = ids.QueueId('queue-a')
JOB = ids.JobId('00000000000000aa')
CAPACITY = model.Resources(16_000, 65_536, 0)


def configuration(version=1, objective_s=3.0, spare=False):
    pools = [model.Pool(POOL)]
    if spare:
        pools.append(model.Pool(SPARE_POOL, spare=True))
    queue = model.Queue(
        QUEUE, 'h', '/a/', POOL, max_attempts=3, objective_s=objective_s
    )
    return model.Configuration(version, (queue,), tuple(pools), f'{version}')


def heartbeat(worker, instance, sequence, incarnation=1):
    """Return the heartbeat of an idle worker."""
    return workers.Heartbeat(
        worker=ids.WorkerId(worker),
        incarnation=incarnation,
        sequence=sequence,
        pool=POOL,
        data_centre=ids.DataCentreId('dc-1'),
        instance=ids.InstanceId(instance),
        rack=ids.RackId('rack-1'),
        labels=frozenset(),
        capacity=CAPACITY,
        draining=False,
        leaves_in_s=None,
        running=(),
        ended=(),
    )


class Leader:
    """State, dispatcher and workers of a leader at the time ``now``."""

    def __init__(self, worker_count, spare=False):
        self.now = 100.0
        self.index = 0
        self.state = states.JobQueueState()
        self.start_dispatcher()
        self.apply(commands.Configure(configuration(spare=spare), 0.0))
        self.running_by_worker = {}
        # Those of workers whose capacity is not the usual one.
        self.capacity_by_worker = {}
        # Labels and pools of workers where they are not the usual ones.
        self.labels_by_worker = {}
        self.pool_by_worker = {}
        self.sequence = 0
        # Ends that the next heartbeats report.
        self.ended = ()
        for position in range(worker_count):
            self.running_by_worker[ids.WorkerId(f'w{position}')] = ()
        self.beat_all()

    def start_dispatcher(self):
        self.dispatcher = dispatchers.Dispatcher(
            self.state, dispatchers.Limits(), self.now
        )
        self.state.on_applied = self.dispatcher.on_command_applied

    def apply(self, command):
        self.index += 1
        return self.state.apply(ids.LogIndex(self.index), wire.encode(command))

    def beat(self, worker, incarnation=1):
        self.sequence += 1
        beat = dataclasses.replace(
            heartbeat(worker, f'm-{worker}', self.sequence, incarnation),
            running=self.running_by_worker[worker],
            capacity=self.capacity_by_worker.get(worker, CAPACITY),
            labels=self.labels_by_worker.get(worker, frozenset()),
            pool=self.pool_by_worker.get(worker, POOL),
            ended=self.ended,
        )
        verdict = self.dispatcher.observe(beat, self.now)
        if verdict is dispatchers.HeartbeatStatus.CURRENT:
            self.dispatcher.workers_by_id[worker].extend_lease(4.0, self.now)
        return beat, verdict

    def beat_all(self):
        for worker in self.running_by_worker:
            self.beat(worker)

    def submit(self, *steps, job=JOB, queue=QUEUE):
        return self.submit_spec(model.JobSpec('spec', steps), job, queue)

    def submit_spec(self, spec, job=JOB, queue=QUEUE):
        return self.apply(commands.Submit(job, queue, spec, self.now))

    def give_orders(self, worker, incarnation=1):
        """Answer a heartbeat; return the tasks and runs that it starts."""
        beat, _ = self.beat(worker, incarnation)
        self.dispatcher.assign(self.now, self.now)
        started = self.dispatcher.build_start_command(beat, self.now)
        if started is None:
            return []
        numbers = self.apply(started)
        self.dispatcher.finish_starts(started)
        orders = self.dispatcher.build_orders(
            beat, started, numbers, 1, self.now
        )
        return [(start.task, start.run) for start in orders.starts]

    def report_runs(
        self,
        worker,
        percent=100.0,
        measurements_by_step=None,
        incarnation=1,
    ):
        """Send a heartbeat that lists all runs started on a worker."""
        runs = self.state.runs_by_worker.get(worker, {})
        measurements_by_step = measurements_by_step or {}
        self.running_by_worker[worker] = tuple(
            workers.RunReport(
                key,
                number,
                '',
                percent,
                measurements_by_step.get(key.step, 0.0),
            )
            for key, number in runs
        )
        self.beat(worker, incarnation)

    def count_runs(self):
        return sum(map(len, self.state.runs_by_worker.values()))

    def availability(self):
        return availability.Availability(
            self.state, self.dispatcher.workers_by_id
        )

"""Steps for maintenance waves of instances that run long-running tasks."""

from __future__ import annotations

import behave

from verbenastream import ids
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import upkeep
from verbenastream.process.jobqueue import waves
from verbenastream.process.jobqueue import workers
from verbenastream_testing.jobqueue import leader as leaders

_TICK_S = 0.25
_STARTUP_S = 1.0
_MAINTENANCE_S = 2.0
_OVERSIZED_JOB = ids.JobId('00000000000000bb')


class _Fleet:
    """A leader whose workers carry out orders on the clock of the steps."""

    def __init__(self, worker_count):
        self.leader = leaders.Leader(worker_count)
        self.planner = upkeep.MaintenancePlanner(
            self.leader.state, self.leader.dispatcher
        )
        self._started_at_by_run = {}
        self._down_until_by_worker = {}
        self._incarnation_by_worker = {}
        self.max_unavailable = 0
        # How long a run goes on after its worker was told to stop it.
        self.stop_s = 0.0
        # Instances that the planner must not take down now.
        self.excluded = set()
        self._stops_at_by_run = {}

    @property
    def wave(self):
        return self.leader.state.waves.waves_by_number[1]

    def start_waiting(self):
        leader = self.leader
        leader.dispatcher.assign(leader.now, leader.now)
        for worker in self._workers_up():
            for key, run in leader.give_orders(worker):
                self._started_at_by_run[key, run] = self.leader.now

    def make_available(self):
        self.leader.now += _STARTUP_S + _TICK_S
        self._beat()

    def run_for(self, duration_s):
        end = self.leader.now + duration_s
        while self.leader.now < end:
            self.leader.now += _TICK_S
            self._beat()
            self._plan()
            self.start_waiting()
            self._record_availability()

    def _workers_up(self):
        now = self.leader.now
        return [
            worker
            for worker in self.leader.running_by_worker
            if self._down_until_by_worker.get(worker, now) <= now
        ]

    def _beat(self):
        leader = self.leader
        for worker in self._workers_up():
            known = leader.dispatcher.workers_by_id.get(worker)
            for key_and_run in () if known is None else known.stops:
                self._stops_at_by_run.setdefault(
                    key_and_run, leader.now + self.stop_s
                )
            for key, run in tuple(leader.state.runs_by_worker.get(worker, ())):
                if self._stops_at_by_run.get((key, run), leader.now + 1.0) <= (
                    leader.now
                ):
                    end = commands.RunEnd(key, run, model.EndKind.STOPPED, '')
                    leader.apply(commands.EndRuns((end,), (), leader.now))
            self._report(worker)

    def stop_task(self, instance):
        """Tell the worker of ``instance`` to stop one of its tasks."""
        worker = _worker_of(instance)
        run = min(self.leader.state.runs_by_worker[worker])
        self.leader.dispatcher.workers_by_id[worker].stops.add(run)
        self._beat()

    def _report(self, worker):
        leader = self.leader
        incarnation = self._incarnation_by_worker.get(worker, 1)
        runs = leader.state.runs_by_worker.get(worker, {})
        leader.running_by_worker[worker] = tuple(
            workers.RunReport(
                key, number, '', 100.0 if self._is_started(key, number) else 0
            )
            for (key, number), run in runs.items()
            if run.incarnation == incarnation
        )
        leader.beat(worker, incarnation)
        lost = tuple(
            key_and_number
            for key_and_number, run in runs.items()
            if run.incarnation < incarnation
        )
        if lost:
            leader.apply(commands.EndRuns((), lost, leader.now))

    def _is_started(self, key, run):
        return self.leader.now >= (
            self._started_at_by_run[key, run] + _STARTUP_S
        )

    def _is_available(self, key, run):
        incarnation = self._incarnation_by_worker.get(run.worker, 1)
        return (
            self._is_started(key, run.number)
            and run.incarnation == incarnation
            and (key, run.number) not in self._stops_at_by_run
        )

    def _listing(self):
        now = self.leader.now
        rows = [
            instances.Instance(
                ids.InstanceId(f'm-{worker}'),
                leaders.POOL,
                instances.InstanceState.MAINTENANCE
                if self._down_until_by_worker.get(worker, now) > now
                else instances.InstanceState.UP,
                ids.DataCentreId('dc-1'),
                ids.RackId('rack-1'),
                leaders.CAPACITY,
            )
            for worker in self.leader.running_by_worker
        ]
        return instances.Listing(now, {row.id: row for row in rows})

    def _plan(self):
        now = self.leader.now
        for action in self.planner.plan(
            self._listing(), self.excluded, now, now
        ):
            match action:
                case upkeep.RecordPhase():
                    self._record(action.instance, action.phase)
                case upkeep.TakeDown():
                    self._take_down(action)

    def _record(self, instance, phase):
        self.leader.apply(
            commands.RecordMaintenancePhase(
                1, instance, phase.value, self.leader.now
            )
        )

    def begin_maintenance(self, instance):
        begun = commands.BeginMaintenance(1, instance, self.leader.now)
        assert self.leader.apply(begun)

    def take_over(self):
        """Continue as a new leader, which knows only what was committed."""
        self.leader.start_dispatcher()
        self.planner = upkeep.MaintenancePlanner(
            self.leader.state, self.leader.dispatcher
        )
        self._beat()

    def _take_down(self, action):
        leader = self.leader
        worker = _worker_of(action.instance)
        phase = self.wave.phases_by_id[action.instance]
        if phase is waves.MaintenancePhase.WAITING:
            self.begin_maintenance(action.instance)
        self._record(action.instance, waves.MaintenancePhase.TAKEN)
        self.planner.taken_down_at_by_id[action.instance] = leader.now
        runs = tuple(leader.state.runs_by_worker.get(worker, ()))
        leader.apply(commands.EndRuns((), runs, leader.now))
        leader.dispatcher.remove_worker(
            leader.dispatcher.workers_by_id[worker]
        )
        self.lose_worker(action.instance)

    def lose_worker(self, instance):
        worker = _worker_of(instance)
        self._down_until_by_worker[worker] = self.leader.now + _MAINTENANCE_S
        self._incarnation_by_worker[worker] = 2

    def _record_availability(self):
        [tasks] = self.leader.state.jobs_by_id[leaders.JOB].tasks[0]
        available = sum(
            any(
                self._is_available(
                    model.TaskKey(leaders.JOB, 0, 0, index), run
                )
                for run in task.live_runs
            )
            for index, task in enumerate(tasks)
        )
        self.max_unavailable = max(
            self.max_unavailable, len(tasks) - available
        )


def _worker_of(instance):
    return ids.WorkerId(instance.removeprefix('m-'))


@behave.given('a leader with {count:d} workers that always has waiting work')
def step_leader(context, count):
    context.fleet = _Fleet(count)


@behave.given(
    'a long-running step of {count:d} tasks of which {missing:d} may be '
    'unavailable'
)
def step_long_running(context, count, missing):
    context.fleet.leader.submit(
        model.Step(
            count,
            model.Resources(1000, 100),
            1.0,
            long_running=True,
            max_unavailable=missing,
        )
    )
    context.fleet.start_waiting()
    context.fleet.make_available()
    # A task that fits nowhere keeps the pool from ever having no work.
    context.fleet.leader.submit(
        model.Step(1, model.Resources(99_000, 100), 1.0), job=_OVERSIZED_JOB
    )
    context.fleet.start_waiting()


@behave.when('the maintenance of all instances with these tasks has begun')
def step_begun(context):
    step_wave(context, 60)
    for name in context.fleet.wave.phases_by_id:
        context.fleet.begin_maintenance(name)


@behave.when('a worker needs {stop_s:f} s to stop a task for a wave')
def step_stopping(context, stop_s):
    context.fleet.stop_s = stop_s
    # So soon that the evacuation begins at once.
    step_wave(context, 10)
    context.fleet.stop_task(max(context.fleet.wave.phases_by_id))


@behave.when('an instance is taken down and another leader takes over')
def step_taken_down(context):
    # So soon that the evacuation begins at once.
    step_wave(context, 10)
    context.instance = max(context.fleet.wave.phases_by_id)
    context.fleet.begin_maintenance(context.instance)
    context.fleet.lose_worker(context.instance)
    context.fleet.take_over()


@behave.when('a late heartbeat of its worker arrives')
def step_late_heartbeat(context):
    fleet = context.fleet
    fleet.leader.beat(_worker_of(context.instance))
    # A new leader does not repeat calls of its predecessor at once.
    fleet.excluded = {context.instance}
    fleet.run_for(3.0)
    fleet.excluded = set()


@behave.when('another leader takes over')
def step_take_over(context):
    context.fleet.take_over()


@behave.when('a wave of the instances with these tasks is due in {due:d} s')
def step_wave(context, due):
    leader = context.fleet.leader
    names = tuple(
        ids.InstanceId(f'm-{worker}')
        for worker, runs in leader.state.runs_by_worker.items()
        if runs
    )
    assert len(names) == 6, names
    # Longer than an unknown worker may take to report.
    leader.now += 8.0
    context.fleet.make_available()
    leader.apply(
        commands.RequestWave(1, names, float(due), len(names), leader.now)
    )
    context.due_s = due


@behave.then('all of them are maintained by then')
def step_complete(context):
    step_complete_within(context, context.due_s)


@behave.then('all of them are maintained within {duration_s:d} s')
def step_complete_within(context, duration_s):
    context.fleet.run_for(duration_s)
    assert context.fleet.wave.completed, context.fleet.wave


@behave.then('at most {limit:d} of the tasks were unavailable at any time')
def step_available(context, limit):
    assert context.fleet.max_unavailable <= limit, (
        context.fleet.max_unavailable
    )


@behave.then('all workers still get tasks after {after:d} s')
def step_keeps_workers(context, after):
    context.fleet.run_for(after)
    step_all_open(context)


@behave.then('all workers get tasks again')
def step_all_open(context):
    closed = [
        worker.id
        for worker in context.fleet.leader.dispatcher.workers_by_id.values()
        if not worker.is_open
    ]
    assert not closed, closed

"""Steps for moves of idle instances whose calls fail or take time."""

from __future__ import annotations

from unittest import mock

import behave

from verbenastream import ids
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import errors
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import model
from verbenastream_testing.jobqueue import leader as leaders
from verbenastream_testing.jobqueue import leader_service

_NAMES = ('m-1', 'm-2', 'm-3')
_TICK_S = 0.25
# An instance moves once it has been idle for this long.
_IDLE_S = 2.0


def _worker(name):
    return ids.WorkerId(f'worker-of-{name}')


class _Fleet:
    """A leader and idle workers that report at each tick of its clock."""

    def __init__(self):
        self.leader = leader_service.LeaderService()
        self.platform = self.leader.platform
        self.platform.names = _NAMES
        self.platform.worker_by_id = {name: _worker(name) for name in _NAMES}
        self._sequence = 0
        # Instances whose workers send no heartbeats.
        self.silent_names = set()
        self.leader.plan()
        configuration = leaders.configuration(spare=True)
        self.leader.run(
            self.service.propose(commands.Configure(configuration, 0.0))
        )

    @property
    def service(self):
        return self.leader.service

    @property
    def dispatcher(self):
        return self.service.dispatcher

    def run_for(self, duration_s):
        end = self.leader.now + duration_s
        while self.leader.now < end:
            self.leader.now += _TICK_S
            self._sequence += 1
            for name in _NAMES:
                if name in self.silent_names:
                    continue
                heartbeat = leaders.heartbeat(
                    _worker(name), name, self._sequence
                )
                self.dispatcher.observe(heartbeat, self.leader.now)
                self.dispatcher.find_worker(_worker(name)).extend_lease(
                    6.0, self.leader.now
                )
            self.leader.plan()

    async def submit(self):
        """Submit a task for each worker and assign them."""
        step = model.Step(len(_NAMES), leaders.CAPACITY, 1.0)
        spec = model.JobSpec('spec', (step,))
        await self.service.propose(
            commands.Submit(leaders.JOB, leaders.QUEUE, spec, self.leader.now)
        )
        self.dispatcher.assign(self.leader.now, self.leader.now)

    def assigned_workers(self):
        return {
            worker.id
            for worker in self.dispatcher.workers_by_id.values()
            if worker.assigned_by_task
        }


@behave.given('a leader with 3 idle workers and a spare pool')
def step_idle_workers(context):
    context.fleet = _Fleet()
    context.add_cleanup(context.fleet.leader.loop.close)


def _on_moves(fleet, action):
    """Call ``action`` before each command that moves instances."""
    propose = fleet.service.propose

    async def propose_moves(command, *arguments):
        if isinstance(command, commands.BeginMoves):
            await action()
        return await propose(command, *arguments)

    return mock.patch.object(fleet.service, 'propose', propose_moves)


@behave.when('a job for all workers arrives while a move is committed')
def step_job_arrives(context):
    fleet = context.fleet

    async def submit():
        await fleet.submit()
        # The next heartbeats of these workers would start the tasks.
        context.assigned = fleet.assigned_workers()

    with _on_moves(fleet, submit):
        fleet.run_for(_IDLE_S)


@behave.then('no task is assigned to the worker that moves')
def step_not_assigned(context):
    fleet = context.fleet
    [(moved, _)] = fleet.platform.moves
    expected = {_worker(name) for name in _NAMES if name != moved}
    assert context.assigned == expected, context.assigned


@behave.when('the log commits no move')
def step_no_commit(context):
    async def fail():
        context.failures += 1
        raise errors.OutcomeUnknownError('no majority', 'Repeat the call.')

    context.failures = 0
    with _on_moves(context.fleet, fail):
        try:
            context.fleet.run_for(_IDLE_S)
        except errors.OutcomeUnknownError:
            pass
    assert context.failures == 1, context.failures


@behave.then('the platform is not called and all workers get tasks')
def step_not_called(context):
    assert not context.fleet.platform.moves, context.fleet.platform.moves
    step_all_assigned(context)


@behave.when('the platform answers no move for {duration_s:g} s')
def step_no_answer(context, duration_s):
    fleet = context.fleet
    fleet.platform.outcome = instances.CallOutcome.UNKNOWN
    while not fleet.platform.moves:
        fleet.run_for(_TICK_S)
    fleet.leader.run(fleet.submit())
    fleet.run_for(duration_s)


@behave.then('one worker gets no tasks')
def step_one_closed(context):
    fleet = context.fleet
    fleet.dispatcher.assign(fleet.leader.now, fleet.leader.now)
    assert len(fleet.assigned_workers()) == 2, fleet.assigned_workers()


@behave.when(
    'the list still shows all instances in their pool {age_s:g} s later'
)
def step_still_listed(context, age_s):
    context.fleet.run_for(age_s)


@behave.then('all workers get tasks')
def step_all_assigned(context):
    fleet = context.fleet
    if leaders.JOB not in fleet.leader.state.jobs_by_id:
        fleet.leader.run(fleet.submit())
    fleet.dispatcher.assign(fleet.leader.now, fleet.leader.now)
    assert len(fleet.assigned_workers()) == 3, fleet.assigned_workers()


@behave.when('a move is given up without an answer after {time_s:g} s')
def step_given_up(context, time_s):
    fleet = context.fleet
    fleet.platform.outcome = instances.CallOutcome.UNKNOWN

    def wait():
        fleet.leader.now += time_s

    fleet.platform.on_call = wait
    while not fleet.platform.moves:
        fleet.run_for(_TICK_S)
    fleet.platform.on_call = lambda: None
    fleet.leader.run(fleet.submit())


@behave.then('one worker gets no tasks {time_s:g} s later')
def step_one_waits(context, time_s):
    _run_and_assign(context.fleet, time_s)
    assigned = context.fleet.assigned_workers()
    assert len(assigned) == len(_NAMES) - 1, assigned


@behave.then('all workers get tasks {time_s:g} s later')
def step_all_later(context, time_s):
    _run_and_assign(context.fleet, time_s)
    assigned = context.fleet.assigned_workers()
    assert len(assigned) == len(_NAMES), assigned


def _run_and_assign(fleet, duration_s):
    """Assign tasks after each plan, as the leader does."""
    end = fleet.leader.now + duration_s
    while fleet.leader.now < end:
        fleet.run_for(_TICK_S)
        fleet.dispatcher.assign(fleet.leader.now, fleet.leader.now)


@behave.when('a move is answered as done while the list shows the worker')
def step_done_before(context):
    fleet = context.fleet
    fleet.platform.outcome = instances.CallOutcome.DONE
    while not fleet.platform.moves:
        fleet.run_for(_TICK_S)


@behave.then('all workers are still known')
def step_all_known(context):
    known = set(context.fleet.dispatcher.workers_by_id)
    assert known == {_worker(name) for name in _NAMES}, known


@behave.when('the list shows the moved instance in the spare pool')
def step_list_moved(context):
    fleet = context.fleet
    [(moved, pool)] = fleet.platform.moves
    fleet.platform.pool_by_id = {moved: pool}
    fleet.platform.worker_by_id[moved] = ''
    fleet.silent_names = {moved}
    fleet.run_for(2.0)


@behave.then('one worker has ended')
def step_one_ended(context):
    known = context.fleet.dispatcher.workers_by_id
    assert len(known) == len(_NAMES) - 1, known

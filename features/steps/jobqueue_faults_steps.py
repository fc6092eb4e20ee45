"""Steps that run seeded schedules of faults against the job queue."""

from __future__ import annotations

import contextlib
import dataclasses
from unittest import mock

import behave

from verbenastream.process.jobqueue import dispatcher
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import lost_workers
from verbenastream.process.jobqueue import model
from verbenastream.process.node import duties
from verbenastream.process.node import service
from verbenastream_testing.jobqueue import schedule

# Each of the mutations below is detected within this many schedules.
_SEEDS_TO_CATCH = 25


_WORKLOADS_BY_NAME = {
    'schedules': schedule.Workload.PLAIN,
    'mixed schedules': schedule.Workload.MIXED,
    'schedules of maintenance': schedule.Workload.MAINTENANCE,
    'schedules of moves': schedule.Workload.MOVES,
    'schedules of a lost worker': schedule.Workload.UNPLACEABLE,
}


@behave.when('the {kind} with seeds {first:d} to {last:d} are played')
def step_play(context, kind, first, last):
    context.results = [
        schedule.play(seed, workload=_WORKLOADS_BY_NAME[kind])
        for seed in range(first, last + 1)
    ]


@behave.then('no rule is broken and every accepted job ends')
def step_rules_hold(context):
    for result in context.results:
        assert result.jobs > 10 and result.starts > 10, result
        assert not result.violations, result
        assert not result.unfinished, result


def _expire_at_once(self, now, unix_time):
    runs = [
        key
        for worker_runs in self._state.runs_by_worker.values()
        for key in worker_runs
    ]
    if not runs:
        return None
    return dispatcher.commands.EndRuns((), tuple(runs), unix_time)


def _require_dispatcher_only(self):
    if self.dispatcher is None:
        raise service.errors.UnavailableError('no leader', 'Ask another.')
    return self.dispatcher


_MUTATIONS_BY_NAME = {
    'leases that expire at once': lambda: mock.patch.object(
        dispatcher.Dispatcher, 'find_expired_runs', _expire_at_once
    ),
    'orders of a leader without a lease': lambda: _stale_leader(),
    'unlisted runs lost at any heartbeat': lambda: mock.patch.object(
        dispatcher.Dispatcher, 'find_ended_runs', _lose_unlisted_runs
    ),
    'dependencies that are not checked': lambda: mock.patch.object(
        model.Job, 'dependencies_done', lambda self, occurrence, step: True
    ),
}


@contextlib.contextmanager
def _stale_leader():
    """Let a new leader count every run without a heartbeat as lost."""
    original = dispatcher.Dispatcher.__init__

    def init(self, state, limits, now, *others):
        original(self, state, limits, now - 100.0, *others)

    with mock.patch.object(dispatcher.Dispatcher, '__init__', init):
        yield


def _lose_unlisted_runs(self, heartbeat, now, unix_time):
    """End unlisted runs as lost, whichever heartbeat carried their start."""
    listed = {(row.task, row.run) for row in heartbeat.running}
    ends = dispatcher.workers.new_ends(
        self.workers_by_id[heartbeat.worker], heartbeat
    )
    lost = [
        key
        for worker, runs in self._state.runs_by_worker.items()
        for key in runs
        if key not in listed and worker != heartbeat.worker
    ]
    if not ends and not lost:
        return None
    return dispatcher.commands.EndRuns(tuple(ends), tuple(lost), unix_time)


async def _end_worker_on_answer(self, dispatcher, action, outcome):
    """Handle an answer, and take "done" for the end of the worker."""
    await _RECORD_OUTCOME(self, dispatcher, action, outcome)
    worker = dispatcher.find_worker(action.worker)
    if outcome is instances.CallOutcome.DONE and worker is not None:
        await self._service.remove_worker(
            worker, lost_workers.LossReason.TAKEN_DOWN
        )


async def _give_up_place(self, dispatcher, action, outcome):
    """Handle an answer, and take "busy" for a call without effect."""
    if outcome is instances.CallOutcome.BUSY:
        action = dataclasses.replace(action, is_repeated=False)
    await _RECORD_OUTCOME(self, dispatcher, action, outcome)


_RECORD_OUTCOME = duties.InstanceController._record_outcome
_MAINTENANCE_MUTATIONS_BY_NAME = {
    'answers that end workers': _end_worker_on_answer,
    'places given up when busy': _give_up_place,
}


@behave.when('the schedules run with {change}')
def step_play_broken(context, change):
    with _MUTATIONS_BY_NAME[change]():
        context.broken = _first_violations(schedule.Workload.PLAIN)


@behave.when('the schedules of maintenance run with {change}')
def step_play_broken_maintenance(context, change):
    with mock.patch.object(
        duties.InstanceController,
        '_record_outcome',
        _MAINTENANCE_MUTATIONS_BY_NAME[change],
    ):
        context.broken = _first_violations(schedule.Workload.MAINTENANCE)


def _first_violations(workload):
    for seed in range(_SEEDS_TO_CATCH):
        violations = schedule.play(seed, workload=workload).violations
        if violations:
            return violations
    return []


@behave.then('a schedule reports {rule}')
def step_caught(context, rule):
    assert any(text.startswith(rule) for text in context.broken), (
        context.broken[:3]
    )

"""Steps that run seeded schedules of faults against the job queue."""

from __future__ import annotations

import contextlib
from unittest import mock

import behave

from verbenastream.process.jobqueue import dispatcher
from verbenastream.process.jobqueue import model
from verbenastream.process.node import service
from verbenastream_testing.jobqueue import schedule

# Each of the mutations below is detected within this many schedules.
_SEEDS_TO_CATCH = 25


@behave.when('the schedules with seeds {first:d} to {last:d} are played')
def step_play(context, first, last):
    context.results = [schedule.play(seed) for seed in range(first, last + 1)]


@behave.when('the mixed schedules with seeds {first:d} to {last:d} are played')
def step_play_mixed(context, first, last):
    context.results = [
        schedule.play(seed, workload=schedule.Workload.MIXED)
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


@behave.when('the schedules run with {change}')
def step_play_broken(context, change):
    context.broken = []
    with _MUTATIONS_BY_NAME[change]():
        for seed in range(_SEEDS_TO_CATCH):
            context.broken = schedule.play(seed).violations
            if context.broken:
                break


@behave.then('a schedule reports {rule}')
def step_caught(context, rule):
    assert any(text.startswith(rule) for text in context.broken), (
        context.broken[:3]
    )

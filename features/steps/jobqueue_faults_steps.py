"""Steps that play seeded schedules against the job queue."""

from __future__ import annotations

import contextlib
from unittest import mock

import behave

from verbenastream.process.jobqueue import dispatcher
from verbenastream.process.jobqueue import model
from verbenastream.process.node import service
from verbenastream_testing.jobqueue import schedule

# A fault that is easy to cause shows within this many schedules.
_SEEDS_TO_CATCH = 25


@behave.when('the schedules with seeds {first:d} to {last:d} are played')
def step_play(context, first, last):
    context.results = [schedule.play(seed) for seed in range(first, last + 1)]


@behave.then('no rule is broken and every accepted job ends')
def step_rules_hold(context):
    for result in context.results:
        assert result.jobs > 10 and result.starts > 10, result
        assert not result.violations, result
        assert not result.unfinished, result


def _expire_at_once(self, now, wall):
    runs = [
        key for found in self._state.runs_by_worker.values() for key in found
    ]
    if not runs:
        return None
    return dispatcher.commands.EndRuns((), tuple(runs), wall)


def _require_nothing(self):
    if self.dispatcher is None:
        raise service.errors.UnavailableError('no leader', 'Ask another.')
    return self.dispatcher


_CHANGES = {
    'leases that count as over at once': lambda: mock.patch.object(
        dispatcher.Dispatcher, 'expired', _expire_at_once
    ),
    'orders of a leader without a lease': lambda: _stale_leader(),
    'unlisted runs given up at any beat': lambda: mock.patch.object(
        dispatcher.Dispatcher, 'reported', _give_up_unlisted
    ),
    'dependencies that are not checked': lambda: mock.patch.object(
        model.Job, 'dependencies_done', lambda self, occurrence, step: True
    ),
}


@contextlib.contextmanager
def _stale_leader():
    """A new leader takes every run that it has not heard of for lost."""
    original = dispatcher.Dispatcher.__init__

    def init(self, state, limits, now):
        original(self, state, limits, now - 100.0)

    with mock.patch.object(dispatcher.Dispatcher, '__init__', init):
        yield


def _give_up_unlisted(self, beat, now, wall):
    """Ignore which heartbeat a start was answered to."""
    listed = {(row.task, row.run) for row in beat.running}
    ends = dispatcher.workers.new_ends(self.workers_by_id[beat.worker], beat)
    live = [
        key
        for worker, runs in self._state.runs_by_worker.items()
        for key in runs
        if key not in listed and worker != beat.worker
    ]
    if not ends and not live:
        return None
    return dispatcher.commands.EndRuns(tuple(ends), tuple(live), wall)


@behave.when('the schedules run with {change}')
def step_play_broken(context, change):
    context.broken = []
    with _CHANGES[change]():
        for seed in range(_SEEDS_TO_CATCH):
            context.broken = schedule.play(seed).violations
            if context.broken:
                break


@behave.then('a schedule reports {rule}')
def step_caught(context, rule):
    assert any(text.startswith(rule) for text in context.broken), (
        context.broken[:3]
    )

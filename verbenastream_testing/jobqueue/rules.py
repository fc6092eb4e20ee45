"""Checks rules of the job queue against what the workers actually do."""

from __future__ import annotations

import collections

from verbenastream import ids
from verbenastream.process import clock
from verbenastream.process.jobqueue import model

# Starts that were on their way to a worker may follow a cancellation.
_CANCELLATION_GRACE_S = 3.0
# A task may start this often after as many workers have crashed under it.
_MAX_CRASHES = 3
_MAX_STARTS_AFTER_CRASHES = 2
# An occurrence may start this much before its time.
_EARLY_S = 0.25


class RuleChecker:
    """Checks each start of a task at a worker.

    ``TWICE``: a task without speculative runs never has two at a time and
    does not start again after an acknowledged end. ``ORDER``: a task starts
    after all tasks that it depends on, and not before its time. ``BUDGET``: a
    task does not start after ``max_attempts`` failures, nor a gang after that
    many failed runs, and a task that crashes its workers starts at most twice
    after the third crash. ``UNASKED``: only submitted jobs run that were
    not cancelled. ``ROUTE``: a worker runs at most ``per_worker`` tasks of a
    step.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.specs_by_id: dict[ids.JobId, model.JobSpec] = {}
        self.cancelled_at_by_id: dict[ids.JobId, float] = {}
        self.max_attempts = 3
        self._running_by_task: dict[
            model.TaskKey, set[tuple[str, int, int]]
        ] = collections.defaultdict(set)
        self.done: set[model.TaskKey] = set()
        # Ends whose acknowledgement reached the worker within its lease.
        self.acknowledged_done: set[model.TaskKey] = set()
        # Numbers of the failed runs; the tasks of a gang have the same.
        self._failed_runs_by_task: dict[model.TaskKey, set[int]] = (
            collections.defaultdict(set)
        )
        self._crashes_by_task: collections.Counter[model.TaskKey] = (
            collections.Counter()
        )
        self._starts_after_crashes: collections.Counter[model.TaskKey] = (
            collections.Counter()
        )
        self.starts = 0

    def record_submission(
        self, job_id: ids.JobId, spec: model.JobSpec
    ) -> None:
        """Record that a caller has sent ``spec``."""
        self.specs_by_id[job_id] = spec

    def _report_violation(self, rule: str, detail: str) -> None:
        self.violations.append(f'{rule}: {detail}')

    def check_start(
        self,
        key: model.TaskKey,
        incarnation: tuple[str, int],
        run: int,
        now: float,
    ) -> None:
        """Check a start when it happens at a worker.

        ``incarnation`` is the id of the worker and the number of its start.
        """
        self.starts += 1
        spec = self.specs_by_id.get(key.job)
        if spec is None:
            self._report_violation('UNASKED', f'{key} was never submitted')
            return
        step = spec.steps[key.step]
        running = self._running_by_task[key]
        if running and not step.speculative:
            self._report_violation(
                'TWICE', f'{key} runs on {running} and {incarnation}'
            )
        if key in self.acknowledged_done and not step.speculative:
            self._report_violation(
                'TWICE', f'{key} starts on {incarnation} after its end'
            )
        due_at = spec.first_at_s + key.occurrence * spec.interval_s
        if spec.occurrences and clock.unix_time() < due_at - _EARLY_S:
            self._report_violation('ORDER', f'{key} starts before its time')
        for other in step.after:
            for index in range(spec.steps[other].count):
                dependency = model.TaskKey(
                    key.job, key.occurrence, other, index
                )
                if dependency not in self.done:
                    self._report_violation(
                        'ORDER', f'{key} starts before {dependency}'
                    )
        if (
            len(self._failed_runs_by_task[key]) >= self.max_attempts
            and not step.long_running
        ):
            self._report_violation(
                'BUDGET', f'{key} starts after too many failures'
            )
        if self._crashes_by_task[key] >= _MAX_CRASHES:
            self._starts_after_crashes[key] += 1
            if self._starts_after_crashes[key] > _MAX_STARTS_AFTER_CRASHES:
                self._report_violation(
                    'BUDGET',
                    f'{key} starts after {self._crashes_by_task[key]} crashes',
                )
        cancelled_at = self.cancelled_at_by_id.get(key.job)
        if (
            cancelled_at is not None
            and now > cancelled_at + _CANCELLATION_GRACE_S
        ):
            self._report_violation(
                'UNASKED', f'{key} starts after its cancellation'
            )
        running.add((*incarnation, run))
        if step.per_worker:
            tasks_on_worker = sum(
                incarnation[0] == other[0]
                for index in range(step.count)
                for other in self._running_by_task[
                    key._replace(position=index)
                ]
            )
            if tasks_on_worker > step.per_worker:
                self._report_violation(
                    'ROUTE',
                    f'{tasks_on_worker} tasks of the step of {key}'
                    f' on {incarnation}',
                )

    def record_end(
        self,
        key: model.TaskKey,
        incarnation: tuple[str, int],
        run: int,
        done: bool,
    ) -> None:
        """Record an end when it happens at a worker."""
        self._running_by_task[key].discard((*incarnation, run))
        if done:
            self.done.update(self._represented_tasks(key))

    def record_crash(self, key: model.TaskKey) -> None:
        """Record that the task has crashed its worker."""
        self._crashes_by_task[key] += 1

    def record_acknowledged_end(
        self, key: model.TaskKey, run: int, kind: model.EndKind
    ) -> None:
        """Record an acknowledgement that the worker got within its lease."""
        for task in self._represented_tasks(key):
            if kind is model.EndKind.DONE:
                self.acknowledged_done.add(task)
            elif kind is model.EndKind.FAILED:
                self._failed_runs_by_task[task].add(run)

    def _represented_tasks(self, key: model.TaskKey) -> list[model.TaskKey]:
        """Return the tasks for which the end of a run of ``key`` counts."""
        spec = self.specs_by_id.get(key.job)
        if spec is None or not spec.steps[key.step].gang:
            return [key]
        return [
            key._replace(position=position)
            for position in range(spec.steps[key.step].count)
        ]

"""Rules about runs, checked from what the workers themselves did."""

from __future__ import annotations

import collections

from verbenastream import ids
from verbenastream.process.jobqueue import model


class RuleChecker:
    """Collects starts and ends at the workers and names broken rules."""

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.specs_by_id: dict[ids.JobId, model.JobSpec] = {}
        self.cancelled_at_by_id: dict[ids.JobId, float] = {}
        self.max_attempts = 3
        self._running_by_task: dict[
            model.TaskKey, set[tuple[str, int, int]]
        ] = collections.defaultdict(set)
        self.done: set[model.TaskKey] = set()
        # Ends that an acknowledgement reached while the lease held.
        self.noted_done: set[model.TaskKey] = set()
        self.noted_failures: collections.Counter[model.TaskKey] = (
            collections.Counter()
        )
        self.starts = 0

    def submitted(self, job_id: ids.JobId, spec: model.JobSpec) -> None:
        """Note that a caller has sent ``spec``."""
        self.specs_by_id[job_id] = spec

    def _break(self, rule: str, detail: str) -> None:
        self.broken.append(f'{rule}: {detail}')

    def started(
        self, key: model.TaskKey, life: tuple[str, int], run: int, now: float
    ) -> None:
        """Check a start when it happens at a worker."""
        self.starts += 1
        spec = self.specs_by_id.get(key.job)
        if spec is None:
            self._break('UNASKED', f'{key} was never submitted')
            return
        step = spec.steps[key.step]
        running = self._running_by_task[key]
        if running and not step.speculative:
            self._break('TWICE', f'{key} runs on {running} and {life}')
        if key in self.noted_done and not step.speculative:
            self._break('TWICE', f'{key} starts on {life} after its end')
        for other in step.after:
            for index in range(spec.steps[other].count):
                before = model.TaskKey(key.job, key.occurrence, other, index)
                if before not in self.done:
                    self._break('ORDER', f'{key} starts before {before}')
        if self.noted_failures[key] >= self.max_attempts and not step.lasting:
            self._break('BUDGET', f'{key} starts after too many failures')
        cancelled_at = self.cancelled_at_by_id.get(key.job)
        if cancelled_at is not None and now > cancelled_at + 3.0:
            self._break('UNASKED', f'{key} starts after its cancellation')
        running.add((*life, run))
        if step.per_worker:
            here = sum(
                life[0] == other[0]
                for index in range(step.count)
                for other in self._running_by_task[
                    key._replace(position=index)
                ]
            )
            if here > step.per_worker:
                self._break('ROUTE', f'{here} tasks beside {key} on {life}')

    def ended(
        self, key: model.TaskKey, life: tuple[str, int], run: int, done: bool
    ) -> None:
        """Note an end when it happens at a worker."""
        self._running_by_task[key].discard((*life, run))
        if done:
            self.done.add(key)

    def noted(self, key: model.TaskKey, kind: model.EndKind) -> None:
        """An acknowledgement reached the worker while its lease held."""
        if kind is model.EndKind.DONE:
            self.noted_done.add(key)
        elif kind is model.EndKind.FAILED:
            self.noted_failures[key] += 1

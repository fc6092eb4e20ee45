"""Keeps starts away from workers on which they have no effect.

Whoever is given starts and never lists one makes no progress, whatever it
reports: a writer that is no worker, or a worker that gets its responses too
late. What tells is the next heartbeat, which lists neither the run nor its
end.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from verbenastream import ids
    from verbenastream.process.jobqueue import model
    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import workers

    Run = tuple[model.TaskKey, int]

# Responses in a row without effect after which a worker gets one task at a
# time. Two may be lost by a short disturbance of the network.
_MAX_MISSES = 3
# Pause before the next task for such a worker; it doubles with each miss.
_MIN_PAUSE_S = 2.0
_MAX_DOUBLINGS = 5
# A record is removed if nothing was added to it for this long.
_RETENTION_S = 180.0


@dataclasses.dataclass(slots=True)
class _Record:
    """Responses without effect of one worker since the last with effect.

    Starts from ``sequence`` of ``incarnation`` on are in later responses.
    """

    misses: int
    incarnation: int
    sequence: int
    updated_at: float
    retry_at: float


class StartEffects:
    """Counts starts without effect by worker and by task, for one leader.

    ::

        effects.observe(heartbeat, unlisted_runs, listed_runs, now)
        for group in effects.groups(key, candidates, is_complete):
            worker = capacity.choose_worker(group, ...)
    """

    def __init__(self, state: states.JobQueueState) -> None:
        self._state = state
        self._records_by_worker: dict[ids.WorkerId, _Record] = {}
        # Workers on which the latest starts of a task had no effect.
        self._workers_by_task: dict[model.TaskKey, set[ids.WorkerId]] = {}

    @property
    def is_needed(self) -> bool:
        """Whether any start has had no effect lately."""
        return bool(self._records_by_worker)

    def observe(
        self,
        heartbeat: workers.Heartbeat,
        unlisted: Iterable[Run],
        listed: Collection[Run],
        now: float,
    ) -> None:
        """Count what a heartbeat shows about the starts before it.

        ``unlisted`` are the runs that it should list and does not, ``listed``
        those that it lists, in progress or ended.
        """
        missed_tasks = [key for key, _ in unlisted]
        if self.is_needed:
            self._record_effects(heartbeat, listed)
        if missed_tasks:
            self._record_missed(heartbeat, missed_tasks, now)

    def _record_effects(
        self, heartbeat: workers.Heartbeat, listed: Collection[Run]
    ) -> None:
        runs = self._state.runs_by_worker.get(heartbeat.worker, {})
        started = [
            runs[run]
            for run in listed
            if run in runs and runs[run].incarnation == heartbeat.incarnation
        ]
        record = self._records_by_worker.get(heartbeat.worker)
        if record is not None and any(
            run.incarnation != record.incarnation
            or run.heartbeat_sequence >= record.sequence
            for run in started
        ):
            del self._records_by_worker[heartbeat.worker]
        for key, _ in listed:
            self._workers_by_task.pop(key, None)

    def _record_missed(
        self,
        heartbeat: workers.Heartbeat,
        tasks: list[model.TaskKey],
        now: float,
    ) -> None:
        previous = self._records_by_worker.get(heartbeat.worker)
        misses = 1 if previous is None else previous.misses + 1
        doublings = max(0, min(misses - _MAX_MISSES, _MAX_DOUBLINGS))
        self._records_by_worker[heartbeat.worker] = _Record(
            misses,
            heartbeat.incarnation,
            heartbeat.sequence,
            now,
            now + _MIN_PAUSE_S * 2**doublings,
        )
        for key in tasks:
            self._workers_by_task.setdefault(key, set()).add(heartbeat.worker)

    def has_missed(self, worker: ids.WorkerId) -> bool:
        """Whether the latest starts on a worker had no effect."""
        return worker in self._records_by_worker

    def is_doubtful(self, worker: ids.WorkerId) -> bool:
        """Whether a worker has had no effect several times in a row."""
        record = self._records_by_worker.get(worker)
        return record is not None and record.misses >= _MAX_MISSES

    def may_try(self, worker: ids.WorkerId, now: float) -> bool:
        """Whether a worker may be assigned a task although others may."""
        record = self._records_by_worker.get(worker)
        return (
            record is None
            or record.misses < _MAX_MISSES
            or now >= record.retry_at
        )

    def is_avoided(self, key: model.TaskKey, worker: ids.WorkerId) -> bool:
        """Whether other workers come before this one for a task."""
        return self.is_doubtful(worker) or worker in (
            self._workers_by_task.get(key, ())
        )

    def groups(
        self,
        key: model.TaskKey,
        candidates: list[workers.Worker],
        is_complete: bool,
    ) -> list[list[workers.Worker]]:
        """Return the candidates for a task, the best group first.

        Workers on which its start had no effect come last, and only if
        ``is_complete``: if the candidates are all workers that may run it.
        A doubtful worker is one only while it has no other task.
        """
        if not self.is_needed:
            return [candidates]
        others = []
        avoided = []
        for worker in candidates:
            if not self.is_avoided(key, worker.id):
                others.append(worker)
            elif not self.is_doubtful(worker.id) or not self._has_open_start(
                worker
            ):
                avoided.append(worker)
        return [others, avoided] if is_complete else [others]

    def _has_open_start(self, worker: workers.Worker) -> bool:
        """Whether the worker has a task that it has not listed yet."""
        if worker.assigned_by_task or worker.starting_by_task:
            return True
        listed = {(row.task, row.run) for row in worker.heartbeat.running}
        return any(
            run not in listed
            for run in self._state.runs_by_worker.get(worker.id, ())
        )

    def forget(self, now: float) -> None:
        """Remove what is old or about jobs that have ended."""
        if not self.is_needed:
            self._workers_by_task.clear()
            return
        for worker, record in list(self._records_by_worker.items()):
            if now > record.updated_at + _RETENTION_S:
                del self._records_by_worker[worker]
        for key in list(self._workers_by_task):
            if key.job not in self._state.open_jobs:
                del self._workers_by_task[key]

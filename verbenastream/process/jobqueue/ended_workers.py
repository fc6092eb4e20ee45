"""Tells why workers ended, and which runs they lost."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import crashes
from verbenastream.process.jobqueue import lost_workers

if TYPE_CHECKING:
    from collections.abc import Mapping

    from verbenastream import ids
    from verbenastream.process.jobqueue import model
    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import workers

# A worker whose first heartbeat here has a number up to this has started
# during the term of this leader.
_FIRST_SEQUENCES = 3
# Workers that were last heard of within this time of each other may have
# crashed at the same moment; it is the longest time between two heartbeats.
_SAME_MOMENT_S = 2.0
_MAX_RECENT_CRASHES = 64
# Over which time it is counted how often workers crash.
_CRASH_RATE_WINDOW_S = 15.0
# A task under which this many workers crashed may have crashed the next one.
_MIN_CRASHES = 2


class EndedWorkers:
    """Tells crashes of workers from planned ends, for one leader.

    ::

        reason = ended_workers.reason(worker)
        command = ended_workers.find_runs(worker, reason, unix_time)
    """

    def __init__(
        self,
        state: states.JobQueueState,
        workers_by_id: Mapping[ids.WorkerId, workers.Worker],
        took_over_at: float,
        quiet_s: float,
    ) -> None:
        self._state = state
        self._workers_by_id = workers_by_id
        self._took_over_at = took_over_at
        self._quiet_s = quiet_s
        # The latest crashes of workers that had no suspect, the last one last.
        self._recent_crashes: collections.deque[workers.Worker] = (
            collections.deque(maxlen=_MAX_RECENT_CRASHES)
        )

    def has_crashed_before(self, worker: workers.Worker) -> bool:
        """Whether the incarnation before this one of ``worker`` crashed."""
        return self.has_crashed(worker.predecessor or worker)

    def has_crashed(self, worker: workers.Worker) -> bool:
        """Whether ``worker``, which has ended, crashed."""
        return self.reason(worker) is lost_workers.LossReason.WORKER_CRASHED

    def reason(self, worker: workers.Worker) -> lost_workers.LossReason:
        """Return why ``worker``, which has ended, did so."""
        return lost_workers.end_reason(
            worker, self._may_be_called_earlier(worker)
        )

    def _may_be_called_earlier(self, worker: workers.Worker) -> bool:
        """Whether a call of the previous leader may have ended ``worker``.

        Such a call is executed within ``quiet_s`` of the change, and ends only
        a worker that was running before.
        """
        return (
            worker.first_sequence > _FIRST_SEQUENCES
            and worker.seen_at < self._took_over_at + self._quiet_s
            and worker.heartbeat.instance
            in self._state.recently_called(2 * self._quiet_s)
        )

    def find_runs(
        self,
        worker: workers.Worker,
        reason: lost_workers.LossReason,
        unix_time: float,
    ) -> commands.EndRuns | None:
        """Return the lost runs of a worker that has ended, if any.

        Runs of a later incarnation with the same id go on.
        """
        lost = tuple(
            key
            for key, run in self._state.runs_by_worker.get(
                worker.id, {}
            ).items()
            if run.incarnation <= worker.incarnation
        )
        if not lost:
            return None
        crash = None
        if reason is lost_workers.LossReason.WORKER_CRASHED:
            crash = self.crash_report(worker, lost)
        return commands.EndRuns((), lost, unix_time, crash)

    def crash_report(
        self,
        worker: workers.Worker | None,
        lost: tuple[tuple[model.TaskKey, int], ...],
    ) -> commands.CrashReport | None:
        """Return which runs a crash counts for.

        ``worker`` is the crashed incarnation, None if this leader has not
        received its heartbeats.
        """
        surroundings = crashes.Surroundings()
        if worker is not None:
            self.record_crash(worker)
            surroundings = self._surroundings(worker)
        lost_runs = []
        for key, number in lost:
            job = self._state.open_jobs.get(key.job)
            task = None if job is None else job.task(key)
            if job is not None and job.spec is not None and task is not None:
                lost_runs.append(
                    crashes.LostRun(
                        key,
                        number,
                        task,
                        job.spec.steps[key.step],
                        None
                        if worker is None
                        else worker.survived_s(key, number),
                    )
                )
        return crashes.report(lost_runs, surroundings)

    def record_crash(self, worker: workers.Worker) -> None:
        """Record that ``worker`` has crashed, once for each incarnation."""
        if worker in self._recent_crashes or self._has_suspect(worker):
            return
        self._recent_crashes.append(worker)

    def _has_suspect(self, worker: workers.Worker) -> bool:
        """Whether ``worker`` runs a task that has crashed others."""
        suspects = self._state.suspects_by_key
        return any(
            key in suspects and suspects[key].crashes >= _MIN_CRASHES
            for key, _ in self._state.runs_by_worker.get(worker.id, ())
        )

    def _surroundings(self, worker: workers.Worker) -> crashes.Surroundings:
        """Return what crashed besides ``worker``.

        Workers that became silent at the same moment count too, as a crash may
        be noticed one worker after the other. Workers that ran a suspect do
        not: it may have crashed them.
        """
        others = {other.id: other for other in self._recent_crashes}
        others.pop(worker.id, None)
        last_seen_at = max(
            (other.seen_at for other in self._workers_by_id.values()),
            default=worker.seen_at,
        )
        recent = sum(
            worker.seen_at - _CRASH_RATE_WINDOW_S <= other.seen_at
            for other in others.values()
        )
        crashes_per_s = recent / (
            max(1, len(self._workers_by_id)) * _CRASH_RATE_WINDOW_S
        )
        for other in self._workers_by_id.values():
            is_silent = last_seen_at > other.seen_at + _SAME_MOMENT_S
            if is_silent and other.is_open and not self._has_suspect(other):
                others[other.id] = other
        others.pop(worker.id, None)
        other_crashes = sum(
            abs(other.seen_at - worker.seen_at) <= _SAME_MOMENT_S
            for other in others.values()
        )
        return crashes.Surroundings(other_crashes, crashes_per_s)

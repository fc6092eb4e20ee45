"""Tells why workers ended, and which runs they lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import crashes
from verbenastream.process.jobqueue import lost_workers

if TYPE_CHECKING:
    from verbenastream.process.jobqueue import model
    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import workers

# A worker whose first heartbeat here has a number up to this has started
# during the term of this leader.
_FIRST_SEQUENCES = 3


class EndedWorkers:
    """Tells crashes of workers from planned ends, for one leader.

    ::

        reason = ended_workers.reason(worker)
        command = ended_workers.find_runs(worker, reason, unix_time)
    """

    def __init__(
        self,
        state: states.JobQueueState,
        took_over_at: float,
        quiet_s: float,
    ) -> None:
        self._state = state
        self._took_over_at = took_over_at
        self._quiet_s = quiet_s

    def has_crashed_before(self, worker: workers.Worker) -> bool:
        """Whether the incarnation before this one of ``worker`` crashed."""
        ended = worker.predecessor or worker
        return self.reason(ended) is (lost_workers.LossReason.WORKER_CRASHED)

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
        return crashes.report(lost_runs)

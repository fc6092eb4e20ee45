"""Queue of the jobs that wait for a worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.version.placement import jobs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from verbenastream import ids


class WaitingJobs:
    """Waiting jobs by priority, in order of arrival.

    Adding and removing a job takes constant time, so that the cost of a wave
    of cancellations is proportional to its size.
    """

    def __init__(self) -> None:
        self._jobs_by_priority: dict[
            jobs.Priority, dict[ids.JobId, jobs.Job]
        ] = {priority: {} for priority in jobs.Priority}
        self._since_by_job: dict[ids.JobId, float] = {}

    def __len__(self) -> int:
        return sum(
            len(jobs_by_id) for jobs_by_id in self._jobs_by_priority.values()
        )

    def __contains__(self, job: ids.JobId | None) -> bool:
        return any(
            job in jobs_by_id for jobs_by_id in self._jobs_by_priority.values()
        )

    def add(self, job: jobs.Job, now: float) -> None:
        self._since_by_job[job.id] = now
        self._jobs_by_priority[job.priority][job.id] = job

    def remove(self, job: ids.JobId) -> jobs.Job | None:
        for jobs_by_id in self._jobs_by_priority.values():
            if job in jobs_by_id:
                del self._since_by_job[job]
                return jobs_by_id.pop(job)
        return None

    def waited_s(self, job: ids.JobId, now: float) -> float:
        """Return how long ``job`` has waited, or 0.0 if it is not waiting."""
        return now - self._since_by_job.get(job, now)

    def ordered(self) -> Iterator[jobs.Job]:
        """Yield all jobs, the most urgent and oldest first."""
        return self.first(len(self))

    def first(self, limit: int) -> Iterator[jobs.Job]:
        """Yield up to ``limit`` jobs, the most urgent and oldest first.

        Jobs may be removed during the iteration.
        """
        for priority in jobs.Priority:
            waiting = list(self._jobs_by_priority[priority].values())
            for job in waiting[:limit]:
                limit -= 1
                yield job
            if limit <= 0:
                return

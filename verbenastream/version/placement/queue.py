"""Jobs that wait for a worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.version.placement import jobs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from verbenastream import ids


class WaitingJobs:
    """Jobs by priority in order of arrival; each step is constant time.

    A wave of a thousand cancellations therefore costs a thousand steps.
    """

    def __init__(self) -> None:
        self._jobs_by_priority: dict[
            jobs.Priority, dict[ids.JobId, jobs.Job]
        ] = {priority: {} for priority in jobs.Priority}

    def __len__(self) -> int:
        return sum(len(found) for found in self._jobs_by_priority.values())

    def __contains__(self, job: ids.JobId) -> bool:
        return any(job in found for found in self._jobs_by_priority.values())

    def add(self, job: jobs.Job) -> None:
        self._jobs_by_priority[job.priority][job.id] = job

    def remove(self, job: ids.JobId) -> jobs.Job | None:
        for found in self._jobs_by_priority.values():
            if job in found:
                return found.pop(job)
        return None

    def first(self, limit: int) -> Iterator[jobs.Job]:
        """Yield up to ``limit`` jobs, the most urgent and oldest first.

        The jobs may be removed while they are yielded.
        """
        for priority in jobs.Priority:
            waiting = list(self._jobs_by_priority[priority].values())
            for job in waiting[:limit]:
                limit -= 1
                yield job
            if limit <= 0:
                return

"""Choice of the next job for a worker and of a worker for a job."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.version.placement import displacement
from verbenastream.version.placement import health
from verbenastream.version.placement import jobs
from verbenastream.version.placement import operations
from verbenastream.version.placement import workers

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenastream.version import fleet

# Bounds the time of one event when thousands of jobs wait.
_JOBS_PER_REFILL = 200


class Scheduler:
    """Grants leases to waiting jobs within quotas and worker capacity."""

    def __init__(
        self,
        lease_operations: operations.LeaseOperations,
        worker_health: health.WorkerHealth,
    ) -> None:
        self._operations = lease_operations
        self._health = worker_health

    def place(self, job: jobs.Job) -> bool:
        if not self._operations.quotas.allows(job):
            return False
        need = self._operations.corrections.expected(job)
        worker = workers.choose(
            self._operations.workers_by_id.values(),
            job,
            need,
            self._takes_work(job),
        )
        if worker is None and need != job.need:
            # A correction above the largest worker must not keep a job
            # waiting that fits by its declaration.
            need = job.need
            worker = workers.choose(
                self._operations.workers_by_id.values(),
                job,
                need,
                self._takes_work(job),
            )
        if worker is not None:
            self._operations.grant(job, worker, need)
            return True
        if job.priority is jobs.Priority.URGENT:
            return self._displace(job, need)
        return False

    def _takes_work(self, job: jobs.Job) -> Callable[[ids.InstanceId], bool]:
        failed = self._operations.failed_on.get(job.id, ())

        def takes_work(instance: ids.InstanceId) -> bool:
            if instance in failed:
                return False
            if not self._health.takes_work(instance, self._operations.now):
                return False
            # A worker on probation gets one job at a time, none urgent.
            return not self._health.is_probe(instance) or (
                job.priority is not jobs.Priority.URGENT
                and not self._operations.workers_by_id[instance].leases
            )

        return takes_work

    def _displace(self, job: jobs.Job, need: fleet.Resources) -> bool:
        room = displacement.find(
            self._operations.workers_by_id.values(),
            job,
            need,
            self._takes_work(job),
        )
        if room is None:
            return False
        for lease, cores in room.throttle:
            self._operations.throttle(room.worker, lease, cores)
        for lease in room.stop:
            self._operations.stop(lease, restart=True)
        if room.stop:
            return False
        self._operations.grant(job, room.worker, need)
        return True

    def refill(self, instance: ids.InstanceId) -> None:
        """Use what became free on one worker, waiting jobs in order."""
        worker = self._operations.workers_by_id.get(instance)
        if (
            worker is None
            or not worker.open
            or not len(self._operations.waiting)
        ):
            return
        for job in self._operations.waiting.first(_JOBS_PER_REFILL):
            if not self._operations.quotas.allows(job):
                continue
            need = self._operations.corrections.expected(job)
            if workers.choose([worker], job, need, self._takes_work(job)):
                self._operations.grant(job, worker, need)
        self._operations.unthrottle(worker)

"""Choice of the next job for a worker and of a worker for a job."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.version.placement import displacement
from verbenastream.version.placement import health
from verbenastream.version.placement import jobs
from verbenastream.version.placement import operations
from verbenastream.version.placement import resources
from verbenastream.version.placement import workers

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenastream.version import fleet

# Bounds the time of one event when thousands of jobs wait.
_JOBS_PER_REFILL = 200
_JOBS_PER_RETRY = 20
# Longer than most jobs run, so that a reservation is the exception.
_RESERVE_AFTER_S = 60.0


class Scheduler:
    """Grants leases to waiting jobs within quotas and worker capacity."""

    def __init__(
        self,
        lease_operations: operations.LeaseOperations,
        worker_health: health.WorkerHealth,
    ) -> None:
        self._operations = lease_operations
        self._health = worker_health
        # The worker on which tasks are being stopped for an urgent job.
        self._room_by_job: dict[ids.JobId, workers.Worker] = {}
        self._reserved_for: ids.JobId | None = None
        self._reserved: ids.InstanceId | None = None

    def retry(self) -> None:
        """Try waiting jobs, the most urgent and oldest first.

        Jobs over their quota are passed over, and so are jobs that need at
        least what another one found no room for, so that neither keeps the
        jobs behind them from being tried.
        """
        if self._reserved_for not in self._operations.waiting:
            self._reserved_for = self._reserved = None
        failed: list[tuple[frozenset[ids.RackId], fleet.Resources]] = []
        tried = 0
        for job in self._operations.waiting.ordered():
            if not self._operations.quotas.allows(job):
                continue
            need = resources.smallest(
                job.need, self._operations.corrections.expected(job)
            )
            if any(
                racks == job.racks and resources.fits(less, need)
                for racks, less in failed
            ):
                continue
            tried += 1
            if tried > _JOBS_PER_RETRY:
                return
            if not self.place(job):
                if job.id not in self._operations.failed_on:
                    failed.append((job.racks, need))
                self._reserve(job)

    def _reserve(self, job: jobs.Job) -> None:
        """Keep other work off one worker for a job that waits too long.

        Small jobs would otherwise fill each gap before a large one fits.
        """
        waited = self._operations.waiting.waited_s(
            job.id, self._operations.now
        )
        if self._reserved is not None or waited < _RESERVE_AFTER_S:
            return
        takes_work = self._takes_work(job)
        candidates = [
            worker
            for worker in self._operations.workers_by_id.values()
            if worker.open
            and worker.reachable
            and workers.allows(worker.record, job)
            and resources.fits(job.need, worker.record.resources)
            and takes_work(worker.record.id)
        ]
        if candidates:
            worker = min(
                candidates,
                key=lambda worker: (worker.granted.cores, worker.record.id),
            )
            self._reserved_for = job.id
            self._reserved = worker.record.id

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
            if instance in failed or (
                instance == self._reserved
                and job.id != self._reserved_for
                and job.priority is not jobs.Priority.URGENT
            ):
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
        pending = self._room_by_job.get(job.id)
        if pending is not None and any(
            lease.state is jobs.LeaseState.STOPPING
            for lease in pending.leases.values()
        ):
            return False
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
            self._room_by_job[job.id] = room.worker
            return False
        self._room_by_job.pop(job.id, None)
        self._operations.grant(job, room.worker, need)
        return True

    def refill(self, instance: ids.InstanceId) -> None:
        """Use what became free on one worker, waiting jobs in order."""
        worker = self._operations.workers_by_id.get(instance)
        if worker is None or not worker.open:
            return
        for job in self._operations.waiting.first(_JOBS_PER_REFILL):
            if not self._operations.quotas.allows(job):
                continue
            need = self._operations.corrections.expected(job)
            if workers.choose([worker], job, need, self._takes_work(job)):
                self._room_by_job.pop(job.id, None)
                self._operations.grant(job, worker, need)
        self._operations.unthrottle(worker)

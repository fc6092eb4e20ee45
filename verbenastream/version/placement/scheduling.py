"""Chooses a worker for a job and the next jobs for a worker."""

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

# Limit the time for handling one event while thousands of jobs wait.
_MAX_JOBS_PER_REFILL = 200
_MAX_JOBS_PER_RETRY = 20
# Longer than most jobs run, so that reservations are rare.
_RESERVATION_DELAY_S = 60.0


class Scheduler:
    """Grants leases to waiting jobs within quotas and worker capacity."""

    def __init__(
        self,
        lease_operations: operations.LeaseOperations,
        worker_health: health.WorkerHealth,
    ) -> None:
        self._operations = lease_operations
        self._health = worker_health
        # Workers on which tasks are being stopped, by urgent job.
        self._pending_worker_by_job: dict[ids.JobId, workers.Worker] = {}
        self._reserving_job: ids.JobId | None = None
        self._reserved_worker: ids.InstanceId | None = None

    def retry(self) -> None:
        """Try to place waiting jobs, the most urgent and oldest first.

        Jobs over their quota are skipped, and so are jobs that need at least
        as much as another job that could not be placed. They therefore do not
        block the jobs behind them.
        """
        if self._reserving_job not in self._operations.waiting:
            self._reserving_job = self._reserved_worker = None
        unplaceable: list[tuple[frozenset[ids.RackId], fleet.Resources]] = []
        attempts = 0
        for job in self._operations.waiting.ordered():
            if not self._operations.quotas.allows(job):
                continue
            need = resources.minimum(
                job.need, self._operations.corrections.expected_need(job)
            )
            if any(
                racks == job.racks and resources.fits(unplaceable_need, need)
                for racks, unplaceable_need in unplaceable
            ):
                continue
            attempts += 1
            if attempts > _MAX_JOBS_PER_RETRY:
                return
            if not self.place(job):
                if job.id not in self._operations.failed_workers_by_job:
                    unplaceable.append((job.racks, need))
                self._reserve_worker(job)

    def _reserve_worker(self, job: jobs.Job) -> None:
        """Reserve one worker for a job that has waited too long.

        Otherwise small jobs could take all free capacity before enough of it
        accumulates for a large job.
        """
        waited_s = self._operations.waiting.waited_s(
            job.id, self._operations.now
        )
        if (
            self._reserved_worker is not None
            or waited_s < _RESERVATION_DELAY_S
        ):
            return
        takes_work = self._eligibility_check(job)
        candidates = [
            worker
            for worker in self._operations.workers_by_id.values()
            if worker.accepts_jobs
            and worker.reachable
            and workers.in_allowed_rack(worker.record, job)
            and resources.fits(job.need, worker.record.resources)
            and takes_work(worker.record.id)
        ]
        if candidates:
            worker = min(
                candidates,
                key=lambda worker: (worker.granted.cores, worker.record.id),
            )
            self._reserving_job = job.id
            self._reserved_worker = worker.record.id

    def place(self, job: jobs.Job) -> bool:
        """Place ``job`` on a worker; return whether it got a lease."""
        if not self._operations.quotas.allows(job):
            return False
        need = self._operations.corrections.expected_need(job)
        worker = workers.choose_worker(
            self._operations.workers_by_id.values(),
            job,
            need,
            self._eligibility_check(job),
        )
        if worker is None and need != job.need:
            # A correction beyond the largest worker must not block a job
            # whose declared need fits.
            need = job.need
            worker = workers.choose_worker(
                self._operations.workers_by_id.values(),
                job,
                need,
                self._eligibility_check(job),
            )
        if worker is not None:
            self._operations.grant(job, worker, need)
            return True
        if job.priority is jobs.Priority.URGENT:
            return self._displace(job, need)
        return False

    def _eligibility_check(
        self, job: jobs.Job
    ) -> Callable[[ids.InstanceId], bool]:
        """Return a predicate that tells which workers may take ``job``."""
        failed_workers = self._operations.failed_workers_by_job.get(job.id, ())

        def takes_work(instance: ids.InstanceId) -> bool:
            if instance in failed_workers or (
                instance == self._reserved_worker
                and job.id != self._reserving_job
                and job.priority is not jobs.Priority.URGENT
            ):
                return False
            if not self._health.is_available(instance, self._operations.now):
                return False
            # A worker on probation gets one job at a time, and no urgent one.
            return not self._health.is_on_probation(instance) or (
                job.priority is not jobs.Priority.URGENT
                and not self._operations.workers_by_id[instance].leases
            )

        return takes_work

    def _displace(self, job: jobs.Job, need: fleet.Resources) -> bool:
        """Throttle or stop other tasks for an urgent job.

        The job gets its lease immediately if throttling suffices, otherwise
        after the tasks have stopped.
        """
        pending = self._pending_worker_by_job.get(job.id)
        if pending is not None and any(
            lease.state is jobs.LeaseState.STOPPING
            for lease in pending.leases.values()
        ):
            return False
        chosen = displacement.find_displacement(
            self._operations.workers_by_id.values(),
            job,
            need,
            self._eligibility_check(job),
        )
        if chosen is None:
            return False
        for lease, cores in chosen.throttle:
            self._operations.throttle(chosen.worker, lease, cores)
        for lease in chosen.stop:
            self._operations.stop(lease, restart=True)
        if chosen.stop:
            self._pending_worker_by_job[job.id] = chosen.worker
            return False
        self._pending_worker_by_job.pop(job.id, None)
        self._operations.grant(job, chosen.worker, need)
        return True

    def refill(self, instance: ids.InstanceId) -> None:
        """Place waiting jobs, in order, on the freed capacity of a worker."""
        worker = self._operations.workers_by_id.get(instance)
        if worker is None or not worker.accepts_jobs:
            return
        for job in self._operations.waiting.first(_MAX_JOBS_PER_REFILL):
            if not self._operations.quotas.allows(job):
                continue
            need = self._operations.corrections.expected_need(job)
            if workers.choose_worker(
                [worker], job, need, self._eligibility_check(job)
            ):
                self._pending_worker_by_job.pop(job.id, None)
                self._operations.grant(job, worker, need)
        self._operations.unthrottle(worker)

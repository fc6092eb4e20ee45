"""Operations on leases and the actions that execute them."""

from __future__ import annotations

from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version.placement import actions
from verbenastream.version.placement import corrections
from verbenastream.version.placement import jobs
from verbenastream.version.placement import leases
from verbenastream.version.placement import queue
from verbenastream.version.placement import quotas
from verbenastream.version.placement import workers

_LeaseState = jobs.LeaseState


class LeaseOperations:
    """Keeps leases, charged worker capacity and quotas consistent.

    Each operation appends its calls to ``actions``. ``capacity_freed`` is set
    if capacity became free since the last pass over the waiting jobs.
    """

    def __init__(
        self,
        job_corrections: corrections.Corrections,
        team_quotas: quotas.Quotas,
    ) -> None:
        self.corrections = job_corrections
        self.quotas = team_quotas
        self.waiting = queue.WaitingJobs()
        self.leases = leases.LeaseTable()
        self.workers_by_id: dict[ids.InstanceId, workers.Worker] = {}
        self.failed_workers_by_job: dict[ids.JobId, set[ids.InstanceId]] = {}
        self.checkpointed: set[ids.JobId] = set()
        self.capacity_freed = False
        self.now = 0.0
        self.actions: list[actions.Action] = []

    def grant(
        self, job: jobs.Job, worker: workers.Worker, need: fleet.Resources
    ) -> None:
        self.waiting.remove(job.id)
        lease = self.leases.grant(job, worker.record.id, need, self.now)
        worker.add(lease)
        self.quotas.charge(job)
        self.send_start(lease)

    def send_start(self, lease: jobs.Lease) -> None:
        lease.sent_at = self.now
        # The worker counts its lease from the first start that it receives,
        # which may be this one.
        lease.renewed_at = self.now
        self.actions.append(
            actions.Start(
                lease.id,
                lease.token,
                lease.instance,
                lease.job,
                leases.LEASE_S,
                lease.job.id in self.checkpointed,
            )
        )

    def throttle(
        self, worker: workers.Worker, lease: jobs.Lease, cores: float
    ) -> None:
        lease.throttled = True
        worker.charge(
            lease,
            fleet.Resources(
                cores, lease.granted.memory_gb, lease.granted.accelerators
            ),
        )
        self.actions.append(actions.Throttle(lease.id, lease.instance, cores))

    def charge_usage(
        self, worker: workers.Worker, lease: jobs.Lease, usage: jobs.Usage
    ) -> None:
        """Charge a task that exceeds its granted resources by its usage."""
        granted = lease.granted
        if usage.memory_gb > granted.memory_gb or (
            usage.cores > granted.cores and not lease.throttled
        ):
            cores = granted.cores
            if not lease.throttled:
                cores = max(cores, usage.cores)
            worker.charge(
                lease,
                fleet.Resources(
                    cores,
                    max(granted.memory_gb, usage.memory_gb),
                    granted.accelerators,
                ),
            )

    def stop(self, lease: jobs.Lease, restart: bool) -> None:
        lease.restart = restart
        if lease.state is not _LeaseState.FENCING:
            self.leases.set_state(lease, _LeaseState.STOPPING)
        lease.sent_at = self.now
        self.actions.append(
            actions.Stop(
                lease.id,
                lease.instance,
                lease.job.can_checkpoint and restart,
            )
        )

    def fence(self, lease: jobs.Lease) -> None:
        self.leases.set_state(lease, _LeaseState.FENCING)
        lease.sent_at = self.now
        self.actions.append(actions.Fence(lease.id, lease.instance))

    def release(self, lease: jobs.Lease) -> None:
        self.leases.remove(lease)
        worker = self.workers_by_id.get(lease.instance)
        if worker is not None:
            worker.remove(lease)
        self.quotas.release(lease.job)
        self.capacity_freed = True

    def answer(
        self, job: jobs.Job, outcome: jobs.Outcome, detail: str = ''
    ) -> None:
        self.failed_workers_by_job.pop(job.id, None)
        self.checkpointed.discard(job.id)
        self.corrections.discard_peak(job.id)
        self.leases.discard_token(job.id)
        self.actions.append(actions.Answer(job.id, outcome, detail))

    def unthrottle(self, worker: workers.Worker) -> None:
        """Restore the cores of throttled tasks as far as they are free."""
        capacity = worker.record.resources
        for lease in worker.leases.values():
            cores = lease.job.need.cores
            extra_cores = cores - lease.granted.cores
            if lease.throttled and (
                worker.granted.cores + extra_cores <= capacity.cores
            ):
                self.throttle(worker, lease, cores)
                lease.throttled = False

"""Places jobs on workers under leases."""

from __future__ import annotations

import dataclasses

from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version.placement import actions
from verbenastream.version.placement import corrections
from verbenastream.version.placement import events
from verbenastream.version.placement import health
from verbenastream.version.placement import jobs
from verbenastream.version.placement import leases
from verbenastream.version.placement import operations
from verbenastream.version.placement import pressure
from verbenastream.version.placement import quotas
from verbenastream.version.placement import resources
from verbenastream.version.placement import scheduling
from verbenastream.version.placement import workers

_L = jobs.LeaseState
_O = jobs.Outcome

# Answers to calls come within some tens of milliseconds; three attempts fit
# into the 1.1 s in which urgent work has to start.
RETRY_S = 0.3
# A worker that confirms no start for this long is fenced.
START_LIMIT_S = 5.0
# A pass over thousands of waiting jobs takes some milliseconds. The worker
# that became free is filled at once, so the pass may wait this long.
RETRY_CHANGED_S = 0.5
# Blocks of workers and waiting times end without an event.
RETRY_WAITING_S = 5.0
# A job that failed on two workers is the likely cause itself.
_MAX_FAILED_WORKERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """How much the core holds; all zero when nothing is to be done."""

    waiting: int
    leases: int
    granted: fleet.Resources


class PlacementCore:
    """Decides where jobs run; drivers carry the actions out.

    A job has at most one lease. It gets another one only when the earlier
    one ended, was fenced by the platform, or surely expired at its worker.
    """

    def __init__(self) -> None:
        self.corrections = corrections.Corrections()
        self.quotas = quotas.Quotas()
        self._operations = operations.LeaseOperations(
            self.corrections, self.quotas
        )
        self._health = health.WorkerHealth()
        self._scheduler = scheduling.Scheduler(self._operations, self._health)
        self._expiry_at = float('-inf')
        self._retried_at = float('-inf')
        self._requeued = False

    def handle(self, event: events.Event, now: float) -> list[actions.Action]:
        self._operations.now = now
        self._operations.actions = []
        match event:
            case events.Submitted(job=job):
                self._submit(job)
            case events.Started(lease=lease):
                self._started(lease)
            case events.Ended():
                self._ended(event)
            case events.UsageReported():
                self._usage(event)
            case events.Cancelled(jobs=cancelled):
                for job_id in cancelled:
                    self._cancel(job_id)
            case events.Fenced(lease=lease):
                self._fenced(lease)
            case events.WorkerJoined(record=record):
                self._join(record)
            case events.WorkerLeft(instance=instance):
                if instance in self._operations.workers_by_id:
                    self._operations.workers_by_id[instance].open = False
            case events.WorkerUnreachable(instance=instance):
                self._unreachable(instance)
            case events.QuotaChanged(team=team, quota=quota):
                self.quotas.set(team, quota)
                self._operations.changed = True
            case events.Tick():
                self._tick()
        return self._operations.actions

    def __len__(self) -> int:
        """Return the number of jobs that wait or hold a lease."""
        return len(self._operations.waiting) + len(
            self._operations.leases.leases_by_id
        )

    def lease(self, lease: ids.LeaseId) -> jobs.Lease | None:
        """Return a lease that is held, None once it ended."""
        return self._operations.leases.leases_by_id.get(lease)

    def counts(self) -> Counts:
        granted = resources.NONE
        for worker in self._operations.workers_by_id.values():
            granted = resources.add(granted, worker.granted)
        return Counts(
            len(self._operations.waiting),
            len(self._operations.leases.leases_by_id),
            granted,
        )

    # Submission and placement.

    def _submit(self, job: jobs.Job) -> None:
        if (
            job.id in self._operations.leases.leases_by_job
            or job.id in self._operations.waiting
        ):
            return
        miss = workers.closest_miss(
            self._operations.workers_by_id.values(), job
        )
        if miss is not None:
            self._operations.answer(job, _O.REFUSED, miss)
            return
        quota = self.quotas.quota(job.team)
        if quota is not None and not resources.fits(job.need, quota):
            self._operations.answer(
                job,
                _O.REFUSED,
                f'the whole quota of team {job.team} is {quota.cores:g} '
                f'cores, {quota.memory_gb:g} GB and {quota.accelerators} '
                'accelerators. Ask for less or for a larger quota.',
            )
            return
        self._operations.waiting.add(job, self._operations.now)
        self._scheduler.place(job)

    # What workers report.

    def _started(self, lease_id: ids.LeaseId) -> None:
        lease = self._operations.leases.leases_by_id.get(lease_id)
        if lease is not None and lease.state is _L.STARTING:
            self._operations.leases.set_state(lease, _L.RUNNING)

    def _ended(self, event: events.Ended) -> None:
        self._operations.actions.append(
            actions.Acknowledge(event.lease, event.instance)
        )
        lease = self._operations.leases.leases_by_id.get(event.lease)
        if lease is None:
            return
        match event.peak, event.result:
            case jobs.Usage() as peak, jobs.Result.DONE:
                self.corrections.learn(lease.job, peak)
            case jobs.Usage() as peak, jobs.Result.STOPPED:
                self.corrections.remember(lease.job, peak)
        self._operations.release(lease)
        match event.result:
            case jobs.Result.DONE:
                self._health.succeeded(lease.instance)
                self._operations.answer(lease.job, _O.DONE)
            case jobs.Result.FAILED:
                self._failed(lease)
            case _ if lease.cancelled:
                self._operations.answer(lease.job, _O.CANCELLED)
            case jobs.Result.CHECKPOINTED:
                self._operations.checkpointed.add(lease.job.id)
                self._requeue(lease.job)
            case jobs.Result.STOPPED:
                self._restart(lease)
        self._use_room(lease.instance)

    def _failed(self, lease: jobs.Lease) -> None:
        job = lease.job
        until = self._health.failed(
            lease.instance, job.id, self._operations.now
        )
        if until is not None:
            self._operations.actions.append(
                actions.Block(lease.instance, until, 'it fails what it starts')
            )
        failed_on = self._operations.failed_on.setdefault(job.id, set())
        failed_on.add(lease.instance)
        if lease.cancelled:
            self._operations.answer(job, _O.CANCELLED)
        elif len(failed_on) >= _MAX_FAILED_WORKERS:
            for instance in failed_on:
                self._health.acquit(instance, job.id)
            self._operations.answer(
                job, _O.FAILED, f'it failed on {len(failed_on)} workers'
            )
        elif job.restartable:
            self._requeue(job)
        else:
            self._operations.answer(job, _O.FAILED, 'it is not restartable')

    def _usage(self, event: events.UsageReported) -> None:
        worker = self._operations.workers_by_id.get(event.instance)
        if worker is None:
            return
        worker.reachable = True
        for key, usage in event.usage_by_lease.items():
            lease = self._operations.leases.leases_by_id.get(key)
            if lease is None or lease.instance != event.instance:
                # The worker runs what it has no lease for.
                self._operations.actions.append(
                    actions.Fence(key, event.instance)
                )
            elif lease.state is _L.RUNNING:
                lease.renewed_at = self._operations.now
                self._operations.charge_usage(worker, lease, usage)
        # A report from before the last call does not show its effect yet.
        if event.at <= worker.acted_at:
            return
        for call in pressure.relieve(worker, event.usage_by_lease):
            worker.acted_at = self._operations.now
            lease = self._operations.leases.leases_by_id[call.lease]
            match call:
                case actions.Throttle(cores=cores):
                    self._operations.throttle(worker, lease, cores)
                case actions.Stop():
                    self._operations.stop(lease, restart=True)

    # Cancellation, stops and fencing.

    def _cancel(self, job_id: ids.JobId) -> None:
        job = self._operations.waiting.remove(job_id)
        if job is not None:
            self._operations.answer(job, _O.CANCELLED)
            return
        lease = self._operations.leases.leases_by_job.get(job_id)
        if lease is None or lease.cancelled:
            return
        lease.cancelled = True
        if lease.state is not _L.FENCING:
            self._operations.stop(lease, restart=False)

    def _fenced(self, lease_id: ids.LeaseId) -> None:
        lease = self._operations.leases.leases_by_id.get(lease_id)
        # A late answer about a lease that runs again does not exist: the
        # id is used once.
        if lease is not None and lease.state is _L.FENCING:
            self._gone(lease)

    def _gone(self, lease: jobs.Lease) -> None:
        """The lease can no longer run; what it did is not known."""
        self._operations.release(lease)
        if lease.cancelled:
            self._operations.answer(lease.job, _O.CANCELLED)
        else:
            self._restart(lease)
        self._use_room(lease.instance)

    def _restart(self, lease: jobs.Lease) -> None:
        if lease.job.restartable:
            self._requeue(lease.job)
        else:
            self._operations.answer(
                lease.job,
                _O.UNKNOWN,
                f'worker {lease.instance} was stopped or lost while it may '
                'have run. Check its effects before submitting it again.',
            )

    def _requeue(self, job: jobs.Job) -> None:
        """Let a job wait again; what became free is not its own."""
        self._operations.waiting.add(job, self._operations.now)
        self._requeued = True

    def _use_room(self, instance: ids.InstanceId) -> None:
        """Give what became free to the most urgent waiting jobs."""
        self._scheduler.refill(instance)
        if self._requeued:
            self._requeued = False
            self._retry()

    # Workers and time.

    def _join(self, record: fleet.InstanceRecord) -> None:
        worker = self._operations.workers_by_id.get(record.id)
        if worker is None:
            worker = workers.Worker(record)
            self._operations.workers_by_id[record.id] = worker
        rebooted = record.incarnation > worker.record.incarnation
        worker.record = record
        worker.open = True
        worker.reachable = True
        if rebooted:
            # Nothing that was started before the reboot runs any more.
            for lease in list(worker.leases.values()):
                self._gone(lease)
        self._scheduler.refill(record.id)

    def _unreachable(self, instance: ids.InstanceId) -> None:
        worker = self._operations.workers_by_id.get(instance)
        if worker is None:
            return
        worker.reachable = False
        for lease in list(worker.leases.values()):
            if lease.state is not _L.FENCING:
                self._operations.fence(lease)

    def _tick(self) -> None:
        for lease in self._operations.leases.in_state(_L.STARTING):
            if self._operations.now - lease.sent_at >= RETRY_S:
                self._start_again(lease)
        for lease in self._operations.leases.in_state(_L.STOPPING):
            if self._operations.now - lease.sent_at >= RETRY_S:
                self._operations.stop(lease, lease.restart)
        for lease in self._operations.leases.in_state(_L.FENCING):
            if self._operations.now >= leases.ended_for_sure_at(lease):
                self._gone(lease)
            elif self._operations.now - lease.sent_at >= RETRY_S:
                self._operations.fence(lease)
        if self._operations.now >= self._expiry_at:
            self._expiry_at = self._operations.now + 1.0
            self._expire()
        waited = self._operations.now - self._retried_at
        if waited >= (
            RETRY_CHANGED_S if self._operations.changed else RETRY_WAITING_S
        ):
            self._retry()

    def _retry(self) -> None:
        self._operations.changed = False
        self._retried_at = self._operations.now
        if len(self._operations.waiting):
            self._scheduler.retry()

    def _start_again(self, lease: jobs.Lease) -> None:
        if self._operations.now - lease.granted_at >= START_LIMIT_S:
            self._health.failed(
                lease.instance, lease.job.id, self._operations.now
            )
            self._operations.fence(lease)
        else:
            self._operations.send_start(lease)

    def _expire(self) -> None:
        for state in (_L.RUNNING, _L.STOPPING):
            for lease in self._operations.leases.in_state(state):
                if self._operations.now >= leases.ended_for_sure_at(lease):
                    self._gone(lease)

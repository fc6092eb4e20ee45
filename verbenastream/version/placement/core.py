"""State machine that places jobs on workers under leases."""

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

_LeaseState = jobs.LeaseState
_Outcome = jobs.Outcome

# Calls are usually answered within tens of milliseconds. Three attempts fit
# into the 1.1 s within which urgent work must start.
CALL_RETRY_S = 0.3
# A lease whose start is not confirmed within this time is fenced.
START_TIMEOUT_S = 5.0
# A pass over thousands of waiting jobs takes some milliseconds. It may wait
# this long, because the worker that became free is refilled immediately.
RETRY_AFTER_RELEASE_S = 0.5
# Worker blocks and reservation delays end without an event, so waiting jobs
# are also retried at this interval.
RETRY_INTERVAL_S = 5.0
# If a job fails on two workers, the job itself is the likely cause.
_MAX_FAILED_WORKERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Counts:
    """Waiting jobs, leases and granted resources; all zero when idle."""

    waiting: int
    leases: int
    granted: fleet.Resources


class PlacementCore:
    """Decides where jobs run; drivers execute the returned actions.

    A job has at most one lease. It gets another one only after the earlier
    one ended, was fenced by the platform, or must have expired at its worker.
    """

    def __init__(self) -> None:
        self.corrections = corrections.Corrections()
        self.quotas = quotas.Quotas()
        self._operations = operations.LeaseOperations(
            self.corrections, self.quotas
        )
        self._health = health.WorkerHealth()
        self._scheduler = scheduling.Scheduler(self._operations, self._health)
        self._next_expiry_check_at = float('-inf')
        self._last_retry_at = float('-inf')
        self._has_requeued_jobs = False

    def handle(self, event: events.Event, now: float) -> list[actions.Action]:
        self._operations.now = now
        self._operations.actions = []
        match event:
            case events.Submitted(job=job):
                self._handle_submitted(job)
            case events.Started(lease=lease):
                self._handle_started(lease)
            case events.Ended():
                self._handle_ended(event)
            case events.UsageReported():
                self._handle_usage(event)
            case events.Cancelled(jobs=cancelled):
                for job_id in cancelled:
                    self._handle_cancelled(job_id)
            case events.Fenced(lease=lease):
                self._handle_fenced(lease)
            case events.WorkerJoined(record=record):
                self._handle_joined(record)
            case events.WorkerLeft(instance=instance):
                if instance in self._operations.workers_by_id:
                    self._operations.workers_by_id[
                        instance
                    ].accepts_jobs = False
            case events.WorkerUnreachable(instance=instance):
                self._handle_unreachable(instance)
            case events.QuotaChanged(team=team, quota=quota):
                self.quotas.set(team, quota)
                self._operations.capacity_freed = True
            case events.Tick():
                self._handle_tick()
        return self._operations.actions

    def __len__(self) -> int:
        """Return the number of jobs that wait or hold a lease."""
        return len(self._operations.waiting) + len(
            self._operations.leases.leases_by_id
        )

    def lease(self, lease: ids.LeaseId) -> jobs.Lease | None:
        """Return a lease, or None if it has ended."""
        return self._operations.leases.leases_by_id.get(lease)

    def counts(self) -> Counts:
        granted = resources.ZERO
        for worker in self._operations.workers_by_id.values():
            granted = resources.add(granted, worker.granted)
        return Counts(
            len(self._operations.waiting),
            len(self._operations.leases.leases_by_id),
            granted,
        )

    # Submission and placement.

    def _handle_submitted(self, job: jobs.Job) -> None:
        if (
            job.id in self._operations.leases.leases_by_job
            or job.id in self._operations.waiting
        ):
            return
        misfit = workers.explain_misfit(
            self._operations.workers_by_id.values(), job
        )
        if misfit is not None:
            self._operations.answer(job, _Outcome.REFUSED, misfit)
            return
        quota = self.quotas.quota(job.team)
        if quota is not None and not resources.fits(job.need, quota):
            self._operations.answer(
                job,
                _Outcome.REFUSED,
                f'the whole quota of team {job.team} is {quota.cores:g} '
                f'cores, {quota.memory_gb:g} GB and {quota.accelerators} '
                'accelerators. Ask for less or for a larger quota.',
            )
            return
        self._operations.waiting.add(job, self._operations.now)
        self._scheduler.place(job)

    # Reports of workers.

    def _handle_started(self, lease_id: ids.LeaseId) -> None:
        lease = self._operations.leases.leases_by_id.get(lease_id)
        if lease is not None and lease.state is _LeaseState.STARTING:
            self._operations.leases.set_state(lease, _LeaseState.RUNNING)

    def _handle_ended(self, event: events.Ended) -> None:
        self._operations.actions.append(
            actions.Acknowledge(event.lease, event.instance)
        )
        lease = self._operations.leases.leases_by_id.get(event.lease)
        if lease is None:
            return
        match event.peak, event.result:
            case jobs.Usage() as peak, jobs.Result.DONE:
                self.corrections.add_sample(lease.job, peak)
            case jobs.Usage() as peak, jobs.Result.STOPPED:
                self.corrections.record_peak(lease.job, peak)
        self._operations.release(lease)
        match event.result:
            case jobs.Result.DONE:
                self._health.record_success(lease.instance)
                self._operations.answer(lease.job, _Outcome.DONE)
            case jobs.Result.FAILED:
                self._handle_failure(lease)
            case _ if lease.cancelled:
                self._operations.answer(lease.job, _Outcome.CANCELLED)
            case jobs.Result.CHECKPOINTED:
                self._operations.checkpointed.add(lease.job.id)
                self._requeue(lease.job)
            case jobs.Result.STOPPED:
                self._restart_or_answer(lease)
        self._refill_worker(lease.instance)

    def _handle_failure(self, lease: jobs.Lease) -> None:
        job = lease.job
        until = self._health.record_failure(
            lease.instance, job.id, self._operations.now
        )
        if until is not None:
            self._operations.actions.append(
                actions.Block(
                    lease.instance, until, 'consecutive tasks failed'
                )
            )
        failed_workers = self._operations.failed_workers_by_job.setdefault(
            job.id, set()
        )
        failed_workers.add(lease.instance)
        if lease.cancelled:
            self._operations.answer(job, _Outcome.CANCELLED)
        elif len(failed_workers) >= _MAX_FAILED_WORKERS:
            for instance in failed_workers:
                self._health.clear_failure(instance, job.id)
            self._operations.answer(
                job,
                _Outcome.FAILED,
                f'the job failed on {len(failed_workers)} workers',
            )
        elif job.restartable:
            self._requeue(job)
        else:
            self._operations.answer(
                job, _Outcome.FAILED, 'the job is not restartable'
            )

    def _handle_usage(self, event: events.UsageReported) -> None:
        worker = self._operations.workers_by_id.get(event.instance)
        if worker is None:
            return
        worker.reachable = True
        for key, usage in event.usage_by_lease.items():
            lease = self._operations.leases.leases_by_id.get(key)
            if lease is None or lease.instance != event.instance:
                # The worker runs a task without a lease.
                self._operations.actions.append(
                    actions.Fence(key, event.instance)
                )
            elif lease.state is _LeaseState.RUNNING:
                lease.renewed_at = self._operations.now
                self._operations.charge_usage(worker, lease, usage)
        # A report from before the last call does not show its effect yet.
        if event.at <= worker.last_action_at:
            return
        for call in pressure.relief_calls(worker, event.usage_by_lease):
            worker.last_action_at = self._operations.now
            lease = self._operations.leases.leases_by_id[call.lease]
            match call:
                case actions.Throttle(cores=cores):
                    self._operations.throttle(worker, lease, cores)
                case actions.Stop():
                    self._operations.stop(lease, restart=True)

    # Cancellation, stops and fencing.

    def _handle_cancelled(self, job_id: ids.JobId) -> None:
        job = self._operations.waiting.remove(job_id)
        if job is not None:
            self._operations.answer(job, _Outcome.CANCELLED)
            return
        lease = self._operations.leases.leases_by_job.get(job_id)
        if lease is None or lease.cancelled:
            return
        lease.cancelled = True
        if lease.state is not _LeaseState.FENCING:
            self._operations.stop(lease, restart=False)

    def _handle_fenced(self, lease_id: ids.LeaseId) -> None:
        lease = self._operations.leases.leases_by_id.get(lease_id)
        # Lease ids are never reused, so this cannot be a late answer for a
        # lease that runs again.
        if lease is not None and lease.state is _LeaseState.FENCING:
            self._handle_terminated(lease)

    def _handle_terminated(self, lease: jobs.Lease) -> None:
        """Handle a lease that ended without a report of its result."""
        self._operations.release(lease)
        if lease.cancelled:
            self._operations.answer(lease.job, _Outcome.CANCELLED)
        else:
            self._restart_or_answer(lease)
        self._refill_worker(lease.instance)

    def _restart_or_answer(self, lease: jobs.Lease) -> None:
        if lease.job.restartable:
            self._requeue(lease.job)
        else:
            self._operations.answer(
                lease.job,
                _Outcome.UNKNOWN,
                f'worker {lease.instance} was stopped or lost while the job '
                'may have run. Check the effects of the job before submitting '
                'it again.',
            )

    def _requeue(self, job: jobs.Job) -> None:
        """Queue a job again; its former worker is offered to all jobs."""
        self._operations.waiting.add(job, self._operations.now)
        self._has_requeued_jobs = True

    def _refill_worker(self, instance: ids.InstanceId) -> None:
        """Fill the freed capacity with the most urgent waiting jobs."""
        self._scheduler.refill(instance)
        if self._has_requeued_jobs:
            self._has_requeued_jobs = False
            self._retry_placement()

    # Workers, retries and expiry.

    def _handle_joined(self, record: fleet.InstanceRecord) -> None:
        worker = self._operations.workers_by_id.get(record.id)
        if worker is None:
            worker = workers.Worker(record)
            self._operations.workers_by_id[record.id] = worker
        rebooted = record.incarnation > worker.record.incarnation
        worker.record = record
        worker.accepts_jobs = True
        worker.reachable = True
        if rebooted:
            # No task that started before the reboot is still running.
            for lease in list(worker.leases.values()):
                self._handle_terminated(lease)
        self._scheduler.refill(record.id)

    def _handle_unreachable(self, instance: ids.InstanceId) -> None:
        worker = self._operations.workers_by_id.get(instance)
        if worker is None:
            return
        worker.reachable = False
        for lease in list(worker.leases.values()):
            if lease.state is not _LeaseState.FENCING:
                self._operations.fence(lease)

    def _handle_tick(self) -> None:
        for lease in self._operations.leases.in_state(_LeaseState.STARTING):
            if self._operations.now - lease.sent_at >= CALL_RETRY_S:
                self._resend_start(lease)
        for lease in self._operations.leases.in_state(_LeaseState.STOPPING):
            if self._operations.now - lease.sent_at >= CALL_RETRY_S:
                self._operations.stop(lease, lease.restart)
        for lease in self._operations.leases.in_state(_LeaseState.FENCING):
            if self._operations.now >= leases.latest_end_at(lease):
                self._handle_terminated(lease)
            elif self._operations.now - lease.sent_at >= CALL_RETRY_S:
                self._operations.fence(lease)
        if self._operations.now >= self._next_expiry_check_at:
            self._next_expiry_check_at = self._operations.now + 1.0
            self._end_expired_leases()
        elapsed_s = self._operations.now - self._last_retry_at
        if elapsed_s >= (
            RETRY_AFTER_RELEASE_S
            if self._operations.capacity_freed
            else RETRY_INTERVAL_S
        ):
            self._retry_placement()

    def _retry_placement(self) -> None:
        self._operations.capacity_freed = False
        self._last_retry_at = self._operations.now
        if len(self._operations.waiting):
            self._scheduler.retry()

    def _resend_start(self, lease: jobs.Lease) -> None:
        if self._operations.now - lease.granted_at >= START_TIMEOUT_S:
            self._health.record_failure(
                lease.instance, lease.job.id, self._operations.now
            )
            self._operations.fence(lease)
        else:
            self._operations.send_start(lease)

    def _end_expired_leases(self) -> None:
        for state in (_LeaseState.RUNNING, _LeaseState.STOPPING):
            for lease in self._operations.leases.in_state(state):
                if self._operations.now >= leases.latest_end_at(lease):
                    self._handle_terminated(lease)

"""Places jobs on workers under leases."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version.placement import actions
from verbenastream.version.placement import corrections
from verbenastream.version.placement import displacement
from verbenastream.version.placement import events
from verbenastream.version.placement import health
from verbenastream.version.placement import jobs
from verbenastream.version.placement import leases
from verbenastream.version.placement import pressure
from verbenastream.version.placement import queue
from verbenastream.version.placement import quotas
from verbenastream.version.placement import resources
from verbenastream.version.placement import workers

if TYPE_CHECKING:
    from collections.abc import Callable


_L = jobs.LeaseState
_O = jobs.Outcome

# Answers to calls come within some tens of milliseconds; three attempts fit
# into the 1.1 s in which urgent work has to start.
RETRY_S = 0.3
# A worker that confirms no start for this long is fenced.
START_LIMIT_S = 5.0
# Bounds the time of one tick when thousands of jobs wait.
_JOBS_PER_TICK = 20
_JOBS_PER_REFILL = 200
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
        self._health = health.WorkerHealth()
        self._waiting = queue.WaitingJobs()
        self._leases = leases.LeaseTable()
        self._workers: dict[ids.InstanceId, workers.Worker] = {}
        self._failed_on: dict[ids.JobId, set[ids.InstanceId]] = {}
        self._checkpointed: set[ids.JobId] = set()
        self._retry = False
        self._expiry_at = float('-inf')
        self._now = 0.0
        self._actions: list[actions.Action] = []

    def handle(self, event: events.Event, now: float) -> list[actions.Action]:
        self._now = now
        self._actions = []
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
                if instance in self._workers:
                    self._workers[instance].open = False
            case events.WorkerUnreachable(instance=instance):
                self._unreachable(instance)
            case events.QuotaChanged(team=team, quota=quota):
                self.quotas.set(team, quota)
                self._retry = True
            case events.Tick():
                self._tick()
        return self._actions

    def __len__(self) -> int:
        """Return the number of jobs that wait or hold a lease."""
        return len(self._waiting) + len(self._leases.leases_by_id)

    def lease(self, lease: ids.LeaseId) -> jobs.Lease | None:
        """Return a lease that is held, None once it ended."""
        return self._leases.leases_by_id.get(lease)

    def counts(self) -> Counts:
        granted = resources.NONE
        for worker in self._workers.values():
            granted = resources.add(granted, worker.granted)
        return Counts(
            len(self._waiting), len(self._leases.leases_by_id), granted
        )

    # Submission and placement.

    def _submit(self, job: jobs.Job) -> None:
        if job.id in self._leases.leases_by_job or job.id in self._waiting:
            return
        miss = workers.closest_miss(self._workers.values(), job)
        if miss is not None:
            self._answer(job, _O.REFUSED, miss)
            return
        quota = self.quotas.quota(job.team)
        if quota is not None and not resources.fits(job.need, quota):
            self._answer(
                job,
                _O.REFUSED,
                f'the whole quota of team {job.team} is {quota.cores:g} '
                f'cores, {quota.memory_gb:g} GB and {quota.accelerators} '
                'accelerators. Ask for less or for a larger quota.',
            )
            return
        self._waiting.add(job)
        self._place(job)

    def _place(self, job: jobs.Job) -> bool:
        if not self.quotas.allows(job):
            return False
        need = self.corrections.expected(job)
        worker = workers.choose(
            self._workers.values(), job, need, self._takes_work(job)
        )
        if worker is None and need != job.need:
            # A correction above the largest worker must not keep a job
            # waiting that fits by its declaration.
            need = job.need
            worker = workers.choose(
                self._workers.values(), job, need, self._takes_work(job)
            )
        if worker is not None:
            self._grant(job, worker, need)
            return True
        if job.priority is jobs.Priority.URGENT:
            return self._displace(job, need)
        return False

    def _takes_work(self, job: jobs.Job) -> Callable[[ids.InstanceId], bool]:
        failed = self._failed_on.get(job.id, ())

        def takes_work(instance: ids.InstanceId) -> bool:
            if instance in failed:
                return False
            if not self._health.takes_work(instance, self._now):
                return False
            # A worker on probation gets one job at a time, none urgent.
            return not self._health.is_probe(instance) or (
                job.priority is not jobs.Priority.URGENT
                and not self._workers[instance].leases
            )

        return takes_work

    def _grant(
        self, job: jobs.Job, worker: workers.Worker, need: fleet.Resources
    ) -> None:
        self._waiting.remove(job.id)
        lease = self._leases.grant(job, worker.record.id, need, self._now)
        worker.add(lease)
        self.quotas.charge(job)
        self._send_start(lease)

    def _send_start(self, lease: jobs.Lease) -> None:
        lease.sent_at = self._now
        # The worker counts its lease from the first start it receives, which
        # may be this one.
        lease.renewed_at = self._now
        self._actions.append(
            actions.Start(
                lease.id,
                lease.token,
                lease.instance,
                lease.job,
                leases.LEASE_S,
                lease.job.id in self._checkpointed,
            )
        )

    def _displace(self, job: jobs.Job, need: fleet.Resources) -> bool:
        room = displacement.find(
            self._workers.values(), job, need, self._takes_work(job)
        )
        if room is None:
            return False
        for lease, cores in room.throttle:
            self._throttle(room.worker, lease, cores)
        for lease in room.stop:
            self._stop(lease, restart=True)
        if room.stop:
            return False
        self._grant(job, room.worker, need)
        return True

    def _throttle(
        self, worker: workers.Worker, lease: jobs.Lease, cores: float
    ) -> None:
        lease.throttled = True
        worker.charge(
            lease,
            fleet.Resources(
                cores, lease.granted.memory_gb, lease.granted.accelerators
            ),
        )
        self._actions.append(actions.Throttle(lease.id, lease.instance, cores))

    # What workers report.

    def _started(self, lease_id: ids.LeaseId) -> None:
        lease = self._leases.leases_by_id.get(lease_id)
        if lease is not None and lease.state is _L.STARTING:
            self._leases.set_state(lease, _L.RUNNING)

    def _ended(self, event: events.Ended) -> None:
        self._actions.append(actions.Acknowledge(event.lease, event.instance))
        lease = self._leases.leases_by_id.get(event.lease)
        if lease is None:
            return
        match event.peak, event.result:
            case jobs.Usage() as peak, jobs.Result.DONE:
                self.corrections.learn(lease.job, peak)
            case jobs.Usage() as peak, jobs.Result.STOPPED:
                self.corrections.remember(lease.job, peak)
        self._release(lease)
        match event.result:
            case jobs.Result.DONE:
                self._health.succeeded(lease.instance)
                self._answer(lease.job, _O.DONE)
            case jobs.Result.FAILED:
                self._failed(lease)
            case _ if lease.cancelled:
                self._answer(lease.job, _O.CANCELLED)
            case jobs.Result.CHECKPOINTED:
                self._checkpointed.add(lease.job.id)
                self._requeue(lease.job)
            case jobs.Result.STOPPED:
                self._restart(lease)
        self._refill(lease.instance)

    def _failed(self, lease: jobs.Lease) -> None:
        job = lease.job
        until = self._health.failed(lease.instance, job.id, self._now)
        if until is not None:
            self._actions.append(
                actions.Block(lease.instance, until, 'it fails what it starts')
            )
        failed_on = self._failed_on.setdefault(job.id, set())
        failed_on.add(lease.instance)
        if lease.cancelled:
            self._answer(job, _O.CANCELLED)
        elif len(failed_on) >= _MAX_FAILED_WORKERS:
            for instance in failed_on:
                self._health.acquit(instance, job.id)
            self._answer(
                job, _O.FAILED, f'it failed on {len(failed_on)} workers'
            )
        elif job.restartable:
            self._requeue(job)
        else:
            self._answer(job, _O.FAILED, 'it is not restartable')

    def _usage(self, event: events.UsageReported) -> None:
        worker = self._workers.get(event.instance)
        if worker is None:
            return
        worker.reachable = True
        for key, usage in event.usage_by_lease.items():
            lease = self._leases.leases_by_id.get(key)
            if lease is None or lease.instance != event.instance:
                # The worker runs what it has no lease for.
                self._actions.append(actions.Fence(key, event.instance))
            elif lease.state is _L.RUNNING:
                lease.renewed_at = self._now
                self._learn_usage(worker, lease, usage)
        # A report from before the last call does not show its effect yet.
        if event.at <= worker.acted_at:
            return
        for call in pressure.relieve(worker, event.usage_by_lease):
            worker.acted_at = self._now
            lease = self._leases.leases_by_id[call.lease]
            match call:
                case actions.Throttle(cores=cores):
                    self._throttle(worker, lease, cores)
                case actions.Stop():
                    self._stop(lease, restart=True)

    def _learn_usage(
        self, worker: workers.Worker, lease: jobs.Lease, usage: jobs.Usage
    ) -> None:
        """Charge a task that uses more than expected with what it uses."""
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

    # Cancellation, stops and fencing.

    def _cancel(self, job_id: ids.JobId) -> None:
        job = self._waiting.remove(job_id)
        if job is not None:
            self._answer(job, _O.CANCELLED)
            return
        lease = self._leases.leases_by_job.get(job_id)
        if lease is None or lease.cancelled:
            return
        lease.cancelled = True
        if lease.state is not _L.FENCING:
            self._stop(lease, restart=False)

    def _stop(self, lease: jobs.Lease, restart: bool) -> None:
        lease.restart = restart
        if lease.state is not _L.FENCING:
            self._leases.set_state(lease, _L.STOPPING)
        lease.sent_at = self._now
        self._actions.append(
            actions.Stop(
                lease.id,
                lease.instance,
                lease.job.can_checkpoint and restart,
            )
        )

    def _fence(self, lease: jobs.Lease) -> None:
        self._leases.set_state(lease, _L.FENCING)
        lease.sent_at = self._now
        self._actions.append(actions.Fence(lease.id, lease.instance))

    def _fenced(self, lease_id: ids.LeaseId) -> None:
        lease = self._leases.leases_by_id.get(lease_id)
        # A late answer about a lease that runs again does not exist: the
        # id is used once.
        if lease is not None and lease.state is _L.FENCING:
            self._gone(lease)

    def _gone(self, lease: jobs.Lease) -> None:
        """The lease can no longer run; what it did is not known."""
        self._release(lease)
        if lease.cancelled:
            self._answer(lease.job, _O.CANCELLED)
        else:
            self._restart(lease)
        self._refill(lease.instance)

    def _restart(self, lease: jobs.Lease) -> None:
        if lease.job.restartable:
            self._requeue(lease.job)
        else:
            self._answer(
                lease.job,
                _O.UNKNOWN,
                f'worker {lease.instance} was stopped or lost while it may '
                'have run. Check its effects before submitting it again.',
            )

    def _requeue(self, job: jobs.Job) -> None:
        self._waiting.add(job)
        self._place(job)

    def _release(self, lease: jobs.Lease) -> None:
        self._leases.remove(lease)
        worker = self._workers.get(lease.instance)
        if worker is not None:
            worker.remove(lease)
        self.quotas.release(lease.job)
        self._retry = True

    def _answer(
        self, job: jobs.Job, outcome: jobs.Outcome, detail: str = ''
    ) -> None:
        self._failed_on.pop(job.id, None)
        self._checkpointed.discard(job.id)
        self.corrections.forget(job.id)
        self._leases.forget(job.id)
        self._actions.append(actions.Answer(job.id, outcome, detail))

    # Workers and time.

    def _join(self, record: fleet.InstanceRecord) -> None:
        worker = self._workers.get(record.id)
        if worker is None:
            worker = workers.Worker(record)
            self._workers[record.id] = worker
        rebooted = record.incarnation > worker.record.incarnation
        worker.record = record
        worker.open = True
        worker.reachable = True
        if rebooted:
            # Nothing that was started before the reboot runs any more.
            for lease in list(worker.leases.values()):
                self._gone(lease)
        self._refill(record.id)

    def _unreachable(self, instance: ids.InstanceId) -> None:
        worker = self._workers.get(instance)
        if worker is None:
            return
        worker.reachable = False
        for lease in list(worker.leases.values()):
            if lease.state is not _L.FENCING:
                self._fence(lease)

    def _refill(self, instance: ids.InstanceId) -> None:
        """Use what became free on one worker, waiting jobs in order."""
        worker = self._workers.get(instance)
        if worker is None or not worker.open or not len(self._waiting):
            return
        for job in self._waiting.first(_JOBS_PER_REFILL):
            if not self.quotas.allows(job):
                continue
            need = self.corrections.expected(job)
            if workers.choose([worker], job, need, self._takes_work(job)):
                self._grant(job, worker, need)
        self._unthrottle(worker)

    def _unthrottle(self, worker: workers.Worker) -> None:
        """Give throttled tasks their cores back where there is room."""
        total = worker.record.resources
        for lease in worker.leases.values():
            cores = lease.job.need.cores
            extra = cores - lease.granted.cores
            if lease.throttled and (
                worker.granted.cores + extra <= total.cores
            ):
                self._throttle(worker, lease, cores)
                lease.throttled = False

    def _tick(self) -> None:
        for lease in self._leases.in_state(_L.STARTING):
            if self._now - lease.sent_at >= RETRY_S:
                self._start_again(lease)
        for lease in self._leases.in_state(_L.STOPPING):
            if self._now - lease.sent_at >= RETRY_S:
                self._stop(lease, lease.restart)
        for lease in self._leases.in_state(_L.FENCING):
            if self._now >= leases.ended_for_sure_at(lease):
                self._gone(lease)
            elif self._now - lease.sent_at >= RETRY_S:
                self._fence(lease)
        if self._now >= self._expiry_at:
            self._expiry_at = self._now + 1.0
            self._expire()
        if self._retry and len(self._waiting):
            self._retry = False
            for job in self._waiting.first(_JOBS_PER_TICK):
                self._place(job)

    def _start_again(self, lease: jobs.Lease) -> None:
        if self._now - lease.granted_at >= START_LIMIT_S:
            self._health.failed(lease.instance, lease.job.id, self._now)
            self._fence(lease)
        else:
            self._send_start(lease)

    def _expire(self) -> None:
        for state in (_L.RUNNING, _L.STOPPING):
            for lease in self._leases.in_state(state):
                if self._now >= leases.ended_for_sure_at(lease):
                    self._gone(lease)

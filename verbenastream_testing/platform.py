"""A simulated platform that loses, delays and duplicates messages.

It records on virtual time what ran where. Tests and benchmarks check this
ledger instead of the state of the placement core.
"""

from __future__ import annotations

import dataclasses
import heapq
import random

from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version.placement import actions
from verbenastream.version.placement import events
from verbenastream.version.placement import jobs

_REPORT_INTERVAL_S = 1.0
_STOP_DURATION_S = 0.15
_CHECKPOINT_DURATION_S = 0.6
_LEASE_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class ActualBehaviour:
    """What a job really does, regardless of what its team declared."""

    run_s: float
    cores: float
    memory_gb: float
    fails: bool = False


@dataclasses.dataclass(slots=True)
class _Task:
    lease: ids.LeaseId
    job: jobs.Job
    token: int
    actual: ActualBehaviour
    lease_until: float
    ends_at: float
    cores: float
    is_ending: bool = False


@dataclasses.dataclass(slots=True)
class _Host:
    record: fleet.InstanceRecord
    tasks: dict[ids.LeaseId, _Task] = dataclasses.field(default_factory=dict)
    # Results that the core has not acknowledged.
    results: dict[ids.LeaseId, events.Ended] = dataclasses.field(
        default_factory=dict
    )
    # Leases that were started, stopped or fenced; later starts are ignored.
    used_leases: set[ids.LeaseId] = dataclasses.field(default_factory=set)
    disconnected_until: float = float('-inf')
    failing: bool = False


@dataclasses.dataclass(slots=True)
class Ledger:
    """Starts and rule violations as the platform sees them."""

    first_start_by_job: dict[ids.JobId, float] = dataclasses.field(
        default_factory=dict
    )
    running_by_job: dict[ids.JobId, ids.LeaseId] = dataclasses.field(
        default_factory=dict
    )
    starts_by_job: dict[ids.JobId, int] = dataclasses.field(
        default_factory=dict
    )
    violations: list[str] = dataclasses.field(default_factory=list)
    killed_for_memory: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Probabilities for each message, in both directions."""

    loss_probability: float = 0.05
    delay_probability: float = 0.02
    duplication_probability: float = 0.03


class FakePlatform:
    """Simulates workers that execute the actions of a placement core.

    ``send`` takes an action of the core; ``pop_due`` returns the events that
    have arrived at the core by a time, in order.
    """

    def __init__(
        self,
        rng: random.Random,
        actual_by_job: dict[ids.JobId, ActualBehaviour],
        faults: Faults = Faults(),
    ) -> None:
        self.ledger = Ledger()
        self._rng = rng
        self._actual_by_job = actual_by_job
        self._faults = faults
        self._hosts: dict[ids.InstanceId, _Host] = {}
        self._queue: list[tuple[float, int, object]] = []
        self._sequence = 0
        # Remaining run time of each job at its checkpoint.
        self._checkpoints: dict[ids.JobId, float] = {}

    def add_worker(self, record: fleet.InstanceRecord, now: float) -> None:
        self._hosts[record.id] = _Host(record)
        self._schedule(
            now + self._rng.uniform(0, _REPORT_INTERVAL_S),
            _ReportDue(record.id),
        )

    def disconnect(self, instance: ids.InstanceId, until: float) -> None:
        """Drop all messages of a worker, which keeps running its tasks."""
        self._hosts[instance].disconnected_until = until

    def set_failing(self, instance: ids.InstanceId, failing: bool) -> None:
        """Set whether a worker fails every task that it starts."""
        self._hosts[instance].failing = failing

    def is_disconnected(self, instance: ids.InstanceId, now: float) -> bool:
        return now < self._hosts[instance].disconnected_until

    def running(self) -> int:
        return sum(len(host.tasks) for host in self._hosts.values())

    def next_event_time(self) -> float:
        return self._queue[0][0] if self._queue else float('inf')

    def send(self, action: actions.Action, now: float) -> None:
        if isinstance(action, (actions.Answer, actions.Block)):
            return
        for at in self._draw_arrival_times(now):
            self._schedule(at, action)

    def pop_due(self, now: float) -> list[tuple[float, events.Event]]:
        due_events: list[tuple[float, events.Event]] = []
        while self._queue and self._queue[0][0] <= now:
            at, _, item = heapq.heappop(self._queue)
            match item:
                case _EventArrival(event=event):
                    due_events.append((at, event))
                    if isinstance(event, events.UsageReported):
                        self._renew_leases(event, at)
                case _ReportDue(instance=instance):
                    self._report(self._hosts[instance], at)
                case _TaskEnd(instance=instance, lease=lease, result=result):
                    self._finish(self._hosts[instance], lease, result, at)
                case _:
                    self._execute(item, at)
        return due_events

    def _schedule(self, at: float, item: object) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (at, self._sequence, item))

    def _draw_arrival_times(self, now: float) -> list[float]:
        """Return when the copies of one message arrive."""
        if self._rng.random() < self._faults.loss_probability:
            return []
        delay = self._rng.uniform(0.002, 0.03)
        if self._rng.random() < self._faults.delay_probability:
            delay = self._rng.uniform(0.5, 3.0)
        arrival_times = [now + delay]
        if self._rng.random() < self._faults.duplication_probability:
            arrival_times.append(now + delay + self._rng.uniform(0.0, 1.0))
        return arrival_times

    def _send_to_core(
        self, host: _Host, event: events.Event, now: float
    ) -> None:
        if now < host.disconnected_until:
            return
        for at in self._draw_arrival_times(now):
            self._schedule(at, _EventArrival(event))

    def _execute(self, action: object, now: float) -> None:
        match action:
            case actions.Start(instance=instance):
                if not self.is_disconnected(instance, now):
                    self._start(self._hosts[instance], action, now)
            case actions.Stop(instance=instance):
                if not self.is_disconnected(instance, now):
                    self._stop(self._hosts[instance], action, now)
            case actions.Fence(lease=lease, instance=instance):
                # The platform reaches the machine's controller even if
                # the worker's network is disconnected.
                self._fence(self._hosts[instance], lease, now)
            case actions.Throttle(lease=lease, instance=instance, cores=cores):
                task = self._hosts[instance].tasks.get(lease)
                if task is not None and not self.is_disconnected(
                    instance, now
                ):
                    task.cores = min(cores, task.actual.cores)
            case actions.Acknowledge(lease=lease, instance=instance):
                self._hosts[instance].results.pop(lease, None)

    def _start(self, host: _Host, action: actions.Start, now: float) -> None:
        if action.lease in host.tasks:
            self._send_to_core(host, events.Started(action.lease), now)
            return
        if action.lease in host.used_leases:
            return
        host.used_leases.add(action.lease)
        ledger = self.ledger
        job = action.job.id
        if job in ledger.running_by_job:
            ledger.violations.append(
                f'at {now:.2f} s: {job} starts under {action.lease} while '
                f'{ledger.running_by_job[job]} runs'
            )
        remaining_s = self._checkpoints.get(job)
        if action.resume and remaining_s is None:
            ledger.violations.append(f'{job} has no checkpoint to resume')
        if (
            not action.job.restartable
            and job in ledger.starts_by_job
            and not action.resume
        ):
            ledger.violations.append(f'{job} must not start again')
        ledger.running_by_job[job] = action.lease
        ledger.starts_by_job[job] = ledger.starts_by_job.get(job, 0) + 1
        ledger.first_start_by_job.setdefault(job, now)
        actual = self._actual_by_job[job]
        if not action.resume or remaining_s is None:
            remaining_s = actual.run_s
        host.tasks[action.lease] = _Task(
            action.lease,
            action.job,
            action.token,
            actual,
            now + action.lease_s,
            now + remaining_s,
            actual.cores,
        )
        self._send_to_core(host, events.Started(action.lease), now)
        fails = host.failing or actual.fails
        result = jobs.Result.FAILED if fails else jobs.Result.DONE
        run_s = min(1.0, remaining_s) if fails else remaining_s
        self._schedule(
            now + run_s, _TaskEnd(host.record.id, action.lease, result)
        )

    def _stop(self, host: _Host, action: actions.Stop, now: float) -> None:
        task = host.tasks.get(action.lease)
        # A start that arrives after the stop has no effect.
        host.used_leases.add(action.lease)
        if task is None:
            earlier_result = host.results.get(action.lease)
            self._send_to_core(
                host,
                earlier_result
                or events.Ended(
                    action.lease, host.record.id, jobs.Result.STOPPED
                ),
                now,
            )
            return
        if task.is_ending:
            return
        task.is_ending = True
        delay, result = _STOP_DURATION_S, jobs.Result.STOPPED
        if action.checkpoint:
            delay, result = _CHECKPOINT_DURATION_S, jobs.Result.CHECKPOINTED
        self._schedule(
            now + delay, _TaskEnd(host.record.id, action.lease, result)
        )

    def _fence(self, host: _Host, lease: ids.LeaseId, now: float) -> None:
        host.used_leases.add(lease)
        host.results.pop(lease, None)
        self._remove_task(host, lease)
        for at in self._draw_arrival_times(now + _STOP_DURATION_S):
            self._schedule(at, _EventArrival(events.Fenced(lease)))

    def _remove_task(self, host: _Host, lease: ids.LeaseId) -> _Task | None:
        task = host.tasks.pop(lease, None)
        if task is not None:
            if self.ledger.running_by_job.get(task.job.id) == lease:
                del self.ledger.running_by_job[task.job.id]
        return task

    def _finish(
        self,
        host: _Host,
        lease: ids.LeaseId,
        result: jobs.Result,
        now: float,
    ) -> None:
        task = self._remove_task(host, lease)
        if task is None:
            return
        if result is jobs.Result.CHECKPOINTED:
            self._checkpoints[task.job.id] = max(0.0, task.ends_at - now)
        peak = jobs.Usage(task.actual.cores, task.actual.memory_gb)
        ended = events.Ended(lease, host.record.id, result, peak)
        host.results[lease] = ended
        self._send_to_core(host, ended, now)

    def _report(self, host: _Host, now: float) -> None:
        """Stop tasks without a lease, repeat results and report usage."""
        for task in list(host.tasks.values()):
            if now >= task.lease_until:
                self._finish(host, task.lease, jobs.Result.STOPPED, now)
        self._kill_for_memory(host, now)
        for ended in list(host.results.values()):
            self._send_to_core(host, ended, now)
        usage = {
            task.lease: jobs.Usage(task.cores, task.actual.memory_gb)
            for task in host.tasks.values()
        }
        self._send_to_core(
            host, events.UsageReported(host.record.id, now, usage), now
        )
        self._schedule(now + _REPORT_INTERVAL_S, _ReportDue(host.record.id))

    def _kill_for_memory(self, host: _Host, now: float) -> None:
        """Kill the largest tasks until the memory suffices."""
        while (
            sum(task.actual.memory_gb for task in host.tasks.values())
            > host.record.resources.memory_gb
        ):
            largest = max(
                host.tasks.values(),
                key=lambda task: task.actual.memory_gb,
            )
            self.ledger.killed_for_memory += 1
            self._finish(host, largest.lease, jobs.Result.STOPPED, now)

    def _renew_leases(self, event: events.UsageReported, now: float) -> None:
        """Renew the leases in a report from the time it was sent.

        The platform gets the renewal in the answer to the report, which may
        be lost.
        """
        host = self._hosts[event.instance]
        if self.is_disconnected(event.instance, now):
            return
        if self._rng.random() < self._faults.loss_probability:
            return
        for lease in event.usage_by_lease:
            task = host.tasks.get(lease)
            if task is not None:
                task.lease_until = max(task.lease_until, event.at + _LEASE_S)


@dataclasses.dataclass(frozen=True, slots=True)
class _EventArrival:
    event: events.Event


@dataclasses.dataclass(frozen=True, slots=True)
class _ReportDue:
    instance: ids.InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class _TaskEnd:
    instance: ids.InstanceId
    lease: ids.LeaseId
    result: jobs.Result

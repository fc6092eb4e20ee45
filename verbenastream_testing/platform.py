"""A platform on virtual time whose answers get lost, late or duplicated.

It keeps its own ledger of what ran where, which the verdict of tests and
benchmarks rests on.
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

_REPORT_S = 1.0
_STOP_S = 0.15
_CHECKPOINT_S = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Actual:
    """What a job really does, whatever its team declared."""

    run_s: float
    cores: float
    memory_gb: float
    fails: bool = False


@dataclasses.dataclass(slots=True)
class _Task:
    lease: ids.LeaseId
    job: jobs.Job
    token: int
    actual: Actual
    lease_until: float
    ends_at: float
    cores: float
    ending: bool = False


@dataclasses.dataclass(slots=True)
class _Host:
    record: fleet.InstanceRecord
    tasks: dict[ids.LeaseId, _Task] = dataclasses.field(default_factory=dict)
    # Results that the core has not acknowledged.
    results: dict[ids.LeaseId, events.Ended] = dataclasses.field(
        default_factory=dict
    )
    refused: set[ids.LeaseId] = dataclasses.field(default_factory=set)
    cut_until: float = float('-inf')
    broken: bool = False


@dataclasses.dataclass(slots=True)
class Ledger:
    """Counted at the platform, not at the core."""

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
    """Shares of messages, in each direction."""

    lost: float = 0.05
    late: float = 0.02
    duplicated: float = 0.03


class FakePlatform:
    """Workers that run tasks by the actions of a placement core.

    ``send`` takes an action at a time; ``due`` returns the events that have
    arrived at the core until a time, in order.
    """

    def __init__(
        self,
        rng: random.Random,
        actual_by_job: dict[ids.JobId, Actual],
        faults: Faults = Faults(),
    ) -> None:
        self.ledger = Ledger()
        self._rng = rng
        self._actual_by_job = actual_by_job
        self._faults = faults
        self._hosts: dict[ids.InstanceId, _Host] = {}
        self._queue: list[tuple[float, int, object]] = []
        self._order = 0
        # Remaining run time of each job at its checkpoint.
        self._checkpoints: dict[ids.JobId, float] = {}

    def add_worker(self, record: fleet.InstanceRecord, now: float) -> None:
        self._hosts[record.id] = _Host(record)
        self._push(now + self._rng.uniform(0, _REPORT_S), _Report(record.id))

    def cut(self, instance: ids.InstanceId, until: float) -> None:
        """Drop all messages of a worker, which goes on running."""
        self._hosts[instance].cut_until = until

    def break_worker(self, instance: ids.InstanceId, broken: bool) -> None:
        """Make a worker fail everything it starts."""
        self._hosts[instance].broken = broken

    def is_cut(self, instance: ids.InstanceId, now: float) -> bool:
        return now < self._hosts[instance].cut_until

    def running(self) -> int:
        return sum(len(host.tasks) for host in self._hosts.values())

    def next_at(self) -> float:
        return self._queue[0][0] if self._queue else float('inf')

    def send(self, action: actions.Action, now: float) -> None:
        if isinstance(action, (actions.Answer, actions.Block)):
            return
        for at in self._deliveries(now):
            self._push(at, action)

    def due(self, now: float) -> list[tuple[float, events.Event]]:
        found: list[tuple[float, events.Event]] = []
        while self._queue and self._queue[0][0] <= now:
            at, _, item = heapq.heappop(self._queue)
            match item:
                case _Arrived(event=event):
                    found.append((at, event))
                    if isinstance(event, events.UsageReported):
                        self._renew(event, at)
                case _Report(instance=instance):
                    self._report(self._hosts[instance], at)
                case _Finish(instance=instance, lease=lease, result=result):
                    self._finish(self._hosts[instance], lease, result, at)
                case _:
                    self._act(item, at)
        return found

    def _push(self, at: float, item: object) -> None:
        self._order += 1
        heapq.heappush(self._queue, (at, self._order, item))

    def _deliveries(self, now: float) -> list[float]:
        """Return when the copies of one message arrive."""
        if self._rng.random() < self._faults.lost:
            return []
        delay = self._rng.uniform(0.002, 0.03)
        if self._rng.random() < self._faults.late:
            delay = self._rng.uniform(0.5, 3.0)
        found = [now + delay]
        if self._rng.random() < self._faults.duplicated:
            found.append(now + delay + self._rng.uniform(0.0, 1.0))
        return found

    def _reply(self, host: _Host, event: events.Event, now: float) -> None:
        if now < host.cut_until:
            return
        for at in self._deliveries(now):
            self._push(at, _Arrived(event))

    def _act(self, action: object, now: float) -> None:
        match action:
            case actions.Start(instance=instance):
                if not self.is_cut(instance, now):
                    self._start(self._hosts[instance], action, now)
            case actions.Stop(instance=instance):
                if not self.is_cut(instance, now):
                    self._stop(self._hosts[instance], action, now)
            case actions.Fence(lease=lease, instance=instance):
                # The platform reaches the machine's controller even when
                # the worker's network is cut.
                self._fence(self._hosts[instance], lease, now)
            case actions.Throttle(lease=lease, instance=instance, cores=cores):
                task = self._hosts[instance].tasks.get(lease)
                if task is not None and not self.is_cut(instance, now):
                    task.cores = min(cores, task.actual.cores)
            case actions.Acknowledge(lease=lease, instance=instance):
                self._hosts[instance].results.pop(lease, None)

    def _start(self, host: _Host, action: actions.Start, now: float) -> None:
        if action.lease in host.tasks:
            self._reply(host, events.Started(action.lease), now)
            return
        if action.lease in host.refused:
            return
        host.refused.add(action.lease)
        ledger = self.ledger
        job = action.job.id
        if job in ledger.running_by_job:
            ledger.violations.append(
                f'at {now:.2f} s: {job} starts under {action.lease} while '
                f'{ledger.running_by_job[job]} runs'
            )
        left_s = self._checkpoints.get(job)
        if action.resume and left_s is None:
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
        if not action.resume or left_s is None:
            left_s = actual.run_s
        host.tasks[action.lease] = _Task(
            action.lease,
            action.job,
            action.token,
            actual,
            now + action.lease_s,
            now + left_s,
            actual.cores,
        )
        self._reply(host, events.Started(action.lease), now)
        fails = host.broken or actual.fails
        result = jobs.Result.FAILED if fails else jobs.Result.DONE
        run_s = min(1.0, left_s) if fails else left_s
        self._push(now + run_s, _Finish(host.record.id, action.lease, result))

    def _stop(self, host: _Host, action: actions.Stop, now: float) -> None:
        task = host.tasks.get(action.lease)
        # A start that arrives after the stop has no effect.
        host.refused.add(action.lease)
        if task is None:
            known = host.results.get(action.lease)
            self._reply(
                host,
                known
                or events.Ended(
                    action.lease, host.record.id, jobs.Result.STOPPED
                ),
                now,
            )
            return
        if task.ending:
            return
        task.ending = True
        delay, result = _STOP_S, jobs.Result.STOPPED
        if action.checkpoint:
            delay, result = _CHECKPOINT_S, jobs.Result.CHECKPOINTED
        self._push(now + delay, _Finish(host.record.id, action.lease, result))

    def _fence(self, host: _Host, lease: ids.LeaseId, now: float) -> None:
        host.refused.add(lease)
        host.results.pop(lease, None)
        self._forget(host, lease)
        for at in self._deliveries(now + _STOP_S):
            self._push(at, _Arrived(events.Fenced(lease)))

    def _forget(self, host: _Host, lease: ids.LeaseId) -> _Task | None:
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
        task = self._forget(host, lease)
        if task is None:
            return
        if result is jobs.Result.CHECKPOINTED:
            self._checkpoints[task.job.id] = max(0.0, task.ends_at - now)
        peak = jobs.Usage(task.actual.cores, task.actual.memory_gb)
        ended = events.Ended(lease, host.record.id, result, peak)
        host.results[lease] = ended
        self._reply(host, ended, now)

    def _report(self, host: _Host, now: float) -> None:
        """Report usage, repeat results, stop what lost its lease."""
        for task in list(host.tasks.values()):
            if now >= task.lease_until:
                self._finish(host, task.lease, jobs.Result.STOPPED, now)
        self._relieve_memory(host, now)
        for ended in list(host.results.values()):
            self._reply(host, ended, now)
        usage = {
            task.lease: jobs.Usage(task.cores, task.actual.memory_gb)
            for task in host.tasks.values()
        }
        self._reply(
            host, events.UsageReported(host.record.id, now, usage), now
        )
        self._push(now + _REPORT_S, _Report(host.record.id))

    def _relieve_memory(self, host: _Host, now: float) -> None:
        """Kill the largest task when the memory is exhausted."""
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

    def _renew(self, event: events.UsageReported, now: float) -> None:
        """The answer to a report renews its leases from when it was sent."""
        host = self._hosts[event.instance]
        if self.is_cut(event.instance, now):
            return
        if self._rng.random() < self._faults.lost:
            return
        for lease in event.usage_by_lease:
            task = host.tasks.get(lease)
            if task is not None:
                task.lease_until = max(task.lease_until, event.at + 30.0)


@dataclasses.dataclass(frozen=True, slots=True)
class _Arrived:
    event: events.Event


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    instance: ids.InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class _Finish:
    instance: ids.InstanceId
    lease: ids.LeaseId
    result: jobs.Result

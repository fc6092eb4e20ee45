"""Replays job traces against the placement core on virtual time."""

from __future__ import annotations

import dataclasses
import heapq
import random
import time

from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version.placement import actions
from verbenastream.version.placement import core
from verbenastream.version.placement import events
from verbenastream.version.placement import jobs
from verbenastream_testing import platform

_TICK_S = 0.1
_SUSPICION_DELAY_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Sizes and faults of a generated trace.

    The replay ends at most ``drain_limit_s`` after the trace.
    """

    workers: int
    teams: int
    jobs: int
    seconds: float
    urgent_share: float = 0.05
    partitions: int = 3
    broken_workers: int = 2
    cancelled_at_once: int = 0
    drain_limit_s: float = 3_600.0


@dataclasses.dataclass
class Outcome:
    """Measurements of one replay."""

    urgent_waits: list[float] = dataclasses.field(default_factory=list)
    violations: list[str] = dataclasses.field(default_factory=list)
    answers: dict[ids.JobId, actions.Answer] = dataclasses.field(
        default_factory=dict
    )
    refused_wrongly: int = 0
    failures_on_broken: int = 0
    killed_for_memory: int = 0
    event_s: list[float] = dataclasses.field(default_factory=list)
    counts: core.Counts | None = None
    submitted: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Partition:
    instance: ids.InstanceId
    until: float


class Replay:
    """Replays one generated trace against one core and a fake platform."""

    def __init__(
        self,
        load: Load,
        seed: int,
        faults: platform.Faults = platform.Faults(),
    ) -> None:
        self._load = load
        self._rng = random.Random(f'placement-{seed}')
        self.outcome = Outcome()
        self._actual_by_job: dict[ids.JobId, platform.ActualBehaviour] = {}
        self._core = core.PlacementCore()
        self._platform = platform.FakePlatform(
            random.Random(f'platform-{seed}'), self._actual_by_job, faults
        )
        self._queue: list[tuple[float, int, events.Event | _Partition]] = []
        self._sequence = 0
        self._submitted_at: dict[ids.JobId, float] = {}
        self._urgent_jobs: list[ids.JobId] = []
        self.peak_granted_cores = 0.0
        self._next_sample_at = 0.0
        self._workers: list[ids.InstanceId] = []
        self._records_by_id: dict[ids.InstanceId, fleet.InstanceRecord] = {}
        self._generate()

    def run(self) -> Outcome:
        now = 0.0
        next_tick_at = 0.0
        end = self._load.seconds + self._load.drain_limit_s
        while now < end:
            next_event_at = self._queue[0][0] if self._queue else float('inf')
            now = min(
                next_event_at, self._platform.next_event_time(), next_tick_at
            )
            if now == next_tick_at:
                next_tick_at += _TICK_S
                self._handle(events.Tick(), now)
                self._sample_granted_cores(now)
            while self._queue and self._queue[0][0] <= now:
                item = heapq.heappop(self._queue)[2]
                if isinstance(item, _Partition):
                    self._partition_worker(item, now)
                else:
                    self._handle(item, now)
            for event_at, event in self._platform.pop_due(now):
                self._handle(event, event_at)
            if now == next_tick_at - _TICK_S and now > self._load.seconds:
                if self._is_idle():
                    break
        return self._finish()

    def _sample_granted_cores(self, now: float) -> None:
        if now >= self._next_sample_at:
            self._next_sample_at = now + 5.0
            granted_cores = self._core.counts().granted.cores
            self.peak_granted_cores = max(
                self.peak_granted_cores, granted_cores
            )

    def _is_idle(self) -> bool:
        return len(self._core) == 0

    def _handle(self, event: events.Event, now: float) -> None:
        started_at = time.process_time()
        produced = self._core.handle(event, now)
        if not isinstance(event, events.Tick):
            self.outcome.event_s.append(time.process_time() - started_at)
        for action in produced:
            if isinstance(action, actions.Answer):
                if action.job in self.outcome.answers:
                    self.outcome.violations.append(
                        f'{action.job} has more than one answer'
                    )
                self.outcome.answers[action.job] = action
            else:
                self._platform.send(action, now)

    def _partition_worker(self, partition: _Partition, now: float) -> None:
        """Drop a worker's messages until the end of the partition."""
        self._platform.disconnect(partition.instance, partition.until)
        unreachable = events.WorkerUnreachable(partition.instance)
        self._push(now + _SUSPICION_DELAY_S, unreachable)
        rejoined = events.WorkerJoined(self._records_by_id[partition.instance])
        self._push(partition.until + _SUSPICION_DELAY_S, rejoined)

    def _push(self, at: float, event: events.Event | _Partition) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (at, self._sequence, event))

    def _generate(self) -> None:
        load = self._load
        for position in range(load.workers):
            record = _worker(position)
            self._workers.append(record.id)
            self._records_by_id[record.id] = record
            self._platform.add_worker(record, 0.0)
            self._push(0.0, events.WorkerJoined(record))
        total_cores = load.workers * 32.0
        for team in range(load.teams):
            quota = fleet.Resources(
                max(64.0, 3.0 * total_cores / load.teams),
                max(128.0, 6.0 * total_cores / load.teams),
                64,
            )
            self._push(
                0.0, events.QuotaChanged(ids.TeamId(f'team-{team}'), quota)
            )
        for position in range(load.jobs):
            self._add_job(position)
        self._add_faults()

    def _add_job(self, position: int) -> None:
        rng = self._rng
        submitted_at = rng.uniform(1.0, self._load.seconds)
        kind = rng.randrange(12)
        urgent = rng.random() < self._load.urgent_share
        priority = rng.choice((jobs.Priority.NORMAL, jobs.Priority.BATCH))
        cores = float(rng.choice((1, 2, 2, 4, 8)))
        memory_gb = cores * rng.choice((1.0, 2.0))
        if urgent:
            priority = jobs.Priority.URGENT
            cores, memory_gb = 1.0, 1.0
        job = jobs.Job(
            id=ids.JobId(f'job-{position}'),
            team=ids.TeamId(f'team-{rng.randrange(self._load.teams)}'),
            kind=f'kind-{kind}',
            need=fleet.Resources(
                cores, memory_gb, 1 if rng.random() < 0.01 else 0
            ),
            priority=priority,
            restartable=rng.random() < 0.9,
            can_checkpoint=rng.random() < 0.5,
        )
        # By kind, actual usage is between a third and three times the declared
        # one.
        usage_factor = 3.0 ** ((kind - 5.5) / 5.5) * rng.uniform(0.8, 1.2)
        run_s = rng.expovariate(1 / 60.0) + 1.0
        if rng.random() < 0.02:
            run_s = min(1_800.0, 20.0 * run_s)
        self._actual_by_job[job.id] = platform.ActualBehaviour(
            run_s,
            cores * usage_factor,
            min(memory_gb * usage_factor, 60.0),
            fails=rng.random() < 0.005,
        )
        self._submitted_at[job.id] = submitted_at
        if urgent:
            self._urgent_jobs.append(job.id)
        self._push(submitted_at, events.Submitted(job))
        if rng.random() < 0.02:
            cancel = events.Cancelled((job.id,))
            self._push(submitted_at + rng.uniform(0.0, 30.0), cancel)

    def _add_faults(self) -> None:
        rng = self._rng
        load = self._load
        for _ in range(load.partitions):
            instance = rng.choice(self._workers)
            at = rng.uniform(10.0, load.seconds)
            partition_s = rng.uniform(5.0, 120.0)
            self._push(at, _Partition(instance, at + partition_s))
        for instance in rng.sample(self._workers, load.broken_workers):
            self._platform.set_failing(instance, True)
        if load.cancelled_at_once:
            cancelled_jobs = tuple(sorted(self._submitted_at))[
                : load.cancelled_at_once
            ]
            self._push(load.seconds / 2, events.Cancelled(cancelled_jobs))

    def _finish(self) -> Outcome:
        outcome = self.outcome
        ledger = self._platform.ledger
        outcome.violations.extend(ledger.violations)
        outcome.killed_for_memory = ledger.killed_for_memory
        outcome.counts = self._core.counts()
        outcome.submitted = len(self._submitted_at)
        for job in self._urgent_jobs:
            started_at = ledger.first_start_by_job.get(job)
            answer = outcome.answers.get(job)
            cancelled = (
                answer is not None and answer.outcome is jobs.Outcome.CANCELLED
            )
            if started_at is not None:
                outcome.urgent_waits.append(
                    started_at - self._submitted_at[job]
                )
            elif not cancelled:
                outcome.urgent_waits.append(float('inf'))
        return outcome


def _worker(position: int) -> fleet.InstanceRecord:
    return fleet.InstanceRecord(
        id=ids.InstanceId(f'worker-{position:04}'),
        data_centre=ids.DataCentreId(f'dc-{position // 68:02}'),
        rack=ids.RackId(f'rack-{position // 4:03}'),
        address='127.0.0.1',
        port=10_000 + position,
        resources=fleet.Resources(32.0, 64.0, 4 if position % 10 == 0 else 0),
    )

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
_SUSPECT_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Sizes of a generated trace."""

    workers: int
    teams: int
    jobs: int
    seconds: float
    urgent_share: float = 0.05
    cuts: int = 3
    broken: int = 2
    cancelled_at_once: int = 0
    settle_s: float = 3_600.0


@dataclasses.dataclass
class Outcome:
    """What one replay measured."""

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
class _Cut:
    instance: ids.InstanceId
    until: float


class Replay:
    """One core, one fake platform, one generated trace."""

    def __init__(
        self,
        load: Load,
        seed: int,
        faults: platform.Faults = platform.Faults(),
    ) -> None:
        self._load = load
        self._rng = random.Random(f'placement-{seed}')
        self.outcome = Outcome()
        self._actual: dict[ids.JobId, platform.ActualBehaviour] = {}
        self._core = core.PlacementCore()
        self._platform = platform.FakePlatform(
            random.Random(f'platform-{seed}'), self._actual, faults
        )
        self._queue: list[tuple[float, int, events.Event | _Cut]] = []
        self._order = 0
        self._submitted_at: dict[ids.JobId, float] = {}
        self._urgent: list[ids.JobId] = []
        self.peak_granted_cores = 0.0
        self._counted_at = 0.0
        self._workers: list[ids.InstanceId] = []
        self._records: dict[ids.InstanceId, fleet.InstanceRecord] = {}
        self._generate()

    def run(self) -> Outcome:
        now = 0.0
        tick = 0.0
        settle = self._load.seconds + self._load.settle_s
        while now < settle:
            upcoming = self._queue[0][0] if self._queue else float('inf')
            now = min(upcoming, self._platform.next_event_time(), tick)
            if now == tick:
                tick += _TICK_S
                self._handle(events.Tick(), now)
                self._count(now)
            while self._queue and self._queue[0][0] <= now:
                item = heapq.heappop(self._queue)[2]
                if isinstance(item, _Cut):
                    self._cut(item, now)
                else:
                    self._handle(item, now)
            for at, event in self._platform.pop_due(now):
                self._handle(event, at)
            if now == tick - _TICK_S and now > self._load.seconds:
                if self._is_idle():
                    break
        return self._close()

    def _count(self, now: float) -> None:
        if now >= self._counted_at:
            self._counted_at = now + 5.0
            granted = self._core.counts().granted.cores
            self.peak_granted_cores = max(self.peak_granted_cores, granted)

    def _is_idle(self) -> bool:
        return len(self._core) == 0

    def _handle(self, event: events.Event, now: float) -> None:
        started = time.process_time()
        found = self._core.handle(event, now)
        if not isinstance(event, events.Tick):
            self.outcome.event_s.append(time.process_time() - started)
        for action in found:
            if isinstance(action, actions.Answer):
                if action.job in self.outcome.answers:
                    self.outcome.violations.append(
                        f'{action.job} is answered twice'
                    )
                self.outcome.answers[action.job] = action
            else:
                self._platform.send(action, now)

    def _cut(self, cut: _Cut, now: float) -> None:
        """Drop a worker's messages; the entries suspect it meanwhile."""
        self._platform.disconnect(cut.instance, cut.until)
        suspected = events.WorkerUnreachable(cut.instance)
        self._push(now + _SUSPECT_S, suspected)
        back = events.WorkerJoined(self._records[cut.instance])
        self._push(cut.until + _SUSPECT_S, back)

    def _push(self, at: float, event: events.Event | _Cut) -> None:
        self._order += 1
        heapq.heappush(self._queue, (at, self._order, event))

    def _generate(self) -> None:
        load = self._load
        for position in range(load.workers):
            record = _worker(position)
            self._workers.append(record.id)
            self._records[record.id] = record
            self._platform.add_worker(record, 0.0)
            self._push(0.0, events.WorkerJoined(record))
        total = load.workers * 32.0
        for team in range(load.teams):
            quota = fleet.Resources(
                max(64.0, 3.0 * total / load.teams),
                max(128.0, 6.0 * total / load.teams),
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
        at = rng.uniform(1.0, self._load.seconds)
        kind = rng.randrange(12)
        urgent = rng.random() < self._load.urgent_share
        priority = rng.choice((jobs.Priority.NORMAL, jobs.Priority.BATCH))
        cores = float(rng.choice((1, 2, 2, 4, 8)))
        memory = cores * rng.choice((1.0, 2.0))
        if urgent:
            priority = jobs.Priority.URGENT
            cores, memory = 1.0, 1.0
        job = jobs.Job(
            id=ids.JobId(f'job-{position}'),
            team=ids.TeamId(f'team-{rng.randrange(self._load.teams)}'),
            kind=f'kind-{kind}',
            need=fleet.Resources(
                cores, memory, 1 if rng.random() < 0.01 else 0
            ),
            priority=priority,
            restartable=rng.random() < 0.9,
            can_checkpoint=rng.random() < 0.5,
        )
        # Kinds err between a third and three times of what is declared.
        error = 3.0 ** ((kind - 5.5) / 5.5) * rng.uniform(0.8, 1.2)
        run_s = rng.expovariate(1 / 60.0) + 1.0
        if rng.random() < 0.02:
            run_s = min(1_800.0, 20.0 * run_s)
        self._actual[job.id] = platform.ActualBehaviour(
            run_s,
            cores * error,
            min(memory * error, 60.0),
            fails=rng.random() < 0.005,
        )
        self._submitted_at[job.id] = at
        if urgent:
            self._urgent.append(job.id)
        self._push(at, events.Submitted(job))
        if rng.random() < 0.02:
            cancel = events.Cancelled((job.id,))
            self._push(at + rng.uniform(0.0, 30.0), cancel)

    def _add_faults(self) -> None:
        rng = self._rng
        load = self._load
        for _ in range(load.cuts):
            instance = rng.choice(self._workers)
            at = rng.uniform(10.0, load.seconds)
            length = rng.uniform(5.0, 120.0)
            self._push(at, _Cut(instance, at + length))
        for instance in rng.sample(self._workers, load.broken):
            self._platform.set_failing(instance, True)
        if load.cancelled_at_once:
            wave = tuple(sorted(self._submitted_at))[: load.cancelled_at_once]
            self._push(load.seconds / 2, events.Cancelled(wave))

    def _close(self) -> Outcome:
        outcome = self.outcome
        ledger = self._platform.ledger
        outcome.violations.extend(ledger.violations)
        outcome.killed_for_memory = ledger.killed_for_memory
        outcome.counts = self._core.counts()
        outcome.submitted = len(self._submitted_at)
        for job in self._urgent:
            start = ledger.first_start_by_job.get(job)
            answer = outcome.answers.get(job)
            cancelled = (
                answer is not None and answer.outcome is jobs.Outcome.CANCELLED
            )
            if start is not None:
                outcome.urgent_waits.append(start - self._submitted_at[job])
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

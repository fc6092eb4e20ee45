"""A simulated worker with leases, runs and reports of their ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import random
from typing import Protocol

from verbenastream import ids
from verbenastream.process import clock
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import workers
from verbenastream_testing.jobqueue import rules
from verbenastream_testing.jobqueue import sim_gangs

_HEARTBEAT_INTERVAL_S = 1.5
_ANSWER_TIMEOUT_S = 1.0
_END_BATCH_DELAY_S = 0.05
_STOP_DURATION_S = 0.2
# The slowest clock rate that a worker may have.
_MIN_CLOCK_RATE = 0.98


class Network(Protocol):
    """Delivers heartbeats and their answers, or loses them."""

    async def send_heartbeat(
        self, beat: workers.Heartbeat
    ) -> workers.Orders | None:
        """Return the orders in the answer, None if no node answers."""
        ...


@dataclasses.dataclass(slots=True)
class _Run:
    key: model.TaskKey
    number: int
    need: model.Resources
    ends_at: float
    fails: bool
    lasting: bool
    stopping_until: float | None = None
    gang: sim_gangs.GangRun | None = None


class SimWorker:
    """Executes orders and reports each start and end to ``checker``.

    A task runs for its estimate; ``failing`` makes all new runs fail.
    ``on_started`` is called with each task that starts.
    """

    def __init__(
        self,
        name: str,
        pool: ids.PoolId,
        rack: str,
        network: Network,
        checker: rules.RuleChecker,
        rng: random.Random,
        gangs: sim_gangs.SimGangs | None = None,
    ) -> None:
        self.name = ids.WorkerId(name)
        self.instance = ids.InstanceId(f'm-{name}')
        self.pool = pool
        self.rack = rack
        self.failing = False
        self.draining = False
        self.on_started: Callable[[model.TaskKey], None] = lambda key: None
        self._network = network
        self._checker = checker
        self._rng = rng
        # Workers whose tasks form a gang share this.
        self._gangs = gangs or sim_gangs.SimGangs()
        self._born = 0
        self.capacity = model.Resources(16_000, 65_536, 0)
        self._tasks: list[asyncio.Task[None]] = []
        self._reset()

    def _reset(self) -> None:
        self._born += 1
        self._sequence = 0
        self._fence = 0
        self._runs: dict[tuple[model.TaskKey, int], _Run] = {}
        self._highest_run_by_task: dict[model.TaskKey, int] = {}
        self._unacknowledged_ends: list[workers.EndReport] = []
        self._next_end_number = 1
        self._lease_until = 0.0
        self._lapse_count = 0
        self._lapse_count_by_end: dict[int, int] = {}
        self._end_added = asyncio.Event()

    def replace(self, crashed: SimWorker) -> None:
        """Run on the instance of a worker that has crashed."""
        self.instance = crashed.instance
        self._born = crashed._born

    def start(self) -> None:
        """Start the worker unless it is running."""
        if self._tasks:
            return
        self._tasks = [
            asyncio.create_task(self._send_heartbeats()),
            asyncio.create_task(self._advance_runs()),
        ]

    def crash(self) -> None:
        """End the worker process and lose all runs."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        for run in list(self._runs.values()):
            if run.gang is not None:
                self._gangs.leave(run.gang, clock.boot_time())
            self._checker.record_end(
                run.key, self._incarnation, run.number, False
            )
        self._reset()

    @property
    def is_up(self) -> bool:
        """Whether the worker process runs."""
        return bool(self._tasks)

    def is_running(self, key: model.TaskKey) -> bool:
        """Whether a run of the task is in progress."""
        return any(task == key for task, _ in self._runs)

    @property
    def _incarnation(self) -> tuple[str, int]:
        return (self.name, self._born)

    async def _send_heartbeats(self) -> None:
        # A task that is cancelled while an answer arrives goes on.
        born = self._born
        while born == self._born:
            pause_s = await self._send_heartbeat()
            self._end_added.clear()
            try:
                await asyncio.wait_for(self._end_added.wait(), pause_s)
                await asyncio.sleep(_END_BATCH_DELAY_S)
            except asyncio.TimeoutError:
                pass

    async def _send_heartbeat(self) -> float:
        self._sequence += 1
        born = self._born
        sent_at = clock.boot_time()
        try:
            orders = await asyncio.wait_for(
                self._network.send_heartbeat(self._make_heartbeat()),
                _ANSWER_TIMEOUT_S,
            )
        except asyncio.TimeoutError:
            return 0.05
        if orders is None or born != self._born:
            return 0.2
        self._execute(orders, sent_at)
        return (
            _HEARTBEAT_INTERVAL_S if orders.retry_s is None else orders.retry_s
        )

    def _make_heartbeat(self) -> workers.Heartbeat:
        now = clock.boot_time()
        return workers.Heartbeat(
            worker=self.name,
            incarnation=self._born,
            sequence=self._sequence,
            pool=self.pool,
            data_centre=ids.DataCentreId('dc-1'),
            instance=self.instance,
            rack=ids.RackId(self.rack),
            labels=frozenset({'a', self.rack}),
            capacity=self.capacity,
            draining=self.draining,
            leaves_in_s=None,
            running=tuple(
                workers.RunReport(
                    run.key, run.number, '', self._percent(run, now)
                )
                for run in self._runs.values()
            ),
            ended=tuple(self._unacknowledged_ends),
        )

    @staticmethod
    def _percent(run: _Run, now: float) -> float:
        if run.lasting:
            return 100.0
        return max(0.0, min(99.0, 100.0 - 50.0 * (run.ends_at - now)))

    def _execute(self, orders: workers.Orders, sent_at: float) -> None:
        if orders.fence < self._fence:
            return
        self._fence = orders.fence
        until = sent_at + orders.lease_s / _MIN_CLOCK_RATE
        self._lease_until = max(self._lease_until, until)
        self._acknowledge(orders.acknowledged)
        for key, number in orders.stops:
            self._stop(key, number)
        for start in orders.starts:
            self._start(start)

    def _acknowledge(self, number: int) -> None:
        kept = []
        for end in self._unacknowledged_ends:
            if end.number > number:
                kept.append(end)
            elif self._lapse_count_by_end.get(end.number) == self._lapse_count:
                self._checker.record_acknowledged_end(
                    end.task, end.run, end.kind
                )
        self._unacknowledged_ends = kept

    def _start(self, start: workers.StartOrder) -> None:
        if start.run <= self._highest_run_by_task.get(start.task, 0):
            return
        spec = self._checker.specs_by_id.get(start.task.job)
        step = spec.steps[start.task.step] if spec else None
        need = step.need if step else model.Resources()
        used = sum(run.need.millicores for run in self._runs.values())
        if used + need.millicores > self.capacity.millicores:
            self._end(start.task, start.run, model.EndKind.REFUSED)
            return
        now = clock.boot_time()
        lasting = bool(step and step.long_running)
        work_s = step.estimate_s if step else 1.0
        if lasting:
            work_s = 1e9
        self._checker.check_start(
            start.task, self._incarnation, start.run, now
        )
        run = _Run(
            start.task,
            start.run,
            need,
            now + work_s,
            self.failing or self._rng.random() < 0.02,
            lasting,
        )
        if step is not None and step.gang:
            run.gang = sim_gangs.GangRun(
                start.task.job,
                start.task.occurrence,
                start.task.step,
                start.run,
                step.count,
                work_s,
            )
            self._gangs.join(run.gang, start.task.position, now)
        self._runs[start.task, start.run] = run
        self.on_started(start.task)

    def _stop(self, key: model.TaskKey, number: int) -> None:
        run = self._runs.get((key, number))
        if run is None:
            self._highest_run_by_task[key] = max(
                self._highest_run_by_task.get(key, 0), number
            )
        elif run.stopping_until is None:
            run.stopping_until = clock.boot_time() + _STOP_DURATION_S

    def _end(
        self, key: model.TaskKey, number: int, kind: model.EndKind
    ) -> None:
        self._highest_run_by_task[key] = max(
            self._highest_run_by_task.get(key, 0), number
        )
        self._unacknowledged_ends.append(
            workers.EndReport(self._next_end_number, key, number, kind)
        )
        self._lapse_count_by_end[self._next_end_number] = self._lapse_count
        self._next_end_number += 1
        self._end_added.set()

    async def _advance_runs(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = clock.boot_time()
            lapsed = now > self._lease_until
            self._lapse_count += lapsed
            for run in list(self._runs.values()):
                kind = self._end_kind(run, now, lapsed)
                if kind is not None:
                    if run.gang is not None:
                        self._gangs.leave(run.gang, now)
                    del self._runs[run.key, run.number]
                    self._checker.record_end(
                        run.key,
                        self._incarnation,
                        run.number,
                        kind is model.EndKind.DONE,
                    )
                    self._end(run.key, run.number, kind)

    def _end_kind(
        self, run: _Run, now: float, lapsed: bool
    ) -> model.EndKind | None:
        if lapsed:
            return model.EndKind.LAPSED
        if run.stopping_until is not None and now >= run.stopping_until:
            return model.EndKind.STOPPED
        if run.gang is not None:
            return self._gangs.end_kind(run.gang, now, run.fails)
        if now >= run.ends_at:
            return model.EndKind.FAILED if run.fails else model.EndKind.DONE
        return None

"""Workers of one pool beside others whose starts have no effect."""

from __future__ import annotations

import dataclasses

from verbenastream import ids
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import workers
from verbenastream_testing.jobqueue import leader as leaders

_INTERVAL_S = 1.5
_TICK_S = 0.1
_RACK = ids.RackId('rack-1')


@dataclasses.dataclass(slots=True)
class _Sender:
    """Sends heartbeats; one that is ``idle`` never starts what it is told.

    With ``is_reborn``, each heartbeat is that of another incarnation, and
    with ``is_late``, its responses arrive too late.
    """

    name: str
    capacity: model.Resources
    idle: bool = False
    is_late: bool = False
    is_reborn: bool = False
    next_at: float = 0.0
    sequence: int = 0
    running: tuple[workers.RunReport, ...] = ()
    ended: tuple[workers.EndReport, ...] = ()


class Pool:
    """A leader on a manual clock with sound workers and idle writers.

    A finite task ends at the second heartbeat that lists it. ``starts`` are
    the rows of time, sender, task and run of all orders.
    """

    def __init__(self) -> None:
        self.leader = leaders.Leader(0)
        self.senders_by_name: dict[str, _Sender] = {}
        self.starts: list[tuple[float, str, model.TaskKey, int]] = []
        # When each task was first listed by a worker that runs it.
        self.began_at_by_task: dict[model.TaskKey, float] = {}

    def add(
        self,
        name: str,
        millicores: int,
        idle: bool = False,
        is_reborn: bool = False,
    ) -> None:
        """Add a sender whose first heartbeat comes with the next tick."""
        sender = _Sender(name, model.Resources(millicores, 65_536), idle)
        sender.is_reborn = is_reborn
        sender.next_at = self.leader.now
        self.senders_by_name[name] = sender

    def run_for(self, duration_s: float) -> None:
        """Send the heartbeats that are due while the time advances."""
        end = self.leader.now + duration_s
        while self.leader.now < end:
            self.leader.now += _TICK_S
            for sender in self.senders_by_name.values():
                if self.leader.now >= sender.next_at:
                    self._send(sender)

    def _send(self, sender: _Sender) -> None:
        leader, dispatcher = self.leader, self.leader.dispatcher
        sender.sequence += 1
        beat = dataclasses.replace(
            leaders.heartbeat(
                sender.name,
                f'm-{sender.name}',
                sender.sequence,
                sender.sequence if sender.is_reborn else 1,
            ),
            rack=_RACK,
            labels=frozenset({_RACK}),
            capacity=sender.capacity,
            running=sender.running,
            ended=sender.ended,
        )
        dispatcher.observe(beat, leader.now)
        ended = dispatcher.find_ended_runs(beat, leader.now, leader.now)
        if ended is not None:
            leader.apply(ended)
        dispatcher.acknowledge(beat)
        dispatcher.assign(leader.now, leader.now)
        command = dispatcher.build_start_command(beat, leader.now)
        numbers = []
        if command is not None:
            numbers = leader.apply(command)
            dispatcher.finish_starts(command)
        orders = dispatcher.build_orders(beat, command, numbers, 1, leader.now)
        self._obey(sender, orders)

    def _obey(self, sender: _Sender, orders: workers.Orders) -> None:
        now = self.leader.now
        retry_s = _INTERVAL_S if orders.retry_s is None else orders.retry_s
        sender.next_at = now + retry_s
        for start in orders.starts:
            self.starts.append((now, sender.name, start.task, start.run))
        if sender.idle or sender.is_late:
            return
        sender.ended = tuple(
            workers.EndReport(
                sender.sequence * 1000 + position,
                row.task,
                row.run,
                model.EndKind.DONE,
            )
            for position, row in enumerate(sender.running)
            if not self.leader.dispatcher.is_long_running(row.task)
        )
        done = {(end.task, end.run) for end in sender.ended}
        kept = [r for r in sender.running if (r.task, r.run) not in done]
        for start in orders.starts:
            self.began_at_by_task.setdefault(start.task, now)
            kept.append(workers.RunReport(start.task, start.run, '', 100.0))
        sender.running = tuple(kept)

    def starts_on(self, name: str) -> list[tuple[float, model.TaskKey]]:
        """Return the times and tasks of the starts sent to one sender."""
        return [
            (at, key) for at, other, key, _ in self.starts if other == name
        ]

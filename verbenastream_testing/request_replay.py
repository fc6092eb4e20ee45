"""Replays requests on virtual time through the dispatchers of the entries.

The replay passes events to the same ``Dispatcher`` that the daemons run.
Targets are servers with slots; every message takes the network delay of the
deployment. Results come from the records of the replay, not from the
dispatchers.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
import time
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.request import actions
from verbenastream.request.claims import messages as claims
from verbenastream.request import dispatch
from verbenastream.request import events
from verbenastream.version.documents import schema
from verbenastream.version import fleet

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

_FLAKY_FAILURE_PROBABILITY = 0.02
_VIEW_INTERVAL_S = 0.25
_ANNOUNCE_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Network:
    """One-way delays in seconds."""

    between_data_centres_s: float
    client_s: float
    within_data_centre_s: float = 0.0001

    def delay(self, one: int, other: int) -> float:
        """Return the delay between two data centres, given by number."""
        return (
            self.within_data_centre_s
            if one == other
            else self.between_data_centres_s
        )


MEXICO = Network(between_data_centres_s=0.0015, client_s=0.001)
GHANA = Network(between_data_centres_s=0.0005, client_s=0.003)


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request of the trace and, after the replay, its result."""

    time: float
    run_s: float
    service: str = 'product'
    operation: str = 'look-up'
    customer: str = 'customer-0'
    declared: schema.WorkClass = schema.WorkClass.SHORT
    long: bool = False
    deadline_s: float = 600.0
    idempotent: bool = True
    cancel_at: float | None = None
    number: int = 0
    entry: int = 0
    runs: int = 0
    started: float | None = None
    answered: float | None = None
    status: int = 0
    outcome: claims.Outcome | None = None
    retry_after_s: float | None = None
    finished: float | None = None

    @property
    def response_s(self) -> float:
        """Return the response time that the caller sees; needs an answer."""
        assert self.answered is not None
        return self.answered - self.time

    @property
    def wait_s(self) -> float:
        """Return the time until the first attempt was sent."""
        assert self.started is not None
        return self.started - self.time


@dataclasses.dataclass(slots=True)
class Target:
    """A server with slots.

    ``fault`` is empty or one of fail, hang, slow and flaky.
    """

    record: fleet.InstanceRecord
    data_centre: int
    running: int = 0
    max_running: int = 0
    overruns: int = 0
    starts: int = 0
    fault: str = ''
    leaving: bool = False
    leaving_since: float = 0.0
    late_starts: int = 0
    announced: int = 0
    announced_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Entry:
    name: ids.EntryId
    data_centre: int
    dispatcher: dispatch.Dispatcher
    incarnation: int = 1
    alive: bool = True
    isolated: bool = False
    leaving: bool = False
    next_tick_at: float = -1.0


def _document(service: str, customers: Iterable[str]) -> schema.Document:
    return schema.Document(
        service=service,
        team='team',
        instances=6,
        data_centres=('dc-0', 'dc-1', 'dc-2'),
        operations={'look-up': schema.Operation()},
        customers={
            name: schema.Customer(key_sha256='0' * 64) for name in customers
        },
        maintenance=schema.MaintenancePolicy(windows=()),
        limits=schema.RequestLimits(max_waiting=100_000),
    )


class Replay:
    """Entries, targets and the messages between them.

    ``schedule`` calls a function, such as a fault, at a time of the replay.
    """

    def __init__(
        self,
        arrivals: list[Arrival],
        network: Network = MEXICO,
        entries: int = 12,
        services: dict[str, int] | None = None,
        seed: int = 1,
        start: float = 5.0,
        make_dispatcher: Callable[..., dispatch.Dispatcher] | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.network = network
        self.arrivals = arrivals
        self.now = 0.0
        self.start = start
        self.messages = 0
        self.handle_time_s = 0.0
        self.handled_events = 0
        self.epoch = 1
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._attempts: dict[tuple[int, str, int], bool] = {}
        self._make_dispatcher = (
            make_dispatcher or dispatch.Dispatcher.from_config
        )
        self.entries = [self._entry(number) for number in range(entries)]
        self.targets: dict[ids.InstanceId, Target] = {}
        for service, count in (services or {'product': 6}).items():
            for number in range(count):
                self._add_target(service, number)
        customers = {arrival.customer for arrival in arrivals}
        self._documents = tuple(
            _document(service, customers)
            for service in (services or {'product': 6})
        )
        self._schedule_start()

    def _entry(self, number: int, incarnation: int = 1) -> Entry:
        name = ids.EntryId(f'entry-{number}')
        dispatcher = self._make_dispatcher(
            name,
            ids.Incarnation(incarnation),
            random.Random(self.rng.random()),
            data_centre=f'dc-{number % 3}',
        )
        return Entry(name, number % 3, dispatcher, incarnation)

    def _add_target(self, service: str, number: int) -> None:
        record = fleet.InstanceRecord(
            id=ids.InstanceId(f'{service}-{number}'),
            data_centre=ids.DataCentreId(f'dc-{number % 3}'),
            rack=ids.RackId(f'rack-{number}'),
            address='127.0.0.1',
            port=1,
            resources=fleet.Resources(16, 64),
            state=fleet.InstanceState.SERVING,
            pool=ids.PoolId(service),
            epoch=ids.Epoch(1),
        )
        self.targets[record.id] = Target(record, number % 3)

    def _schedule_start(self) -> None:
        names = tuple(entry.name for entry in self.entries)
        for number, entry in enumerate(self.entries):
            entries_changed = events.EntriesChanged(ids.Epoch(1), names)
            self._deliver(entry, events.DocumentsChanged(self._documents))
            self._deliver(entry, entries_changed)
            self.schedule(0.01 * number, lambda e=entry: self._refresh_view(e))
        for number, target in enumerate(self.targets.values()):
            self.schedule(0.1 * number, lambda t=target: self._announce(t))
        for number, arrival in enumerate(self.arrivals):
            arrival.number = number
            arrival.time += self.start
        self._unfinished_count = len(self.arrivals)
        self._next_arrival = 0
        if self.arrivals:
            self.schedule(self.arrivals[0].time, self._arrive)

    def schedule(self, when: float, callback: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._scheduled, (when, self._sequence, callback))

    def run(self, until: float | None = None) -> None:
        """Run until every request has ended, or until the time ``until``."""
        while self._scheduled and (
            self._unfinished_count or until is not None
        ):
            if until is not None and self._scheduled[0][0] > until:
                break
            self.now, _, callback = heapq.heappop(self._scheduled)
            callback()

    def _arrive(self) -> None:
        arrival = self.arrivals[self._next_arrival]
        self._next_arrival += 1
        if self._next_arrival < len(self.arrivals):
            following = self.arrivals[self._next_arrival]
            self.schedule(following.time, self._arrive)
        live = [entry for entry in self.entries if entry.alive]
        entry = self.rng.choice(live)
        arrival.entry = self.entries.index(entry)
        info = events.RequestInfo(
            ids.RequestId(str(arrival.number)),
            ids.ServiceId(arrival.service),
            arrival.operation,
            ids.CustomerId(arrival.customer),
            arrival.time + arrival.deadline_s,
            arrival.declared,
            arrival.idempotent,
        )
        self.schedule(
            self.now + self.network.client_s,
            lambda: self._deliver(entry, events.RequestArrived(info)),
        )
        if arrival.cancel_at is not None:
            cancelled = events.RequestCancelled(info.id)
            self.schedule(
                arrival.cancel_at + self.start,
                lambda: self._deliver(entry, cancelled),
            )

    def _deliver(self, entry: Entry, event: events.Event) -> None:
        if not entry.alive:
            return
        started = time.process_time()
        emitted = entry.dispatcher.handle(event, self.now)
        wakeup = entry.dispatcher.next_wakeup(self.now)
        self.handle_time_s += time.process_time() - started
        self.handled_events += 1
        for action in emitted:
            self._execute(entry, action)
        if wakeup is not None and (
            entry.next_tick_at <= self.now or wakeup < entry.next_tick_at
        ):
            entry.next_tick_at = max(wakeup, self.now + 1e-6)
            when = entry.next_tick_at
            self.schedule(when, lambda: self._tick(entry, when))

    def _tick(self, entry: Entry, when: float) -> None:
        if entry.next_tick_at == when:
            self._deliver(entry, events.Tick())

    def _execute(self, entry: Entry, action: actions.Action) -> None:
        match action:
            case actions.StartAttempt():
                self._send(entry, action)
            case actions.Finish():
                self._finish(action)
            case actions.SendToPeer(name, message):
                self._send_peer(entry, name, message)
            case actions.AbortAttempt():
                key = (int(action.id), action.instance, entry.incarnation)
                self._attempts.pop(key, None)

    def _send_peer(
        self, entry: Entry, name: ids.EntryId, message: object
    ) -> None:
        self.messages += 1
        other = next((e for e in self.entries if e.name == name), None)
        if other is None or entry.isolated or other.isolated:
            return
        delay = self.network.delay(entry.data_centre, other.data_centre)
        event = events.PeerMessage(entry.name, message)
        self.schedule(self.now + delay, lambda: self._deliver(other, event))

    def _send(self, entry: Entry, action: actions.StartAttempt) -> None:
        arrival = self.arrivals[int(action.id)]
        target = self.targets[action.instance]
        if arrival.started is None:
            arrival.started = self.now
        delay = self.network.delay(entry.data_centre, target.data_centre)
        self._sequence += 1
        key = (arrival.number, action.instance, entry.incarnation)
        self._attempts[key] = True
        self.schedule(
            self.now + delay,
            lambda: self._run(entry, arrival, target, delay, key),
        )
        self.schedule(
            self.now + action.timeout_s,
            lambda: self._time_out(entry, arrival, target, key),
        )

    def _run(
        self,
        entry: Entry,
        arrival: Arrival,
        target: Target,
        delay: float,
        key: tuple[int, str, int],
    ) -> None:
        target.running += 1
        target.starts += 1
        arrival.runs += 1
        target.max_running = max(target.max_running, target.running)
        target.overruns += target.running > target.record.slots
        if target.leaving and self.now > target.leaving_since + 3.0:
            target.late_starts += 1
        run_s = arrival.run_s
        if target.fault == 'hang':
            run_s = 3_600.0
        elif target.fault == 'slow':
            run_s *= 20.0
        elif target.fault == 'fail':
            run_s = 0.005
        failed = target.fault == 'fail' or (
            target.fault == 'flaky'
            and self.rng.random() < _FLAKY_FAILURE_PROBABILITY
        )
        status = 500 if failed else 200
        self.schedule(
            self.now + run_s,
            lambda: self._end(
                entry, arrival, target, delay, key, status, run_s
            ),
        )

    def _end(
        self,
        entry: Entry,
        arrival: Arrival,
        target: Target,
        delay: float,
        key: tuple[int, str, int],
        status: int,
        run_s: float,
    ) -> None:
        target.running -= 1
        self.schedule(
            self.now + delay,
            lambda: self._answer(entry, arrival, target, key, status, run_s),
        )

    def _answer(
        self,
        entry: Entry,
        arrival: Arrival,
        target: Target,
        key: tuple[int, str, int],
        status: int,
        run_s: float,
    ) -> None:
        if not entry.alive or self._attempts.pop(key, None) is None:
            return
        request = ids.RequestId(str(arrival.number))
        instance = target.record.id
        if status >= 500:
            failed = events.AttemptFailed(
                request,
                instance,
                events.FailureKind.STATUS,
                True,
                status=status,
            )
            self._deliver(entry, failed)
            return
        if arrival.finished is None:
            arrival.answered = self.now + self.network.client_s
            arrival.status = status
            arrival.outcome = claims.Outcome.RAN
            self._mark_finished(arrival)
        completed = events.AttemptCompleted(request, instance, status, run_s)
        self._deliver(entry, completed)

    def _time_out(
        self,
        entry: Entry,
        arrival: Arrival,
        target: Target,
        key: tuple[int, str, int],
    ) -> None:
        if self._attempts.pop(key, None) is None:
            return
        failed = events.AttemptFailed(
            ids.RequestId(str(arrival.number)),
            target.record.id,
            events.FailureKind.TIMEOUT,
            True,
        )
        self._deliver(entry, failed)

    def _finish(self, action: actions.Finish) -> None:
        arrival = self.arrivals[int(action.id)]
        if arrival.finished is not None:
            return
        arrival.status = action.status
        arrival.outcome = action.outcome
        arrival.retry_after_s = action.retry_after_s
        self._mark_finished(arrival)

    def _mark_finished(self, arrival: Arrival) -> None:
        arrival.finished = self.now
        self._unfinished_count -= 1

    def _announce(self, target: Target) -> None:
        target.announced = target.running
        target.announced_at = self.now
        self.schedule(
            self.now + _ANNOUNCE_INTERVAL_S, lambda: self._announce(target)
        )

    def _refresh_view(self, entry: Entry) -> None:
        if not entry.alive:
            return
        if not entry.isolated:
            emitted = tuple(
                events.TargetInfo(
                    target.record,
                    target.announced,
                    target.leaving,
                    False,
                    self.now
                    - target.announced_at
                    + self.network.between_data_centres_s,
                )
                for target in self.targets.values()
            )
            self._deliver(entry, events.TargetsChanged(emitted))
        self.schedule(
            self.now + _VIEW_INTERVAL_S, lambda: self._refresh_view(entry)
        )

    # Faults. An isolated entry cannot reach other entries and gets no updates
    # of the targets; its connections to targets and callers still work.

    def kill(self, number: int) -> None:
        """End an entry at once; the runs that it started continue."""
        entry = self.entries[number]
        entry.alive = False
        for arrival in self.arrivals:
            if (
                arrival.entry == number
                and arrival.finished is None
                and arrival.time < self.now
            ):
                arrival.status = 0
                arrival.outcome = claims.Outcome.UNKNOWN
                self._mark_finished(arrival)

    def cancel_unfinished(self) -> None:
        """Cancel every request that has arrived but not ended."""
        for arrival in self.arrivals[: self._next_arrival]:
            if arrival.finished is None:
                request = ids.RequestId(str(arrival.number))
                self._deliver(
                    self.entries[arrival.entry],
                    events.RequestCancelled(request),
                )

    def restart(self, number: int) -> None:
        """Start a killed entry again with an empty state."""
        entry = self._entry(number, self.entries[number].incarnation + 1)
        self.entries[number] = entry
        self._deliver(entry, events.DocumentsChanged(self._documents))
        self._refresh_view(entry)

    def set_lease(self, number: int, valid: bool) -> None:
        """Renew the lease of an entry or let it expire."""
        self._deliver(self.entries[number], events.LeaseChanged(valid))

    def change_entries(self, live: Iterable[int]) -> None:
        """Send the new set of entries to all reachable entries."""
        self.epoch += 1
        names = tuple(self.entries[number].name for number in live)
        leaving = tuple(
            entry.name
            for entry in self.entries
            if entry.alive and entry.leaving
        )
        changed = events.EntriesChanged(ids.Epoch(self.epoch), names, leaving)
        for entry in self.entries:
            if entry.isolated:
                continue
            delay = self.rng.uniform(0.0, 0.05)
            self.schedule(
                self.now + delay, lambda e=entry: self._deliver(e, changed)
            )

"""Simulates alternative ways to share slots between entries.

Each model only decides which entry uses which slot when. It has the traces and
network delays of the replay, but no failures, work classes or customers.
"""

from __future__ import annotations

import collections
import heapq
import random
import statistics
from typing import TYPE_CHECKING

from bench import request_traces as traces
from bench import rows
from verbenastream_testing import request_replay as replay

if TYPE_CHECKING:
    from collections.abc import Callable

_COMMAND = 'python -m bench.run bench.request_alternatives'
_ENTRIES = 12
_TARGETS = 6
_SLOTS_PER_TARGET = 8
_DURATION_S = 30.0
_NETWORK = replay.MEXICO
_REPORT_INTERVAL_S = 0.05


class _Model:
    """Base class of the models: events, network delays and targets.

    The data centre of an entry or a target is its number modulo 3.
    """

    def __init__(self, arrivals: list[replay.Arrival], seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.responses: list[float] = []
        self.overruns = 0
        self._sequence = 0
        self._event_heap: list[tuple[float, int, Callable[[], None]]] = []
        self.running = [0] * _TARGETS
        for arrival in arrivals:
            entry = self.rng.randrange(_ENTRIES)
            self.after(
                arrival.time + _NETWORK.client_s,
                lambda a=arrival, e=entry: self.arrive(e, a),
            )

    def after(self, delay: float, call: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(
            self._event_heap, (self.now + delay, self._sequence, call)
        )

    def run(self, count: int) -> float:
        """Return the p99 response in seconds."""
        while len(self.responses) < count:
            self.now, _, call = heapq.heappop(self._event_heap)
            call()
        return traces.quantile(self.responses, 0.99)

    def send(self, entry: int, target: int, arrival: replay.Arrival) -> None:
        """Run a request on a target, then call ``on_answer``."""
        hop = _NETWORK.delay(entry % 3, target % 3)

        def begin() -> None:
            self.running[target] += 1
            self.overruns += self.running[target] > _SLOTS_PER_TARGET
            self.after(arrival.run_s, end)

        def end() -> None:
            self.running[target] -= 1
            self.after(hop, answer)

        def answer() -> None:
            response = self.now + _NETWORK.client_s - arrival.time
            self.responses.append(response)
            self.on_answer(entry, target)

        self.after(hop, begin)

    def arrive(self, entry: int, arrival: replay.Arrival) -> None:
        raise NotImplementedError

    def on_answer(self, entry: int, target: int) -> None:
        raise NotImplementedError


class _OwnerPerTarget(_Model):
    """Each target has an owner entry with a queue that grants its slots.

    An entry asks the less loaded of two owners, by the loads that it received
    with earlier grants.
    """

    def __init__(self, arrivals: list[replay.Arrival], seed: int) -> None:
        super().__init__(arrivals, seed)
        self.owner_by_target = self.rng.sample(range(_ENTRIES), _TARGETS)
        self.free_slots = [_SLOTS_PER_TARGET] * _TARGETS
        self.queues: list[collections.deque[tuple[int, replay.Arrival]]] = [
            collections.deque() for _ in range(_TARGETS)
        ]
        self.seen_loads = [[0] * _TARGETS for _ in range(_ENTRIES)]

    def arrive(self, entry: int, arrival: replay.Arrival) -> None:
        first, second = self.rng.sample(range(_TARGETS), 2)
        seen_loads = self.seen_loads[entry]
        target = first if seen_loads[first] <= seen_loads[second] else second
        hop = _NETWORK.delay(entry % 3, self.owner_by_target[target] % 3)
        self.after(hop, lambda: self.enqueue(target, entry, arrival))

    def enqueue(
        self, target: int, entry: int, arrival: replay.Arrival
    ) -> None:
        self.queues[target].append((entry, arrival))
        self.grant(target)

    def grant(self, target: int) -> None:
        queue = self.queues[target]
        while self.free_slots[target] and queue:
            self.free_slots[target] -= 1
            entry, arrival = queue.popleft()
            load = len(queue) - self.free_slots[target]
            hop = _NETWORK.delay(entry % 3, self.owner_by_target[target] % 3)

            def granted(
                entry: int = entry,
                arrival: replay.Arrival = arrival,
                load: int = load,
            ) -> None:
                self.seen_loads[entry][target] = load
                self.send(entry, target, arrival)

            self.after(hop, granted)

    def on_answer(self, entry: int, target: int) -> None:
        hop = _NETWORK.delay(entry % 3, self.owner_by_target[target] % 3)
        self.after(hop, lambda: self.release(target))

    def release(self, target: int) -> None:
        self.free_slots[target] += 1
        self.grant(target)


class _LeasesWithoutOwner(_Model):
    """Each entry starts with an equal share and asks peers for idle slots."""

    def __init__(self, arrivals: list[replay.Arrival], seed: int) -> None:
        super().__init__(arrivals, seed)
        slots = [
            target
            for target in range(_TARGETS)
            for _ in range(_SLOTS_PER_TARGET)
        ]
        slots_per_entry = len(slots) // _ENTRIES
        self.idle_slots = [
            slots[number * slots_per_entry : (number + 1) * slots_per_entry]
            for number in range(_ENTRIES)
        ]
        self.waiting: list[collections.deque[replay.Arrival]] = [
            collections.deque() for _ in range(_ENTRIES)
        ]
        self.request_pending = [False] * _ENTRIES

    def arrive(self, entry: int, arrival: replay.Arrival) -> None:
        self.waiting[entry].append(arrival)
        self.start_waiting(entry)

    def start_waiting(self, entry: int) -> None:
        while self.waiting[entry] and self.idle_slots[entry]:
            target = self.idle_slots[entry].pop()
            self.send(entry, target, self.waiting[entry].popleft())
        if self.waiting[entry] and not self.request_pending[entry]:
            self.request_pending[entry] = True
            peer = self.rng.choice(
                [other for other in range(_ENTRIES) if other != entry]
            )
            hop = _NETWORK.delay(entry % 3, peer % 3)
            self.after(hop, lambda: self.transfer_slot(peer, entry, hop))

    def transfer_slot(self, peer: int, entry: int, hop: float) -> None:
        transferred = (
            [self.idle_slots[peer].pop()] if self.idle_slots[peer] else []
        )
        self.after(hop, lambda: self.receive(entry, transferred))

    def receive(self, entry: int, transferred: list[int]) -> None:
        self.request_pending[entry] = False
        self.idle_slots[entry].extend(transferred)
        self.start_waiting(entry)

    def on_answer(self, entry: int, target: int) -> None:
        self.idle_slots[entry].append(target)
        self.start_waiting(entry)


class _ChoiceOfTwo(_Model):
    """Each entry sends to the less loaded of two targets, by reports.

    The load is that of the target's last report, up to 50 ms old, plus the
    requests that the entry sent since. A target without a free slot runs the
    request anyway, which counts as an overrun.
    """

    def __init__(self, arrivals: list[replay.Arrival], seed: int) -> None:
        super().__init__(arrivals, seed)
        self.reported = [0] * _TARGETS
        self.sent_since_report = [[0] * _TARGETS for _ in range(_ENTRIES)]
        self.report()

    def report(self) -> None:
        self.reported = list(self.running)
        self.sent_since_report = [[0] * _TARGETS for _ in range(_ENTRIES)]
        self.after(_REPORT_INTERVAL_S, self.report)

    def arrive(self, entry: int, arrival: replay.Arrival) -> None:
        first, second = self.rng.sample(range(_TARGETS), 2)
        sent_since_report = self.sent_since_report[entry]
        first_load = self.reported[first] + sent_since_report[first]
        second_load = self.reported[second] + sent_since_report[second]
        target = first if first_load <= second_load else second
        sent_since_report[target] += 1
        self.send(entry, target, arrival)

    def on_answer(self, entry: int, target: int) -> None:
        pass


_MODELS: dict[str, type[_Model]] = {
    'owner per target': _OwnerPerTarget,
    'leases without owner': _LeasesWithoutOwner,
    'choice of two on reports': _ChoiceOfTwo,
}


def run(seed: int) -> list[rows.Row]:
    """Return the p99 ratios to the ideal queue and the shares of overruns.

    Both are medians of five seeds.
    """
    mean_hop_s = (
        2 * _NETWORK.between_data_centres_s + _NETWORK.within_data_centre_s
    ) / 3
    ratios: dict[str, list[float]] = {name: [] for name in _MODELS}
    overruns: dict[str, list[float]] = {name: [] for name in _MODELS}
    for number in range(5):
        arrivals = traces.short_only(
            seed + number, 0.9, _SLOTS_PER_TARGET * _TARGETS, _DURATION_S
        )
        fifo_times = traces.fifo(
            arrivals,
            _SLOTS_PER_TARGET * _TARGETS,
            mean_hop_s,
            _NETWORK.client_s,
        )
        ideal = traces.quantile([response for _, response in fifo_times], 0.99)
        for name, model_class in _MODELS.items():
            simulation = model_class(arrivals, seed + number)
            ratios[name].append(simulation.run(len(arrivals)) / ideal)
            overruns[name].append(simulation.overruns / len(arrivals))
    result = []
    for name in _MODELS:
        for figure, values in (
            ('p99 / ideal queue', ratios[name]),
            ('share of starts above 8 slots', overruns[name]),
        ):
            result.append(
                rows.Row(
                    f'model, {name}: {figure}',
                    statistics.median(values),
                    'ratio',
                    None,
                    None,
                    rows.Bound.AT_MOST,
                    seed,
                    _COMMAND,
                )
            )
    return result

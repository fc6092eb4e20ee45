"""Other ways to share slots between entries, as models on the same trace.

Each model decides only who uses which slot when; it has the network delays
of the replay, but no failures, classes or customers.
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
_SLOTS = 8
_SECONDS = 30.0
_NETWORK = replay.MEXICO
_REPORT_S = 0.05


class _Model:
    """Events and delays shared by the models; data centre is number % 3."""

    def __init__(self, arrivals: list[replay.Arrival], seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.responses: list[float] = []
        self.overruns = 0
        self._number = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self.running = [0] * _TARGETS
        for arrival in arrivals:
            entry = self.rng.randrange(_ENTRIES)
            self.after(
                arrival.time + _NETWORK.client_s,
                lambda a=arrival, e=entry: self.arrive(e, a),
            )

    def after(self, delay: float, call: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._heap, (self.now + delay, self._number, call))

    def run(self, count: int) -> float:
        """Return the p99 response in seconds."""
        while len(self.responses) < count:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        return traces.quantile(self.responses, 0.99)

    def send(self, entry: int, target: int, arrival: replay.Arrival) -> None:
        """Run a request on a target; ``done`` follows at the entry."""
        hop = _NETWORK.delay(entry % 3, target % 3)

        def begin() -> None:
            self.running[target] += 1
            self.overruns += self.running[target] > _SLOTS
            self.after(arrival.run_s, end)

        def end() -> None:
            self.running[target] -= 1
            self.after(hop, answer)

        def answer() -> None:
            response = self.now + _NETWORK.client_s - arrival.time
            self.responses.append(response)
            self.done(entry, target)

        self.after(hop, begin)

    def arrive(self, entry: int, arrival: replay.Arrival) -> None:
        raise NotImplementedError

    def done(self, entry: int, target: int) -> None:
        raise NotImplementedError


class _OwnerPerTarget(_Model):
    """Each target has an owner with a queue; an entry asks one owner.

    The entry asks the better of two owners by the queue lengths that it saw
    last.
    """

    def __init__(self, arrivals: list[replay.Arrival], seed: int) -> None:
        super().__init__(arrivals, seed)
        self.owners = self.rng.sample(range(_ENTRIES), _TARGETS)
        self.free = [_SLOTS] * _TARGETS
        self.queues: list[collections.deque[tuple[int, replay.Arrival]]] = [
            collections.deque() for _ in range(_TARGETS)
        ]
        self.seen = [[0] * _TARGETS for _ in range(_ENTRIES)]

    def arrive(self, entry: int, arrival: replay.Arrival) -> None:
        one, two = self.rng.sample(range(_TARGETS), 2)
        seen = self.seen[entry]
        target = one if seen[one] <= seen[two] else two
        hop = _NETWORK.delay(entry % 3, self.owners[target] % 3)
        self.after(hop, lambda: self.ask(target, entry, arrival))

    def ask(self, target: int, entry: int, arrival: replay.Arrival) -> None:
        self.queues[target].append((entry, arrival))
        self.grant(target)

    def grant(self, target: int) -> None:
        queue = self.queues[target]
        while self.free[target] and queue:
            self.free[target] -= 1
            entry, arrival = queue.popleft()
            load = len(queue) - self.free[target]
            hop = _NETWORK.delay(entry % 3, self.owners[target] % 3)

            def granted(
                entry: int = entry,
                arrival: replay.Arrival = arrival,
                load: int = load,
            ) -> None:
                self.seen[entry][target] = load
                self.send(entry, target, arrival)

            self.after(hop, granted)

    def done(self, entry: int, target: int) -> None:
        hop = _NETWORK.delay(entry % 3, self.owners[target] % 3)
        self.after(hop, lambda: self.release(target))

    def release(self, target: int) -> None:
        self.free[target] += 1
        self.grant(target)


class _LeasesWithoutOwner(_Model):
    """Each entry starts with an equal share and asks peers for idle slots."""

    def __init__(self, arrivals: list[replay.Arrival], seed: int) -> None:
        super().__init__(arrivals, seed)
        slots = [t for t in range(_TARGETS) for _ in range(_SLOTS)]
        share = len(slots) // _ENTRIES
        self.idle = [
            slots[n * share : (n + 1) * share] for n in range(_ENTRIES)
        ]
        self.waiting: list[collections.deque[replay.Arrival]] = [
            collections.deque() for _ in range(_ENTRIES)
        ]
        self.asking = [False] * _ENTRIES

    def arrive(self, entry: int, arrival: replay.Arrival) -> None:
        self.waiting[entry].append(arrival)
        self.start(entry)

    def start(self, entry: int) -> None:
        while self.waiting[entry] and self.idle[entry]:
            target = self.idle[entry].pop()
            self.send(entry, target, self.waiting[entry].popleft())
        if self.waiting[entry] and not self.asking[entry]:
            self.asking[entry] = True
            peer = self.rng.choice(
                [other for other in range(_ENTRIES) if other != entry]
            )
            hop = _NETWORK.delay(entry % 3, peer % 3)
            self.after(hop, lambda: self.lend(peer, entry, hop))

    def lend(self, peer: int, entry: int, hop: float) -> None:
        lent = [self.idle[peer].pop()] if self.idle[peer] else []
        self.after(hop, lambda: self.receive(entry, lent))

    def receive(self, entry: int, lent: list[int]) -> None:
        self.asking[entry] = False
        self.idle[entry].extend(lent)
        self.start(entry)

    def done(self, entry: int, target: int) -> None:
        self.idle[entry].append(target)
        self.start(entry)


class _ChoiceOfTwo(_Model):
    """Each entry sends to the less loaded of two targets, by reports.

    The load is the target's report of up to 50 ms ago and what the entry
    sent since. A full target runs the request all the same; that is counted
    as an overrun.
    """

    def __init__(self, arrivals: list[replay.Arrival], seed: int) -> None:
        super().__init__(arrivals, seed)
        self.reported = [0] * _TARGETS
        self.sent = [[0] * _TARGETS for _ in range(_ENTRIES)]
        self.report()

    def report(self) -> None:
        self.reported = list(self.running)
        self.sent = [[0] * _TARGETS for _ in range(_ENTRIES)]
        self.after(_REPORT_S, self.report)

    def arrive(self, entry: int, arrival: replay.Arrival) -> None:
        one, two = self.rng.sample(range(_TARGETS), 2)
        sent = self.sent[entry]
        load_one = self.reported[one] + sent[one]
        load_two = self.reported[two] + sent[two]
        target = one if load_one <= load_two else two
        sent[target] += 1
        self.send(entry, target, arrival)

    def done(self, entry: int, target: int) -> None:
        pass


_MODELS: dict[str, type[_Model]] = {
    'owner per target': _OwnerPerTarget,
    'leases without owner': _LeasesWithoutOwner,
    'choice of two on reports': _ChoiceOfTwo,
}


def run(seed: int) -> list[rows.Row]:
    """Return p99 over the ideal queue and overruns, medians of five seeds."""
    hop = (
        2 * _NETWORK.between_data_centres_s + _NETWORK.within_data_centre_s
    ) / 3
    ratios: dict[str, list[float]] = {name: [] for name in _MODELS}
    overruns: dict[str, list[float]] = {name: [] for name in _MODELS}
    for number in range(5):
        arrivals = traces.short_only(
            seed + number, 0.9, _SLOTS * _TARGETS, _SECONDS
        )
        queue = traces.fifo(
            arrivals, _SLOTS * _TARGETS, hop, _NETWORK.client_s
        )
        ideal = traces.quantile([response for _, response in queue], 0.99)
        for name, model in _MODELS.items():
            found = model(arrivals, seed + number)
            ratios[name].append(found.run(len(arrivals)) / ideal)
            overruns[name].append(found.overruns / len(arrivals))
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

"""Queue of one pool at one entry: two lanes, retries, predicted wait."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from verbenastream.request.queueing import lanes
from verbenastream.request.slots import allocation
from verbenastream.request.slots import messages
from verbenastream.version.documents import schema

if TYPE_CHECKING:
    from verbenastream import ids

_SHORT_QUANTUM_S = 0.1
_LONG_QUANTUM_S = 5.0
# Heads that a report lists; the owner seldom grants more between reports.
_HEADS = 8
_RATE_PERIOD_S = 0.5


@dataclasses.dataclass(slots=True)
class EventRate:
    """Events per second, with decay."""

    _sum: float = 0.0
    _since: float = 0.0
    _updated: float = -math.inf

    def record(self, now: float) -> None:
        """Count one event."""
        passed = now - self._updated
        if passed > _RATE_PERIOD_S:
            # The lane was idle: the old rate says nothing.
            self._sum = 0.0
            self._since = now
        else:
            self._sum *= math.exp(-passed / _RATE_PERIOD_S)
            self._sum += 1.0
        self._updated = now

    def value(self, now: float, prior: float) -> float:
        """Return the rate, or ``prior`` when it was not measured lately.

        The sum of decayed counts is divided by the decayed time that it
        covers, so the rate is right from the first moments of a queue. A
        pause of up to a second, for instance while a new owner learns, is
        not taken for the end of all work.
        """
        if now - self._updated > 2 * _RATE_PERIOD_S or self._sum < 3.0:
            return prior
        age = self._updated - self._since
        covered = _RATE_PERIOD_S * (1.0 - math.exp(-age / _RATE_PERIOD_S))
        return self._sum / max(covered, 1e-3)


class PoolQueue:
    """What waits at this entry for one pool."""

    def __init__(self, pool: ids.PoolId) -> None:
        self.pool = pool
        self.short = lanes.Lane(_SHORT_QUANTUM_S)
        self.long = lanes.Lane(_LONG_QUANTUM_S)
        # Requests that failed on some target; they come first, because
        # they have waited before, and are few thanks to the retry budget.
        self.retries_by_id: dict[
            ids.RequestId, tuple[schema.WorkClass, lanes.Waiter]
        ] = {}
        self._short_drain = EventRate()
        self._long_drain = EventRate()
        self._short_arrivals = EventRate()
        self._long_arrivals = EventRate()
        self.state: messages.PoolState | None = None
        self._oldest_since = math.inf
        # Number of waiting requests in the last report.
        self.reported = 0

    def __len__(self) -> int:
        return len(self.short) + len(self.long) + len(self.retries_by_id)

    def lane(self, work_class: schema.WorkClass) -> lanes.Lane:
        if work_class is schema.WorkClass.SHORT:
            return self.short
        return self.long

    def set_state(self, state: messages.PoolState, now: float) -> None:
        """Take over what the owner says about the pool."""
        self.state = state
        self._oldest_since = math.inf
        if state.oldest_short_wait_s:
            self._oldest_since = now - state.oldest_short_wait_s

    def yields(self, now: float) -> bool:
        """Whether another entry's request waits for clearly longer.

        Using a slot again at the same entry saves two hops, but with that
        alone each entry would have a queue of its own. The slot goes back
        if the oldest request of the pool is ahead by the tolerance.
        """
        oldest_s = now - self._oldest_since
        tolerance = allocation.wait_tolerance(oldest_s)
        if oldest_s < tolerance:
            return False
        limit = self._oldest_since + tolerance
        for _, waiter in self.retries_by_id.values():
            if waiter.since < limit:
                return False
        head = self.short.peek()
        return head is None or head.since > limit

    @property
    def long_waiting(self) -> int:
        """Number of long requests that wait."""
        count = len(self.long)
        for work_class, _ in self.retries_by_id.values():
            count += work_class is schema.WorkClass.LONG
        return count

    def push(self, work_class: schema.WorkClass, waiter: lanes.Waiter) -> None:
        if work_class is schema.WorkClass.SHORT:
            self._short_arrivals.record(waiter.since)
        else:
            self._long_arrivals.record(waiter.since)
        if waiter.excluded:
            self.retries_by_id[waiter.id] = (work_class, waiter)
        else:
            self.lane(work_class).push(waiter)

    def remove(
        self, work_class: schema.WorkClass, request: ids.RequestId
    ) -> None:
        if self.retries_by_id.pop(request, None) is None:
            self.lane(work_class).remove(request)

    def take(
        self, instance: ids.InstanceId, long: bool, now: float
    ) -> lanes.Waiter | None:
        """Remove and return the request to run on ``instance`` now.

        A slot for long work takes short work only if no long work waits.
        """
        for request, (work_class, waiter) in self.retries_by_id.items():
            if instance in waiter.excluded:
                continue
            if long or work_class is schema.WorkClass.SHORT:
                del self.retries_by_id[request]
                return waiter
        if long:
            first = self._pop(self.long, self._long_drain, now)
            if first is not None:
                return first
        return self._pop(self.short, self._short_drain, now)

    def _pop(
        self, lane: lanes.Lane, drain: EventRate, now: float
    ) -> lanes.Waiter | None:
        waiter = lane.pop()
        if waiter is not None and waiter.since < now:
            drain.record(now)
        return waiter

    def predicted_wait(
        self,
        work_class: schema.WorkClass,
        customer: ids.CustomerId,
        fair_rate: float,
        now: float,
    ) -> float:
        """Return the expected wait of a new request in seconds.

        With fair turns, a customer's request waits for its own earlier ones
        and as many of each other customer, not for the whole lane.
        """
        lane = self.lane(work_class)
        own = lane.customer_waiting(customer) + 1
        customers = lane.customers + (own == 1)
        if not len(lane):
            return 0.0
        drain = self._long_drain
        arrivals = self._long_arrivals
        if work_class is schema.WorkClass.SHORT:
            drain = self._short_drain
            arrivals = self._short_arrivals
        rate = max(min(drain.value(now, fair_rate), fair_rate), 1e-3)
        # Later requests of customers with less in the queue go first.
        later = arrivals.value(now, 0.0) * (customers - 1) / customers
        turns = own * customers / rate
        if later >= rate:
            return turns
        return min(turns, len(lane) / (rate - later))

    def demand(self, now: float) -> messages.Demand:
        """Return what the next report says about this pool."""
        short = self.short
        long = self.long
        retries_short = []
        retries_long = []
        avoid: frozenset[ids.InstanceId] | None = None
        for work_class, waiter in self.retries_by_id.values():
            if work_class is schema.WorkClass.SHORT:
                retries_short.append(waiter)
            else:
                retries_long.append(waiter)
            avoid = waiter.excluded | (avoid or frozenset())
        self.reported = len(self)
        return messages.Demand(
            self.pool,
            len(short) + len(retries_short),
            len(long) + len(retries_long),
            _heads(retries_short, short, now),
            _heads(retries_long, long, now),
            tuple(sorted(avoid or ())),
        )


def _heads(
    retries: list[lanes.Waiter], lane: lanes.Lane, now: float
) -> tuple[messages.QueueHead, ...]:
    waiters = retries[:_HEADS]
    waiters.extend(lane.heads(_HEADS - len(waiters)))
    return tuple(
        messages.QueueHead(now - waiter.since, waiter.customer, waiter.weight)
        for waiter in waiters
    )

"""Queue of the requests that wait at one entry for one pool."""

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
# Number of requests per lane that a report lists. The owner seldom grants
# more slots between two reports.
_MAX_REPORTED_HEADS = 8
_RATE_TIME_CONSTANT_S = 0.5


@dataclasses.dataclass(slots=True)
class EventRate:
    """Events per second, with exponential decay."""

    _weighted_count: float = 0.0
    _measured_since: float = 0.0
    _updated_at: float = -math.inf

    def record(self, now: float) -> None:
        """Count one event."""
        elapsed_s = now - self._updated_at
        if elapsed_s > _RATE_TIME_CONSTANT_S:
            # The lane was idle, so the old rate is out of date.
            self._weighted_count = 0.0
            self._measured_since = now
        else:
            self._weighted_count *= math.exp(
                -elapsed_s / _RATE_TIME_CONSTANT_S
            )
            self._weighted_count += 1.0
        self._updated_at = now

    def rate_or(self, now: float, default: float) -> float:
        """Return the rate, or ``default`` without a recent measurement.

        The sum of decayed counts is divided by the decayed time that it
        covers, so the rate is right from the first moments of a queue. The
        rate stays valid during a pause of up to a second, for instance while
        a new owner learns which slots are in use.
        """
        if (
            now - self._updated_at > 2 * _RATE_TIME_CONSTANT_S
            or self._weighted_count < 3.0
        ):
            return default
        age = self._updated_at - self._measured_since
        covered_s = _RATE_TIME_CONSTANT_S * (
            1.0 - math.exp(-age / _RATE_TIME_CONSTANT_S)
        )
        return self._weighted_count / max(covered_s, 1e-3)


class PoolQueue:
    """Requests that wait at this entry for one pool.

    Short and long requests wait in lanes of their own; requests to be tried
    again after a failure wait in ``retries_by_id``.
    """

    def __init__(self, pool: ids.PoolId) -> None:
        self.pool = pool
        self.short_lane = lanes.Lane(_SHORT_QUANTUM_S)
        self.long_lane = lanes.Lane(_LONG_QUANTUM_S)
        # Requests that failed on some target. They are served first because
        # they have waited before; the retry budget keeps them few.
        self.retries_by_id: dict[
            ids.RequestId, tuple[schema.WorkClass, lanes.QueuedRequest]
        ] = {}
        self._short_drain_rate = EventRate()
        self._long_drain_rate = EventRate()
        self._short_arrival_rate = EventRate()
        self._long_arrival_rate = EventRate()
        self.pool_state: messages.PoolState | None = None
        self._oldest_short_since = math.inf
        # Number of waiting requests in the last report.
        self.reported_count = 0

    def __len__(self) -> int:
        return (
            len(self.short_lane)
            + len(self.long_lane)
            + len(self.retries_by_id)
        )

    def lane(self, work_class: schema.WorkClass) -> lanes.Lane:
        if work_class is schema.WorkClass.SHORT:
            return self.short_lane
        return self.long_lane

    def update_state(self, state: messages.PoolState, now: float) -> None:
        """Update the state of the pool from its owner's message."""
        self.pool_state = state
        self._oldest_short_since = math.inf
        if state.oldest_short_wait_s:
            self._oldest_short_since = now - state.oldest_short_wait_s

    def should_yield(self, now: float) -> bool:
        """Whether to return a slot because another entry's request is older.

        Reusing a slot at the same entry saves two network hops, but always
        doing so would let requests at other entries wait far longer. The
        slot is returned if the pool's oldest request is older than all that
        wait here by more than the tolerance.
        """
        oldest_s = now - self._oldest_short_since
        tolerance = allocation.wait_tolerance(oldest_s)
        if oldest_s < tolerance:
            return False
        limit = self._oldest_short_since + tolerance
        for _, queued in self.retries_by_id.values():
            if queued.enqueued_at < limit:
                return False
        head = self.short_lane.peek()
        return head is None or head.enqueued_at > limit

    @property
    def long_waiting(self) -> int:
        """Number of long requests that wait."""
        count = len(self.long_lane)
        for work_class, _ in self.retries_by_id.values():
            count += work_class is schema.WorkClass.LONG
        return count

    def push(
        self, work_class: schema.WorkClass, queued: lanes.QueuedRequest
    ) -> None:
        if work_class is schema.WorkClass.SHORT:
            self._short_arrival_rate.record(queued.enqueued_at)
        else:
            self._long_arrival_rate.record(queued.enqueued_at)
        if queued.excluded_instances:
            self.retries_by_id[queued.id] = (work_class, queued)
        else:
            self.lane(work_class).push(queued)

    def remove(
        self, work_class: schema.WorkClass, request: ids.RequestId
    ) -> None:
        if self.retries_by_id.pop(request, None) is None:
            self.lane(work_class).remove(request)

    def take(
        self, instance: ids.InstanceId, slot_in_long_lane: bool, now: float
    ) -> lanes.QueuedRequest | None:
        """Remove and return the request to run on ``instance`` now.

        A slot of the long lane takes short work only if no long work waits.
        """
        for request, (work_class, queued) in self.retries_by_id.items():
            if instance in queued.excluded_instances:
                continue
            if slot_in_long_lane or work_class is schema.WorkClass.SHORT:
                del self.retries_by_id[request]
                return queued
        if slot_in_long_lane:
            long_request = self._pop(
                self.long_lane, self._long_drain_rate, now
            )
            if long_request is not None:
                return long_request
        return self._pop(self.short_lane, self._short_drain_rate, now)

    def _pop(
        self, lane: lanes.Lane, drain_rate: EventRate, now: float
    ) -> lanes.QueuedRequest | None:
        queued = lane.pop()
        if queued is not None and queued.enqueued_at < now:
            drain_rate.record(now)
        return queued

    def predicted_wait(
        self,
        work_class: schema.WorkClass,
        customer: ids.CustomerId,
        fair_rate: float,
        now: float,
    ) -> float:
        """Return the expected wait of a new request in seconds.

        With round robin, a customer's request waits for the customer's own
        earlier requests and as many of each other customer, not for the
        whole lane.
        """
        lane = self.lane(work_class)
        own_count = lane.customer_waiting_count(customer) + 1
        customer_count = lane.customer_count + (own_count == 1)
        if not len(lane):
            return 0.0
        drain_rate = self._long_drain_rate
        arrival_rate = self._long_arrival_rate
        if work_class is schema.WorkClass.SHORT:
            drain_rate = self._short_drain_rate
            arrival_rate = self._short_arrival_rate
        rate = max(min(drain_rate.rate_or(now, fair_rate), fair_rate), 1e-3)
        # Requests that arrive later are served earlier if their customers
        # have fewer requests in the queue.
        overtaking_rate = (
            arrival_rate.rate_or(now, 0.0)
            * (customer_count - 1)
            / customer_count
        )
        fair_wait_s = own_count * customer_count / rate
        if overtaking_rate >= rate:
            return fair_wait_s
        return min(fair_wait_s, len(lane) / (rate - overtaking_rate))

    def demand(self, now: float) -> messages.Demand:
        """Return the demand for this pool, for the next report."""
        short_lane = self.short_lane
        long_lane = self.long_lane
        retries_short = []
        retries_long = []
        failed_instances: frozenset[ids.InstanceId] | None = None
        for work_class, queued in self.retries_by_id.values():
            if work_class is schema.WorkClass.SHORT:
                retries_short.append(queued)
            else:
                retries_long.append(queued)
            failed_instances = queued.excluded_instances | (
                failed_instances or frozenset()
            )
        self.reported_count = len(self)
        return messages.Demand(
            self.pool,
            len(short_lane) + len(retries_short),
            len(long_lane) + len(retries_long),
            _heads(retries_short, short_lane, now),
            _heads(retries_long, long_lane, now),
            tuple(sorted(failed_instances or ())),
        )


def _heads(
    retries: list[lanes.QueuedRequest], lane: lanes.Lane, now: float
) -> tuple[messages.QueueHead, ...]:
    heads = retries[:_MAX_REPORTED_HEADS]
    heads.extend(lane.heads(_MAX_REPORTED_HEADS - len(heads)))
    return tuple(
        messages.QueueHead(
            now - queued.enqueued_at, queued.customer, queued.weight
        )
        for queued in heads
    )

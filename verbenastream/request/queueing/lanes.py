"""Queue that shares a lane fairly between customers."""

from __future__ import annotations

import collections
import dataclasses
import heapq
from typing import TYPE_CHECKING

from verbenastream import ids

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """A waiting request; ``cost_s`` is its expected run time."""

    id: ids.RequestId
    customer: ids.CustomerId
    weight: int
    deadline: float
    cost_s: float
    enqueued_at: float
    excluded_instances: frozenset[ids.InstanceId] = frozenset()
    withdrawn: bool = False


@dataclasses.dataclass(slots=True)
class _CustomerQueue:
    customer: ids.CustomerId
    weight: int
    heap: list[tuple[float, int, QueuedRequest]]
    waiting_count: int = 0
    credit_s: float = 0.0

    def head(self) -> QueuedRequest | None:
        while self.heap and self.heap[0][2].withdrawn:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None


class Lane:
    """Deficit round robin over customers, then earliest deadline first.

    Each customer in turn may run work up to its credit (the deficit counter),
    measured in seconds of run time. The credit grows by the quantum times the
    customer's weight at each of its turns, so a customer that sends many
    requests gets no more than its share while others wait. Withdrawn requests
    stay in a heap until they reach its head or outnumber the rest.
    """

    def __init__(self, quantum_s: float) -> None:
        self._quantum_s = quantum_s
        self._queues_by_customer: dict[ids.CustomerId, _CustomerQueue] = {}
        self._round_robin: collections.deque[_CustomerQueue] = (
            collections.deque()
        )
        self._queued_by_id: dict[ids.RequestId, QueuedRequest] = {}
        self._push_count = 0
        self._cost_s = 0.0

    def __len__(self) -> int:
        return len(self._queued_by_id)

    @property
    def cost_s(self) -> float:
        """Expected run time of all waiting requests, in seconds."""
        return max(0.0, self._cost_s)

    @property
    def customer_count(self) -> int:
        return len(self._queues_by_customer)

    def customer_waiting_count(self, customer: ids.CustomerId) -> int:
        queue = self._queues_by_customer.get(customer)
        return queue.waiting_count if queue is not None else 0

    def push(self, queued: QueuedRequest) -> None:
        queue = self._queues_by_customer.get(queued.customer)
        if queue is None:
            queue = _CustomerQueue(queued.customer, queued.weight, [])
            self._queues_by_customer[queued.customer] = queue
            self._round_robin.append(queue)
        self._push_count += 1
        heapq.heappush(queue.heap, (queued.deadline, self._push_count, queued))
        queue.waiting_count += 1
        queue.weight = queued.weight
        self._queued_by_id[queued.id] = queued
        self._cost_s += queued.cost_s

    def remove(self, request: ids.RequestId) -> QueuedRequest | None:
        """Remove a request; returns it, or None if it does not wait."""
        queued = self._queued_by_id.pop(request, None)
        if queued is None:
            return None
        queued.withdrawn = True
        self._cost_s -= queued.cost_s
        queue = self._queues_by_customer[queued.customer]
        queue.waiting_count -= 1
        if not queue.waiting_count:
            self._remove_customer_queue(queue)
        elif len(queue.heap) > 2 * queue.waiting_count + 16:
            queue.heap = [item for item in queue.heap if not item[2].withdrawn]
            heapq.heapify(queue.heap)
        return queued

    def peek(self) -> QueuedRequest | None:
        """Return the next request without removing it."""
        while self._round_robin:
            queue = self._round_robin[0]
            head = queue.head()
            if head is None:
                self._round_robin.popleft()
            elif len(self._queues_by_customer) == 1:
                queue.credit_s = max(queue.credit_s, head.cost_s)
                return head
            elif queue.credit_s >= head.cost_s:
                return head
            else:
                self._round_robin.rotate(-1)
                queue = self._round_robin[0]
                queue.credit_s += self._quantum_s * queue.weight
        return None

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request."""
        queued = self.peek()
        if queued is None:
            return None
        queue = self._queues_by_customer[queued.customer]
        queue.credit_s -= queued.cost_s
        self.remove(queued.id)
        return queued

    def heads(self, count: int) -> Iterator[QueuedRequest]:
        """Yield up to ``count`` requests, some of each customer."""
        queues = list(self._round_robin)[:count]
        per_queue = max(1, count // max(1, len(queues)))
        for queue in queues:
            for _, _, queued in queue.heap[:per_queue]:
                if not queued.withdrawn:
                    yield queued

    def _remove_customer_queue(self, queue: _CustomerQueue) -> None:
        # ``peek`` removes the empty queue from the round robin.
        del self._queues_by_customer[queue.customer]
        queue.heap.clear()
        queue.credit_s = 0.0

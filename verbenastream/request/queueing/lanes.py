"""Queue of one lane: fair between customers, earliest deadline first."""

from __future__ import annotations

import collections
import dataclasses
import heapq
from typing import TYPE_CHECKING

from verbenastream import ids

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclasses.dataclass(slots=True)
class Waiter:
    """A waiting request; ``cost_s`` is its expected run time."""

    id: ids.RequestId
    customer: ids.CustomerId
    weight: int
    deadline: float
    cost_s: float
    since: float
    excluded: frozenset[ids.InstanceId] = frozenset()
    gone: bool = False


@dataclasses.dataclass(slots=True)
class _CustomerQueue:
    customer: ids.CustomerId
    weight: int
    heap: list[tuple[float, int, Waiter]]
    waiting: int = 0
    credit_s: float = 0.0

    def head(self) -> Waiter | None:
        while self.heap and self.heap[0][2].gone:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None


class Lane:
    """Deficit round robin over customers, then earliest deadline.

    Each customer in turn may run work worth its credit. Credit grows by the
    quantum times the customer's weight when its turn comes, so a customer
    that sends much gets no more than its share while others wait. Withdrawn
    requests stay in a heap until they reach its head or outnumber the rest.
    """

    def __init__(self, quantum_s: float) -> None:
        self._quantum_s = quantum_s
        self._queues_by_customer: dict[ids.CustomerId, _CustomerQueue] = {}
        self._turns: collections.deque[_CustomerQueue] = collections.deque()
        self._waiters_by_id: dict[ids.RequestId, Waiter] = {}
        self._number = 0
        self._cost_s = 0.0

    def __len__(self) -> int:
        return len(self._waiters_by_id)

    @property
    def cost_s(self) -> float:
        """Expected run time of all that waits, in seconds."""
        return max(0.0, self._cost_s)

    @property
    def customers(self) -> int:
        return len(self._queues_by_customer)

    def customer_waiting(self, customer: ids.CustomerId) -> int:
        queue = self._queues_by_customer.get(customer)
        return queue.waiting if queue is not None else 0

    def push(self, waiter: Waiter) -> None:
        queue = self._queues_by_customer.get(waiter.customer)
        if queue is None:
            queue = _CustomerQueue(waiter.customer, waiter.weight, [])
            self._queues_by_customer[waiter.customer] = queue
            self._turns.append(queue)
        self._number += 1
        heapq.heappush(queue.heap, (waiter.deadline, self._number, waiter))
        queue.waiting += 1
        queue.weight = waiter.weight
        self._waiters_by_id[waiter.id] = waiter
        self._cost_s += waiter.cost_s

    def remove(self, request: ids.RequestId) -> Waiter | None:
        """Withdraw a request, for instance after a cancellation."""
        waiter = self._waiters_by_id.pop(request, None)
        if waiter is None:
            return None
        waiter.gone = True
        self._cost_s -= waiter.cost_s
        queue = self._queues_by_customer[waiter.customer]
        queue.waiting -= 1
        if not queue.waiting:
            self._drop(queue)
        elif len(queue.heap) > 2 * queue.waiting + 16:
            queue.heap = [item for item in queue.heap if not item[2].gone]
            heapq.heapify(queue.heap)
        return waiter

    def peek(self) -> Waiter | None:
        """Return the next request without removing it."""
        while self._turns:
            queue = self._turns[0]
            head = queue.head()
            if head is None:
                self._turns.popleft()
            elif len(self._queues_by_customer) == 1:
                queue.credit_s = max(queue.credit_s, head.cost_s)
                return head
            elif queue.credit_s >= head.cost_s:
                return head
            else:
                self._turns.rotate(-1)
                queue = self._turns[0]
                queue.credit_s += self._quantum_s * queue.weight
        return None

    def pop(self) -> Waiter | None:
        """Remove and return the next request."""
        waiter = self.peek()
        if waiter is None:
            return None
        queue = self._queues_by_customer[waiter.customer]
        queue.credit_s -= waiter.cost_s
        self.remove(waiter.id)
        return waiter

    def heads(self, count: int) -> Iterator[Waiter]:
        """Yield up to ``count`` requests, customers in turn."""
        queues = list(self._turns)[:count]
        per_queue = max(1, count // max(1, len(queues)))
        for queue in queues:
            for _, _, waiter in queue.heap[:per_queue]:
                if not waiter.gone:
                    yield waiter

    def _drop(self, queue: _CustomerQueue) -> None:
        # The empty queue leaves the turns when its turn comes.
        del self._queues_by_customer[queue.customer]
        queue.heap.clear()
        queue.credit_s = 0.0

"""State of one request while the dispatcher knows it."""

from __future__ import annotations

import dataclasses
import enum
import heapq

from verbenastream import ids
from verbenastream.request import events
from verbenastream.request.queueing import lanes
from verbenastream.request.retries import policy
from verbenastream.request.slots import holder
from verbenastream.version.documents import schema


class Phase(enum.Enum):
    """Where a request is; ``DETACHED`` runs on though its caller left."""

    WAITING = 'waiting'
    BACKOFF = 'backoff'
    RUNNING = 'running'
    DETACHED = 'detached'


@dataclasses.dataclass(slots=True)
class Tracked:
    """A request, its class as known now, and its attempts."""

    info: events.RequestInfo
    work_class: schema.WorkClass
    arrived: float
    phase: Phase = Phase.WAITING
    waiter: lanes.Waiter | None = None
    grant: holder.HeldGrant | None = None
    answer_started: bool = False
    history: policy.History = dataclasses.field(default_factory=policy.History)

    @property
    def kind(self) -> tuple[ids.ServiceId, str, ids.CustomerId]:
        return (self.info.service, self.info.operation, self.info.customer)

    @property
    def pool(self) -> ids.PoolId:
        return ids.PoolId(self.info.service)


class Alarm(enum.Enum):
    """What is due for a request."""

    DEADLINE = 'deadline'
    BACKOFF = 'backoff'
    THRESHOLD = 'threshold'
    OVERDUE = 'overdue'


class Timers:
    """Heap of alarms; the receiver ignores those that no longer apply."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Alarm, ids.RequestId]] = []
        self._number = 0

    def add(self, when: float, alarm: Alarm, request: ids.RequestId) -> None:
        self._number += 1
        heapq.heappush(self._heap, (when, self._number, alarm, request))

    def due(self, now: float) -> tuple[Alarm, ids.RequestId] | None:
        """Remove and return the earliest alarm that is due, or None."""
        if not self._heap or self._heap[0][0] > now:
            return None
        _, _, alarm, request = heapq.heappop(self._heap)
        return alarm, request

    @property
    def next(self) -> float | None:
        return self._heap[0][0] if self._heap else None

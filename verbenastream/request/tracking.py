"""State and timers of the requests in a dispatcher."""

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
    """Phase of a request.

    A ``DETACHED`` request still runs at its target, but its caller has been
    answered or has gone.
    """

    WAITING = 'waiting'
    BACKOFF = 'backoff'
    RUNNING = 'running'
    DETACHED = 'detached'


@dataclasses.dataclass(slots=True)
class TrackedRequest:
    """A request with its current work class, phase and attempts."""

    info: events.RequestInfo
    work_class: schema.WorkClass
    arrived_at: float
    phase: Phase = Phase.WAITING
    queued_request: lanes.QueuedRequest | None = None
    grant: holder.HeldGrant | None = None
    answer_started: bool = False
    history: policy.History = dataclasses.field(default_factory=policy.History)

    @property
    def kind(self) -> tuple[ids.ServiceId, str, ids.CustomerId]:
        return (self.info.service, self.info.operation, self.info.customer)

    @property
    def pool(self) -> ids.PoolId:
        return ids.PoolId(self.info.service)


class TimerKind(enum.Enum):
    """Event of a request that a timer signals.

    ``THRESHOLD`` is the run time above which work is long, ``OVERDUE`` the
    time at which an attempt without any report is written off.
    """

    DEADLINE = 'deadline'
    BACKOFF = 'backoff'
    THRESHOLD = 'threshold'
    OVERDUE = 'overdue'


class Timers:
    """Heap of timers.

    Timers are not cancelled; the receiver ignores those that no longer apply.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, TimerKind, ids.RequestId]] = []
        self._added_count = 0

    def add(
        self, due_at: float, kind: TimerKind, request: ids.RequestId
    ) -> None:
        self._added_count += 1
        heapq.heappush(self._heap, (due_at, self._added_count, kind, request))

    def pop_due(self, now: float) -> tuple[TimerKind, ids.RequestId] | None:
        """Remove and return the earliest timer that is due, or None."""
        if not self._heap or self._heap[0][0] > now:
            return None
        _, _, kind, request = heapq.heappop(self._heap)
        return kind, request

    @property
    def next_due(self) -> float | None:
        return self._heap[0][0] if self._heap else None

"""Admission of a request by its deadline, and honest waiting times."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from verbenastream.request.queueing import estimates
    from verbenastream.request.queueing import pool_queue
    from verbenastream.request import tracking

# A request is queued if its predicted wait is at most 40% of the time that
# it has. The drain rate at one entry varies by up to a half while a request
# waits, and a shorter queue still keeps all slots busy.
_WAIT_MARGIN = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Why a request is not queued and when to come back, in seconds."""

    reason: str
    retry_after_s: float


def check(
    queue: pool_queue.PoolQueue,
    learned: estimates.Estimates,
    tracked: tracking.Tracked,
    max_waiting: int,
    slot_share: float,
    now: float,
) -> Rejection | None:
    """Return None if the request can be answered before its deadline."""
    wait = _predicted_wait(queue, learned, tracked, slot_share, now)
    if len(queue) >= max_waiting:
        return Rejection('the queue is full', wait)
    if not wait:
        return None
    run = learned.high(tracked.kind, tracked.work_class)
    slack = tracked.info.deadline - now - run
    if wait * _WAIT_MARGIN <= slack:
        return None
    return Rejection(
        f'the predicted wait of {wait:.1f} s exceeds the deadline',
        max(0.1, wait - max(0.0, slack) / _WAIT_MARGIN),
    )


def drain_time(
    queue: pool_queue.PoolQueue,
    learned: estimates.Estimates,
    tracked: tracking.Tracked,
    slot_share: float,
    now: float,
) -> float:
    """Return the predicted seconds until the queue has room."""
    return max(0.1, _predicted_wait(queue, learned, tracked, slot_share, now))


def _predicted_wait(
    queue: pool_queue.PoolQueue,
    learned: estimates.Estimates,
    tracked: tracking.Tracked,
    slot_share: float,
    now: float,
) -> float:
    run = learned.mean(tracked.kind, tracked.work_class)
    fair_rate = slot_share / max(run, 1e-3)
    return queue.predicted_wait(
        tracked.work_class, tracked.info.customer, fair_rate, now
    )

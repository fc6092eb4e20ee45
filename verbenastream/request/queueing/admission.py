"""Admission of a request by its deadline, and honest waiting times."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from verbenastream.version.documents import schema

if TYPE_CHECKING:
    from verbenastream.request.queueing import estimates
    from verbenastream.request.queueing import pool_queue
    from verbenastream.request import tracking

# The drain rate varies by about a fifth over the time that a request waits.
_WAIT_MARGIN = 1.25
_DEFAULT_SLOTS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Why a request is not queued and when to come back, in seconds."""

    reason: str
    retry_after_s: float


def check(
    queue: pool_queue.PoolQueue,
    learned: estimates.Estimates,
    tracked: tracking.Tracked,
    document: schema.Document,
    now: float,
) -> Rejection | None:
    """Return None if the request can be answered before its deadline."""
    wait = _predicted_wait(queue, tracked, learned, now)
    if len(queue) >= document.limits.max_waiting:
        return Rejection('the queue is full', wait)
    run = 0.0
    if wait:
        run = learned.high(tracked.kind, tracked.work_class)
    slack = tracked.info.deadline - now - run
    if wait * _WAIT_MARGIN > slack:
        return Rejection(
            f'the predicted wait of {wait:.1f} s exceeds the deadline',
            max(0.1, wait * _WAIT_MARGIN - max(0.0, slack)),
        )
    return None


def drain_time(
    queue: pool_queue.PoolQueue,
    tracked: tracking.Tracked,
    learned: estimates.Estimates,
    now: float,
) -> float:
    """Return the predicted seconds until the queue has room."""
    return max(0.1, _predicted_wait(queue, tracked, learned, now))


def _predicted_wait(
    queue: pool_queue.PoolQueue,
    tracked: tracking.Tracked,
    learned: estimates.Estimates,
    now: float,
) -> float:
    run = learned.typical(tracked.kind, tracked.work_class)
    prior_rate = _DEFAULT_SLOTS / max(run, 1e-3)
    return queue.predicted_wait(
        tracked.work_class, tracked.info.customer, prior_rate, now
    )

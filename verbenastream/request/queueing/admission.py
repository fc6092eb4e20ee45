"""Admission of requests by their deadlines and predicted waiting times."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from verbenastream.request.queueing import estimates
    from verbenastream.request.queueing import pool_queue
    from verbenastream.request import tracking

# A request is queued only if its predicted wait is at most a third of the time
# left. The drain rate at one entry varies by a half while a request waits, and
# a shorter queue still keeps all slots busy.
_WAIT_SAFETY_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """The reason why a request is not queued, and the time to retry after."""

    reason: str
    retry_after_s: float


def check(
    queue: pool_queue.PoolQueue,
    run_time_estimates: estimates.Estimates,
    tracked: tracking.TrackedRequest,
    max_waiting: int,
    slot_share: float,
    now: float,
) -> Rejection | None:
    """Return why the request is rejected, or None if it is admitted.

    A request is admitted if the queue has room and the request is expected
    to be answered before its deadline.
    """
    wait_s = _predict_wait(queue, run_time_estimates, tracked, slot_share, now)
    if len(queue) >= max_waiting:
        return Rejection('the queue is full', wait_s)
    if not wait_s:
        return None
    run_s = run_time_estimates.high_run_time(tracked.kind, tracked.work_class)
    slack_s = tracked.info.deadline - now - run_s
    if wait_s * _WAIT_SAFETY_FACTOR <= slack_s:
        return None
    return Rejection(
        f'the predicted wait of {wait_s:.1f} s exceeds the deadline',
        max(0.1, wait_s - max(0.0, slack_s) / _WAIT_SAFETY_FACTOR),
    )


def drain_time(
    queue: pool_queue.PoolQueue,
    run_time_estimates: estimates.Estimates,
    tracked: tracking.TrackedRequest,
    slot_share: float,
    now: float,
) -> float:
    """Return the predicted seconds until the queue has room."""
    return max(
        0.1, _predict_wait(queue, run_time_estimates, tracked, slot_share, now)
    )


def _predict_wait(
    queue: pool_queue.PoolQueue,
    run_time_estimates: estimates.Estimates,
    tracked: tracking.TrackedRequest,
    slot_share: float,
    now: float,
) -> float:
    run_s = run_time_estimates.mean_run_time(tracked.kind, tracked.work_class)
    fair_rate = slot_share / max(run_s, 1e-3)
    return queue.predicted_wait(
        tracked.work_class, tracked.info.customer, fair_rate, now
    )

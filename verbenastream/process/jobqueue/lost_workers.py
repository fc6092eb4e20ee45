"""Finds workers that have ended without saying so."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from verbenastream.process.jobqueue import instances

if TYPE_CHECKING:
    from verbenastream.process.jobqueue import workers


class LossReason(enum.Enum):
    """Why runs that no worker reported as ended count as lost."""

    LEASE_EXPIRED = 'lease over'
    # A later heartbeat of the worker does not list the run.
    UNLISTED = 'unlisted'
    # The platform lists the instance as down or with another worker, or not
    # at all after an announced shutdown. That may be the effect of a call of
    # its own or of a shutdown.
    WORKER_ENDED = 'worker ended'
    # The same, for a worker that nothing was to end.
    WORKER_CRASHED = 'worker crashed'
    # The worker has ended after this leader asked the platform to take its
    # instance down or to move it.
    TAKEN_DOWN = 'taken down'


def has_ended(
    worker: workers.Worker,
    listing: instances.Listing,
    previous: instances.Listing | None,
) -> bool:
    """Whether ``listing`` shows that ``worker`` has ended.

    A list says nothing about a worker that has sent a heartbeat since, or
    just before. A worker that is merely silent, for example behind a network
    partition, is still listed on its instance and keeps its runs until its
    lease expires. Neither does the answer to a call show that a worker has
    ended: that may be about an earlier worker on the instance. No worker runs
    on an instance that is not up, and none changes its pool.

    A worker that has announced its shutdown has ended once its instance is
    missing from this list and from the ``previous`` one: a list is read in
    pages, and a single one may miss an instance.
    """
    if listing.requested_at <= worker.seen_at + instances.LISTING_LAG_S:
        return False
    instance = listing.by_id.get(worker.heartbeat.instance)
    if instance is None:
        return (
            _has_left(worker, listing)
            and previous is not None
            and _has_left(worker, previous)
        )
    if instance.state is not instances.InstanceState.UP:
        return True
    if instance.worker:
        return instance.worker != worker.id
    return instance.pool != worker.pool


def _has_left(worker: workers.Worker, listing: instances.Listing) -> bool:
    """Whether the instance left the fleet after the announced shutdown."""
    announced_at = worker.shutdown_announced_at
    return (
        announced_at is not None
        and listing.requested_at
        > max(announced_at, worker.seen_at) + instances.LISTING_LAG_S
        and not listing.may_include(worker.heartbeat.instance)
    )


def end_reason(
    worker: workers.Worker, may_be_called_earlier: bool
) -> LossReason:
    """Return why ``worker``, which has ended, did so.

    A worker has crashed unless it was draining or shutting down, or this
    leader or, with ``may_be_called_earlier``, its predecessor had its instance
    moved or taken down.
    """
    if worker.is_being_taken_down:
        return LossReason.TAKEN_DOWN
    is_planned = (
        worker.heartbeat.draining
        or worker.shutdown_announced_at is not None
        or may_be_called_earlier
    )
    return LossReason.WORKER_ENDED if is_planned else LossReason.WORKER_CRASHED

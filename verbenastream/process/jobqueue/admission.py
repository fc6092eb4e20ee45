"""Refuses jobs that no worker can ever run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import errors

if TYPE_CHECKING:
    from collections.abc import Iterable

    from verbenastream.process.jobqueue import instances
    from verbenastream.process.jobqueue import model
    from verbenastream.process.jobqueue import workers


def check_size(
    spec: model.JobSpec,
    pool: model.Pool,
    spare_pools: Iterable[model.Pool],
    known_workers: Iterable[workers.Worker],
    listing: instances.Listing | None,
) -> None:
    """Raise ``NeverRunsError`` if no worker of ``pool`` is large enough.

    The largest capacity that a worker has reported counts, as one that has
    shrunk may grow again. Instances of ``spare_pools`` count, as they can be
    moved to it. All sizes are accepted if no worker of the pool is known, as
    the workers may not have sent their first heartbeat yet, or if the list of
    spare instances is not.
    """
    pool_workers = [
        worker for worker in known_workers if worker.pool == pool.id
    ]
    spare_ids = {spare.id for spare in spare_pools}
    if not pool_workers or (spare_ids and listing is None):
        return
    rows = () if listing is None else listing.by_id.values()
    for position, step in enumerate(spec.steps):
        need = capacity.reservation(step)
        fits = any(
            capacity.fits(need, worker.largest_capacity)
            for worker in pool_workers
        ) or any(
            row.pool in spare_ids and capacity.fits(need, row.capacity)
            for row in rows
        )
        if not fits:
            raise errors.NeverRunsError(
                f'step {position} asks for {need}, more than any of the '
                f'{len(pool_workers)} workers of pool {pool.id} and the '
                f'spare instances has',
                'Request fewer resources or split the step.',
            )

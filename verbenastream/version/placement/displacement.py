"""Displacement of other work by urgent jobs on full workers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from verbenastream.version.placement import jobs
from verbenastream.version.placement import workers

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from verbenastream import ids
    from verbenastream.version import fleet

# Share of its cores that a throttled task keeps, so that it can still renew
# its connections and make progress.
_THROTTLED_SHARE = 0.1


@dataclasses.dataclass(slots=True)
class Displacement:
    """Tasks to throttle or stop on ``worker`` in favour of an urgent job.

    ``throttle`` pairs each lease with its limit in cores.
    """

    worker: workers.Worker
    throttle: list[tuple[jobs.Lease, float]]
    stop: list[jobs.Lease]


def find_displacement(
    candidates: Iterable[workers.Worker],
    job: jobs.Job,
    need: fleet.Resources,
    takes_work: Callable[[ids.InstanceId], bool],
) -> Displacement | None:
    """Return the displacement that affects the fewest tasks, or None.

    Throttling is preferred to stopping, because it takes effect immediately
    and loses no work.
    """
    best: Displacement | None = None
    best_key: tuple[int, int, str] | None = None
    for worker in candidates:
        if not worker.accepts_jobs or not worker.reachable:
            continue
        if not workers.in_allowed_rack(worker.record, job):
            continue
        displacement = _displacement_on(worker, job, need)
        if displacement is None or not takes_work(worker.record.id):
            continue
        key = (
            len(displacement.stop),
            len(displacement.throttle),
            worker.record.id,
        )
        if best_key is None or key < best_key:
            best = displacement
            best_key = key
            if key[:2] == (0, 1):
                break
    return best


def _displacement_on(
    worker: workers.Worker, job: jobs.Job, need: fleet.Resources
) -> Displacement | None:
    capacity = worker.record.resources
    missing_memory = (
        worker.granted.memory_gb + need.memory_gb - capacity.memory_gb
    )
    missing_accelerators = (
        worker.granted.accelerators + need.accelerators - capacity.accelerators
    )
    missing_cores = worker.granted.cores + need.cores - capacity.cores
    candidates = sorted(
        (
            lease
            for lease in worker.leases.values()
            if lease.job.priority > job.priority
            and lease.state is jobs.LeaseState.RUNNING
        ),
        key=lambda lease: (-lease.job.priority, lease.id),
    )
    stop: list[jobs.Lease] = []
    throttle: list[tuple[jobs.Lease, float]] = []
    for lease in candidates:
        if missing_memory <= 1e-6 and missing_accelerators <= 0:
            break
        if not lease.job.restartable and not lease.job.can_checkpoint:
            continue
        stop.append(lease)
        missing_memory -= lease.granted.memory_gb
        missing_accelerators -= lease.granted.accelerators
        missing_cores -= lease.granted.cores
    if missing_memory > 1e-6 or missing_accelerators > 0:
        return None
    for lease in candidates:
        if missing_cores <= 1e-6:
            break
        if lease in stop or lease.throttled:
            continue
        limit = lease.granted.cores * _THROTTLED_SHARE
        throttle.append((lease, limit))
        missing_cores -= lease.granted.cores - limit
    if missing_cores > 1e-6:
        return None
    return Displacement(worker, throttle, stop)

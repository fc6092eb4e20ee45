"""Room for urgent work on workers that are full of other work."""

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

# A throttled task keeps a tenth of its cores, so that it still renews its
# connections and makes progress.
_THROTTLED_SHARE = 0.1


@dataclasses.dataclass(slots=True)
class Room:
    """What has to be throttled or stopped on ``worker``."""

    worker: workers.Worker
    throttle: list[tuple[jobs.Lease, float]]
    stop: list[jobs.Lease]


def find(
    candidates: Iterable[workers.Worker],
    job: jobs.Job,
    need: fleet.Resources,
    takes_work: Callable[[ids.InstanceId], bool],
) -> Room | None:
    """Return the worker on which the fewest tasks are disturbed.

    Throttling is preferred to stopping: it takes effect at once and loses
    no work.
    """
    best: Room | None = None
    best_key: tuple[int, int, str] | None = None
    for worker in candidates:
        if not worker.open or not worker.reachable:
            continue
        if not workers.allows(worker.record, job):
            continue
        room = _room(worker, job, need)
        if room is None or not takes_work(worker.record.id):
            continue
        key = (len(room.stop), len(room.throttle), worker.record.id)
        if best_key is None or key < best_key:
            best = room
            best_key = key
            if key[:2] == (0, 1):
                break
    return best


def _room(
    worker: workers.Worker, job: jobs.Job, need: fleet.Resources
) -> Room | None:
    total = worker.record.resources
    lack_memory = worker.granted.memory_gb + need.memory_gb - total.memory_gb
    lack_accelerators = (
        worker.granted.accelerators + need.accelerators - total.accelerators
    )
    lack_cores = worker.granted.cores + need.cores - total.cores
    victims = sorted(
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
    for lease in victims:
        if lack_memory <= 1e-6 and lack_accelerators <= 0:
            break
        if not lease.job.restartable and not lease.job.can_checkpoint:
            continue
        stop.append(lease)
        lack_memory -= lease.granted.memory_gb
        lack_accelerators -= lease.granted.accelerators
        lack_cores -= lease.granted.cores
    if lack_memory > 1e-6 or lack_accelerators > 0:
        return None
    for lease in victims:
        if lack_cores <= 1e-6:
            break
        if lease in stop or lease.throttled:
            continue
        limit = lease.granted.cores * _THROTTLED_SHARE
        throttle.append((lease, limit))
        lack_cores -= lease.granted.cores - limit
    if lack_cores > 1e-6:
        return None
    return Room(worker, throttle, stop)

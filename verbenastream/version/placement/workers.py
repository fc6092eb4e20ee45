"""Capacity of workers and the choice of a worker for a job."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version.placement import jobs
from verbenastream.version.placement import resources

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

# Limits on the declared needs on a worker, relative to its capacity. They may
# exceed it where corrections predict a lower usage. The limit for memory is
# lower, because a worker without memory loses tasks, while one without cores
# only slows down.
OVERCOMMIT_CORES = 1.5
OVERCOMMIT_MEMORY = 1.2
# Share of the memory that non-urgent work may use. The rest is kept for urgent
# work, which gets cores by throttling running tasks, but not memory.
NON_URGENT_MEMORY_SHARE = 0.9


@dataclasses.dataclass(slots=True)
class Worker:
    """One worker and the leases that are charged to its capacity.

    ``granted`` is the sum of the corrected needs of its leases, ``declared``
    the sum of the declared ones. ``last_action_at`` is the time of the last
    call that relieved the worker.
    """

    record: fleet.InstanceRecord
    accepts_jobs: bool = True
    reachable: bool = True
    leases: dict[ids.LeaseId, jobs.Lease] = dataclasses.field(
        default_factory=dict
    )
    granted: fleet.Resources = resources.ZERO
    declared: fleet.Resources = resources.ZERO
    last_action_at: float = float('-inf')

    def add(self, lease: jobs.Lease) -> None:
        self.leases[lease.id] = lease
        self.granted = resources.add(self.granted, lease.granted)
        self.declared = resources.add(self.declared, lease.job.need)

    def remove(self, lease: jobs.Lease) -> None:
        if self.leases.pop(lease.id, None) is None:
            return
        if not self.leases:
            self.granted = self.declared = resources.ZERO
            return
        self.granted = resources.subtract(self.granted, lease.granted)
        self.declared = resources.subtract(self.declared, lease.job.need)

    def charge(self, lease: jobs.Lease, granted: fleet.Resources) -> None:
        """Replace the resources that are charged for ``lease``."""
        self.granted = resources.add(
            resources.subtract(self.granted, lease.granted), granted
        )
        lease.granted = granted

    def fits(
        self,
        need: fleet.Resources,
        declared: fleet.Resources,
        memory_share: float = 1.0,
    ) -> bool:
        """Return whether a job fits by its corrected and declared needs.

        ``need`` is the corrected need; ``memory_share`` is the share of the
        memory that may be granted.
        """
        capacity = self.record.resources
        granted = self.granted
        return (
            granted.cores + need.cores <= capacity.cores + 1e-6
            and granted.memory_gb + need.memory_gb
            <= capacity.memory_gb * memory_share + 1e-6
            and granted.accelerators + need.accelerators
            <= capacity.accelerators
            and self.declared.cores + declared.cores
            <= capacity.cores * OVERCOMMIT_CORES
            and self.declared.memory_gb + declared.memory_gb
            <= capacity.memory_gb * OVERCOMMIT_MEMORY
        )


def in_allowed_rack(record: fleet.InstanceRecord, job: jobs.Job) -> bool:
    return not job.racks or record.rack in job.racks


def choose_worker(
    candidates: Iterable[Worker],
    job: jobs.Job,
    need: fleet.Resources,
    takes_work: Callable[[ids.InstanceId], bool],
) -> Worker | None:
    """Return the worker with the least free capacity after placing the job.

    Workers with accelerators are avoided for jobs that need none. Ties are
    resolved by the worker id.
    """
    best = None
    best_key: tuple[int, float, str] | None = None
    for worker in candidates:
        if not worker.accepts_jobs or not worker.reachable:
            continue
        if not in_allowed_rack(worker.record, job):
            continue
        if not worker.fits(need, job.need, _memory_share(worker, job)):
            continue
        capacity = worker.record.resources
        wastes_accelerators = 0
        if capacity.accelerators and not job.need.accelerators:
            wastes_accelerators = 1
        free_share = max(
            (capacity.cores - worker.granted.cores - need.cores)
            / capacity.cores,
            (capacity.memory_gb - worker.granted.memory_gb - need.memory_gb)
            / capacity.memory_gb,
        )
        key = (wastes_accelerators, free_share, worker.record.id)
        # ``takes_work`` is expensive compared with the key, so it is called
        # only for workers that would be chosen.
        if (best_key is None or key < best_key) and takes_work(
            worker.record.id
        ):
            best = worker
            best_key = key
    return best


def _memory_share(worker: Worker, job: jobs.Job) -> float:
    """Return the share of the memory that ``job`` may use on ``worker``.

    An idle worker offers its whole memory, because a job that needs more
    than the share could never start otherwise.
    """
    if job.priority is jobs.Priority.URGENT or not worker.leases:
        return 1.0
    return NON_URGENT_MEMORY_SHARE


def explain_misfit(candidates: Iterable[Worker], job: jobs.Job) -> str | None:
    """Return why ``job`` fits no worker even if it is idle, or None.

    Unreachable workers and workers that accept no jobs are included, because
    they may return.
    """
    closest: tuple[float, str] | None = None
    has_worker_in_racks = False
    for worker in candidates:
        if not in_allowed_rack(worker.record, job):
            continue
        has_worker_in_racks = True
        capacity = worker.record.resources
        if resources.fits(job.need, capacity):
            return None
        shortfall = _shortfall(job.need, capacity)
        text = _describe_shortfall(job.need, capacity, worker.record.id)
        if closest is None or (shortfall, text) < closest:
            closest = (shortfall, text)
    if closest is not None:
        return closest[1]
    if job.racks and not has_worker_in_racks:
        return (
            'no worker is in the racks '
            f'{", ".join(sorted(job.racks))}. Allow other racks.'
        )
    return 'the fleet has no worker. Wait until workers announce themselves.'


def _shortfall(need: fleet.Resources, capacity: fleet.Resources) -> float:
    """Return the sum of the shares by which each need is not covered."""
    missing_share = 0.0
    for needed, available in (
        (need.cores, capacity.cores),
        (need.memory_gb, capacity.memory_gb),
        (need.accelerators, capacity.accelerators),
    ):
        if needed > available:
            missing_share += (needed - available) / needed
    return missing_share


def _describe_shortfall(
    need: fleet.Resources, capacity: fleet.Resources, instance: ids.InstanceId
) -> str:
    parts = []
    for needed, available, unit in (
        (need.cores, capacity.cores, 'cores'),
        (need.memory_gb, capacity.memory_gb, 'GB of memory'),
        (need.accelerators, capacity.accelerators, 'accelerators'),
    ):
        if needed > available:
            parts.append(f'{available:g} of {needed:g} {unit}')
    return (
        f'the closest worker {instance} has only {" and ".join(parts)}. '
        'Ask for less or split the job.'
    )

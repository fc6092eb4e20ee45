"""Capacity of workers, the choice among them and the closest miss."""

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

# The sum of the declared needs on a worker may exceed its capacity by half
# where corrections say that the tasks use less; memory is bounded lower, as
# a worker without memory loses tasks while one without cores slows down.
OVERCOMMIT_CORES = 1.5
OVERCOMMIT_MEMORY = 1.2
# Urgent work starts beside running tasks, whose cores can be throttled at
# once; memory cannot, so a tenth of it is kept free of other work.
MEMORY_SHARE = 0.9


@dataclasses.dataclass(slots=True)
class Worker:
    """One worker and the leases charged to it."""

    record: fleet.InstanceRecord
    open: bool = True
    reachable: bool = True
    leases: dict[ids.LeaseId, jobs.Lease] = dataclasses.field(
        default_factory=dict
    )
    granted: fleet.Resources = resources.NONE
    declared: fleet.Resources = resources.NONE
    acted_at: float = float('-inf')

    def add(self, lease: jobs.Lease) -> None:
        self.leases[lease.id] = lease
        self.granted = resources.add(self.granted, lease.granted)
        self.declared = resources.add(self.declared, lease.job.need)

    def remove(self, lease: jobs.Lease) -> None:
        if self.leases.pop(lease.id, None) is None:
            return
        if not self.leases:
            self.granted = self.declared = resources.NONE
            return
        self.granted = resources.subtract(self.granted, lease.granted)
        self.declared = resources.subtract(self.declared, lease.job.need)

    def charge(self, lease: jobs.Lease, granted: fleet.Resources) -> None:
        """Replace what ``lease`` is charged with."""
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
        """Whether corrected and declared needs both stay within bounds.

        ``memory_share`` is the share of the memory that may be granted.
        """
        total = self.record.resources
        granted = self.granted
        return (
            granted.cores + need.cores <= total.cores + 1e-6
            and granted.memory_gb + need.memory_gb
            <= total.memory_gb * memory_share + 1e-6
            and granted.accelerators + need.accelerators <= total.accelerators
            and self.declared.cores + declared.cores
            <= total.cores * OVERCOMMIT_CORES
            and self.declared.memory_gb + declared.memory_gb
            <= total.memory_gb * OVERCOMMIT_MEMORY
        )


def allows(record: fleet.InstanceRecord, job: jobs.Job) -> bool:
    return not job.racks or record.rack in job.racks


def choose(
    candidates: Iterable[Worker],
    job: jobs.Job,
    need: fleet.Resources,
    takes_work: Callable[[ids.InstanceId], bool],
) -> Worker | None:
    """Return the worker that the job fits into most tightly.

    Workers with accelerators are kept for jobs that need them. Of equal
    workers the first by id is taken.
    """
    best = None
    best_key: tuple[int, float, str] | None = None
    for worker in candidates:
        if not worker.open or not worker.reachable:
            continue
        if not allows(worker.record, job):
            continue
        if not worker.fits(need, job.need, _memory_share(worker, job)):
            continue
        total = worker.record.resources
        waste = 0
        if total.accelerators and not job.need.accelerators:
            waste = 1
        left = max(
            (total.cores - worker.granted.cores - need.cores) / total.cores,
            (total.memory_gb - worker.granted.memory_gb - need.memory_gb)
            / total.memory_gb,
        )
        key = (waste, left, worker.record.id)
        # The check is costly next to the key, and few workers get here.
        if (best_key is None or key < best_key) and takes_work(
            worker.record.id
        ):
            best = worker
            best_key = key
    return best


def _memory_share(worker: Worker, job: jobs.Job) -> float:
    """An empty worker takes any job that fits it, or it never would."""
    if job.priority is jobs.Priority.URGENT or not worker.leases:
        return 1.0
    return MEMORY_SHARE


def closest_miss(candidates: Iterable[Worker], job: jobs.Job) -> str | None:
    """Return why ``job`` fits no worker even when empty, or None.

    Lost and closed workers count: they come back.
    """
    closest: tuple[float, str] | None = None
    in_racks = False
    for worker in candidates:
        if not allows(worker.record, job):
            continue
        in_racks = True
        total = worker.record.resources
        if resources.fits(job.need, total):
            return None
        miss = _shortfall(job.need, total)
        text = _describe(job.need, total, worker.record.id)
        if closest is None or (miss, text) < closest:
            closest = (miss, text)
    if closest is not None:
        return closest[1]
    if job.racks and not in_racks:
        return (
            'no worker is in the racks '
            f'{", ".join(sorted(job.racks))}. Allow other racks.'
        )
    return 'the fleet has no worker. Wait until workers announce themselves.'


def _shortfall(need: fleet.Resources, total: fleet.Resources) -> float:
    """Sum of the lacking shares of each need."""
    lack = 0.0
    for wanted, there in (
        (need.cores, total.cores),
        (need.memory_gb, total.memory_gb),
        (need.accelerators, total.accelerators),
    ):
        if wanted > there:
            lack += (wanted - there) / wanted
    return lack


def _describe(
    need: fleet.Resources, total: fleet.Resources, instance: ids.InstanceId
) -> str:
    parts = []
    for wanted, there, unit in (
        (need.cores, total.cores, 'cores'),
        (need.memory_gb, total.memory_gb, 'GB of memory'),
        (need.accelerators, total.accelerators, 'accelerators'),
    ):
        if wanted > there:
            parts.append(f'{there:g} of {wanted:g} {unit}')
    return (
        f'the closest worker {instance} has only {" and ".join(parts)}. '
        'Ask for less or split the job.'
    )

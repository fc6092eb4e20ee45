"""Selects the tasks that an overloaded worker throttles or stops."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.version.placement import actions
from verbenastream.version.placement import jobs

if TYPE_CHECKING:
    from verbenastream import ids
    from verbenastream.version.placement import workers

# Share of the memory that tasks may use. The rest covers what they allocate
# until the next report.
MEMORY_LIMIT = 0.95
CORES_LIMIT = 1.0
# Share by which a task may exceed its limit, because the limit of a throttled
# task is enforced only per scheduler period.
_TOLERANCE = 0.1


def relief_calls(
    worker: workers.Worker,
    usage_by_lease: dict[ids.LeaseId, jobs.Usage],
) -> list[actions.Throttle | actions.Stop]:
    """Return the calls that bring ``worker`` back within its capacity.

    Tasks that exceed their declared need come first, however large the other
    tasks are. In both groups the least urgent task comes first, then the one
    with the largest ratio of used to declared resources.
    """
    usage = {
        key: value
        for key, value in usage_by_lease.items()
        if key in worker.leases
        and worker.leases[key].state is jobs.LeaseState.RUNNING
    }
    capacity = worker.record.resources
    memory = sum(value.memory_gb for value in usage.values())
    calls: list[actions.Throttle | actions.Stop] = []
    for key in _order_by_excess(worker, usage, 'memory_gb'):
        if memory <= MEMORY_LIMIT * capacity.memory_gb:
            break
        lease = worker.leases[key]
        calls.append(
            actions.Stop(key, worker.record.id, lease.job.can_checkpoint)
        )
        memory -= usage.pop(key).memory_gb
    cores = sum(value.cores for value in usage.values())
    for key in _order_by_excess(worker, usage, 'cores'):
        if cores <= CORES_LIMIT * capacity.cores:
            break
        lease = worker.leases[key]
        limit = lease.job.need.cores
        if lease.throttled:
            # The earlier throttle call may have been lost, so it is repeated.
            limit = min(limit, lease.granted.cores)
        excess = usage[key].cores - limit
        if excess > _TOLERANCE * limit:
            calls.append(
                actions.Throttle(key, worker.record.id, max(0.1, limit))
            )
            cores -= excess
    return calls


def _order_by_excess(
    worker: workers.Worker,
    usage: dict[ids.LeaseId, jobs.Usage],
    resource: str,
) -> list[ids.LeaseId]:
    def key(lease_id: ids.LeaseId) -> tuple[bool, int, float, str]:
        job = worker.leases[lease_id].job
        used = getattr(usage[lease_id], resource)
        declared = max(getattr(job.need, resource), 1e-9)
        return (
            used <= declared,
            -int(job.priority),
            -used / declared,
            lease_id,
        )

    return sorted(usage, key=key)

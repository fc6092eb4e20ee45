"""Which task to throttle, checkpoint or stop when a worker runs short."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.version.placement import actions
from verbenastream.version.placement import jobs

if TYPE_CHECKING:
    from verbenastream import ids
    from verbenastream.version.placement import workers

# Between two reports a task can allocate some more; at 95% there is still
# room until the next report.
MEMORY_LIMIT = 0.95
CORES_LIMIT = 1.0
# A throttled task exceeds its limit a little between two scheduler periods.
_TOLERANCE = 0.1


def relieve(
    worker: workers.Worker,
    usage_by_lease: dict[ids.LeaseId, jobs.Usage],
) -> list[actions.Throttle | actions.Stop]:
    """Return the calls that bring ``worker`` back within its capacity.

    The task that exceeds its declared need the most is the cause, however
    large the others are; among those that keep to their declarations the
    least urgent goes first.
    """
    usage = {
        key: value
        for key, value in usage_by_lease.items()
        if key in worker.leases
        and worker.leases[key].state is jobs.LeaseState.RUNNING
    }
    total = worker.record.resources
    memory = sum(value.memory_gb for value in usage.values())
    calls: list[actions.Throttle | actions.Stop] = []
    for key in _order(worker, usage, 'memory_gb'):
        if memory <= MEMORY_LIMIT * total.memory_gb:
            break
        lease = worker.leases[key]
        calls.append(
            actions.Stop(key, worker.record.id, lease.job.can_checkpoint)
        )
        memory -= usage.pop(key).memory_gb
    cores = sum(value.cores for value in usage.values())
    for key in _order(worker, usage, 'cores'):
        if cores <= CORES_LIMIT * total.cores:
            break
        lease = worker.leases[key]
        limit = lease.job.need.cores
        if lease.throttled:
            # The earlier call may have been lost.
            limit = min(limit, lease.granted.cores)
        excess = usage[key].cores - limit
        if excess > _TOLERANCE * limit:
            calls.append(
                actions.Throttle(key, worker.record.id, max(0.1, limit))
            )
            cores -= excess
    return calls


def _order(
    worker: workers.Worker,
    usage: dict[ids.LeaseId, jobs.Usage],
    what: str,
) -> list[ids.LeaseId]:
    def key(lease_id: ids.LeaseId) -> tuple[bool, int, float, str]:
        job = worker.leases[lease_id].job
        used = getattr(usage[lease_id], what)
        declared = max(getattr(job.need, what), 1e-9)
        return (
            used <= declared,
            -int(job.priority),
            -used / declared,
            lease_id,
        )

    return sorted(usage, key=key)

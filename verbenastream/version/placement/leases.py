"""Leases of all workers and the times by which they have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.version.placement import jobs

if TYPE_CHECKING:
    from verbenastream.version import fleet

# A worker stops a task by itself if its lease is not renewed for this long.
LEASE_S = 30.0
# Worker clocks may run 1% slow, the same bound as for leader leases.
_MAX_CLOCK_DRIFT = 1.01
_EXPIRY_MARGIN_S = 0.5


def latest_end_at(lease: jobs.Lease) -> float:
    """Return the time by which the worker must have stopped the task.

    The worker counts from its request for the last renewal, which is before
    ``renewed_at``.
    """
    return lease.renewed_at + LEASE_S * _MAX_CLOCK_DRIFT + _EXPIRY_MARGIN_S


class LeaseTable:
    """Leases by id and by job; at most one lease per job."""

    def __init__(self) -> None:
        self.leases_by_id: dict[ids.LeaseId, jobs.Lease] = {}
        self.leases_by_job: dict[ids.JobId, jobs.Lease] = {}
        self.ids_by_state: dict[jobs.LeaseState, dict[ids.LeaseId, None]] = {
            state: {} for state in jobs.LeaseState
        }
        self._token_by_job: dict[ids.JobId, int] = {}

    def grant(
        self,
        job: jobs.Job,
        instance: ids.InstanceId,
        granted: fleet.Resources,
        now: float,
    ) -> jobs.Lease:
        """Return a new lease with a higher token than all earlier ones."""
        token = self._token_by_job.get(job.id, 0) + 1
        self._token_by_job[job.id] = token
        lease = jobs.Lease(
            id=ids.LeaseId(f'{job.id}.{token}'),
            job=job,
            token=token,
            instance=instance,
            granted=granted,
            granted_at=now,
            sent_at=now,
            renewed_at=now,
        )
        self.leases_by_id[lease.id] = lease
        self.leases_by_job[job.id] = lease
        self.ids_by_state[lease.state][lease.id] = None
        return lease

    def set_state(self, lease: jobs.Lease, state: jobs.LeaseState) -> None:
        self.ids_by_state[lease.state].pop(lease.id, None)
        lease.state = state
        self.ids_by_state[state][lease.id] = None

    def remove(self, lease: jobs.Lease) -> None:
        self.leases_by_id.pop(lease.id, None)
        self.leases_by_job.pop(lease.job.id, None)
        self.ids_by_state[lease.state].pop(lease.id, None)

    def discard_token(self, job: ids.JobId) -> None:
        """Discard the token of a job whose submitter was answered."""
        self._token_by_job.pop(job, None)

    def in_state(self, state: jobs.LeaseState) -> list[jobs.Lease]:
        return [self.leases_by_id[key] for key in self.ids_by_state[state]]

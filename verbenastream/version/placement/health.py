"""Finds workers that fail everything they start."""

from __future__ import annotations

import dataclasses

from verbenastream import ids

# Three different jobs in a row: two can be the fault of the jobs, and a
# worker that fails at once would take a fourth within a second.
_FAILURES = 3
_BLOCK_S = 300.0
_MAX_BLOCK_S = 3_600.0


@dataclasses.dataclass(slots=True)
class _Record:
    failed_jobs: set[ids.JobId] = dataclasses.field(default_factory=set)
    blocked_until: float = 0.0
    blocks: int = 0


class WorkerHealth:
    """Consecutive failures by worker.

    The idleness of a worker says nothing about its health: one that fails
    each job within a second looks idle all the time.
    """

    def __init__(
        self, block_s: float = _BLOCK_S, max_block_s: float = _MAX_BLOCK_S
    ) -> None:
        self._block_s = block_s
        self._max_block_s = max_block_s
        self._records_by_id: dict[ids.InstanceId, _Record] = {}

    def succeeded(self, instance: ids.InstanceId) -> None:
        self._records_by_id.pop(instance, None)

    def failed(
        self, instance: ids.InstanceId, job: ids.JobId, now: float
    ) -> float | None:
        """Note a failure; return the end of the block that it causes."""
        record = self._records_by_id.setdefault(instance, _Record())
        record.failed_jobs.add(job)
        probing = record.blocks > 0
        if len(record.failed_jobs) < (1 if probing else _FAILURES):
            return None
        duration = min(self._max_block_s, self._block_s * 2**record.blocks)
        record.blocked_until = now + duration
        record.blocks += 1
        record.failed_jobs.clear()
        return record.blocked_until

    def acquit(self, instance: ids.InstanceId, job: ids.JobId) -> None:
        """Take back a failure of a job that fails elsewhere as well."""
        record = self._records_by_id.get(instance)
        if record is not None:
            record.failed_jobs.discard(job)

    def takes_work(self, instance: ids.InstanceId, now: float) -> bool:
        record = self._records_by_id.get(instance)
        return record is None or now >= record.blocked_until

    def is_probe(self, instance: ids.InstanceId) -> bool:
        """Whether the worker was blocked and has not succeeded since."""
        record = self._records_by_id.get(instance)
        return record is not None and record.blocks > 0

"""Detects workers on which all tasks fail."""

from __future__ import annotations

import dataclasses

from verbenastream import ids

# Number of different jobs that fail in a row before the worker is blocked. Two
# failures may be caused by the jobs, and a worker on which tasks fail
# immediately would take a fourth job within a second.
_FAILURES_BEFORE_BLOCK = 3
_BLOCK_S = 300.0
_MAX_BLOCK_S = 3_600.0


@dataclasses.dataclass(slots=True)
class _FailureRecord:
    """Failures of one worker since its last success."""

    failed_jobs: set[ids.JobId] = dataclasses.field(default_factory=set)
    blocked_until: float = 0.0
    block_count: int = 0


class WorkerHealth:
    """Counts consecutive failures by worker and blocks failing workers.

    The load of a worker does not indicate its health: a worker on which each
    job fails within a second looks idle.
    """

    def __init__(
        self, block_s: float = _BLOCK_S, max_block_s: float = _MAX_BLOCK_S
    ) -> None:
        self._block_s = block_s
        self._max_block_s = max_block_s
        self._records_by_id: dict[ids.InstanceId, _FailureRecord] = {}

    def record_success(self, instance: ids.InstanceId) -> None:
        self._records_by_id.pop(instance, None)

    def record_failure(
        self, instance: ids.InstanceId, job: ids.JobId, now: float
    ) -> float | None:
        """Record a failure; return the end of a block that it causes.

        A blocked worker gets no new tasks, so a failure during a block is
        that of a run from before the block, or a repeated report.
        """
        record = self._records_by_id.setdefault(instance, _FailureRecord())
        if now < record.blocked_until:
            return None
        record.failed_jobs.add(job)
        on_probation = record.block_count > 0
        if len(record.failed_jobs) < (
            1 if on_probation else _FAILURES_BEFORE_BLOCK
        ):
            return None
        duration = min(
            self._max_block_s, self._block_s * 2**record.block_count
        )
        record.blocked_until = now + duration
        record.block_count += 1
        record.failed_jobs.clear()
        return record.blocked_until

    def clear_failure(self, instance: ids.InstanceId, job: ids.JobId) -> None:
        """Remove the failure of a job that also fails on other workers."""
        record = self._records_by_id.get(instance)
        if record is not None:
            record.failed_jobs.discard(job)

    def is_available(self, instance: ids.InstanceId, now: float) -> bool:
        record = self._records_by_id.get(instance)
        return record is None or now >= record.blocked_until

    def is_on_probation(self, instance: ids.InstanceId) -> bool:
        """Return whether the worker had no success since it was blocked."""
        record = self._records_by_id.get(instance)
        return record is not None and record.block_count > 0

"""Calls that list, show and cancel jobs for operators."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from verbenastream.connection import peers
from verbenastream import ids
from verbenastream.process import clock
from verbenastream.process.jobqueue import errors
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import reasons

if TYPE_CHECKING:
    from verbenastream.process.node import directory as directories
    from verbenastream.process.node import service as services

JOBS_PATH = '/v1/node/jobs'

_MAX_ROWS = 1000


class JobAction(enum.Enum):
    """The operation of a job request."""

    LIST = 'list'
    SHOW = 'show'
    CANCEL = 'cancel'


class JobRequest(msgspec.Struct, frozen=True):
    """Lists the jobs of one or all queues, or shows or cancels one job."""

    action: JobAction
    job: ids.JobId = ids.JobId('')
    queue: ids.QueueId = ids.QueueId('')


class JobRow(msgspec.Struct, frozen=True):
    """Summary of one job; ``age_s`` is the time since its submission."""

    id: ids.JobId
    queue: ids.QueueId
    pool: ids.PoolId
    phase: model.JobPhase
    age_s: float
    tasks: int
    running: int
    done: int


class JobReply(msgspec.Struct, frozen=True):
    """Jobs, the newest first; ``reasons`` says why tasks of one job wait.

    ``left_out`` is the number of jobs beyond the limit of one reply.
    """

    rows: tuple[JobRow, ...] = ()
    reasons: tuple[str, ...] = ()
    left_out: int = 0


class JobCalls:
    """Answers job requests at the leader; other nodes refer to the leader."""

    def __init__(
        self,
        service: services.JobService | None,
        directory: directories.Directory,
    ) -> None:
        self._service = service
        self._directory = directory

    async def answer(self, sender: str, request: JobRequest) -> JobReply:
        """Carry out ``request``.

        Raises ``NotLeaderError``, or ``ErrorStatusError`` if the outcome of a
        cancellation is unknown.
        """
        service = self._service
        if service is None or not service.leader.ready:
            raise peers.NotLeaderError(self._directory.leader)
        try:
            match request.action:
                case JobAction.LIST:
                    return self._list(service, request.queue)
                case JobAction.SHOW:
                    return self._show(service, request.job)
                case JobAction.CANCEL:
                    return await self._cancel(service, request.job)
        except errors.UnavailableError as error:
            raise peers.NotLeaderError(self._directory.leader) from error
        except errors.OutcomeUnknownError as error:
            raise peers.ErrorStatusError(504, error.message, error.remedy)

    def _list(
        self, service: services.JobService, queue: ids.QueueId
    ) -> JobReply:
        now = clock.unix_time()
        jobs = [
            job
            for job in service.state.jobs_by_id.values()
            if job.spec is not None and queue in ('', job.queue)
        ]
        jobs.sort(key=lambda job: -job.submitted_at)
        return JobReply(
            tuple(_row(job, now) for job in jobs[:_MAX_ROWS]),
            left_out=max(0, len(jobs) - _MAX_ROWS),
        )

    def _show(self, service: services.JobService, id: ids.JobId) -> JobReply:
        job = service.find_job(id)
        if job is None:
            return JobReply()
        now = clock.unix_time()
        texts = reasons.waiting_reasons(
            job, service.state, service.require_leader(), now
        )
        return JobReply((_row(job, now),), tuple(texts))

    async def _cancel(
        self, service: services.JobService, id: ids.JobId
    ) -> JobReply:
        job = service.find_job(id)
        if job is None:
            return JobReply()
        queue = service.state.queues_by_id.get(job.queue)
        if queue is not None:
            await service.cancel(id, queue)
        return self._show(service, id)


def _row(job: model.Job, now: float) -> JobRow:
    phases = [
        task.phase for steps in job.tasks for tasks in steps for task in tasks
    ]
    return JobRow(
        job.id,
        job.queue,
        job.pool,
        job.phase,
        round(now - job.submitted_at, 3),
        len(phases),
        phases.count(model.TaskPhase.RUNNING),
        phases.count(model.TaskPhase.DONE),
    )

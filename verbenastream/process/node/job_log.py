"""Logs and counts the starts and ends of runs at the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    from verbenastream import ids
    from verbenastream.process.jobqueue import commands
    from verbenastream.process.jobqueue import lost_workers
    from verbenastream.process.jobqueue import model
    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import workers
    from verbenastream.process import metrics

LOG = logbook.Logger(__name__)


class JobLog:
    """Writes one line for the runs of a worker that start or end together."""

    def __init__(
        self, state: states.JobQueueState, registry: metrics.Metrics
    ) -> None:
        self._state = state
        self._start_counter = registry.counter(
            'verbenastream_jobs_starts', 'Starts of tasks ordered.'
        )
        self._end_counter = registry.counter(
            'verbenastream_jobs_ends', 'Ends of runs by kind.', ('kind',)
        )
        self._loss_counter = registry.counter(
            'verbenastream_jobs_losses', 'Lost runs by reason.', ('reason',)
        )

    def record_orders(
        self, heartbeat: workers.Heartbeat, orders: workers.Orders
    ) -> None:
        """Record the starts and stops in the answer to a heartbeat."""
        self._start_counter.inc(len(orders.starts))
        if orders.starts:
            LOG.info(
                'tasks started',
                extra={
                    'worker': heartbeat.worker,
                    'beat': heartbeat.sequence,
                    'fence': orders.fence,
                    'runs': ' '.join(
                        _format_run(start.task, start.run)
                        for start in orders.starts
                    ),
                },
            )
        if orders.stops:
            LOG.info(
                'runs told to stop',
                extra={
                    'worker': heartbeat.worker,
                    'runs': ' '.join(
                        _format_run(key, run) for key, run in orders.stops
                    ),
                },
            )

    def record_ends(
        self,
        command: commands.EndRuns,
        worker: ids.WorkerId | None,
        reason: lost_workers.LossReason,
    ) -> None:
        """Record committed ends; ``reason`` is that of the lost runs."""
        for end in command.ends:
            self._end_counter.labels(end.kind.value).inc()
        if command.ends:
            LOG.info(
                'runs ended',
                extra={
                    'worker': worker,
                    'runs': ' '.join(
                        f'{_format_run(end.task, end.run)}:{end.kind.value}'
                        for end in command.ends
                    ),
                },
            )
        if command.lost:
            self._end_counter.labels('lost').inc(len(command.lost))
            self._loss_counter.labels(reason.value).inc(len(command.lost))
            LOG.warning(
                'runs lost',
                extra={
                    'worker': worker,
                    'reason': reason.value,
                    'runs': ' '.join(
                        _format_run(key, run) for key, run in command.lost
                    ),
                },
            )
        if command.crash is not None:
            self._record_crash(command.crash, worker)
        self._record_ended_jobs(command)

    def _record_crash(
        self, crash: commands.CrashReport, worker: ids.WorkerId | None
    ) -> None:
        """Log each suspect with the crashes that it has been in."""
        for key, run in crash.suspects:
            job = self._state.jobs_by_id.get(key.job)
            task = None if job is None else job.task(key)
            if task is None:
                continue
            LOG.warning(
                'task may have crashed its worker',
                extra={
                    'worker': worker,
                    'run': _format_run(key, run),
                    'crashes': task.crashes,
                    'suspected': task.suspected_crashes,
                    'isolated': task.isolated_crashes,
                    'phase': task.phase.value,
                },
            )

    def _record_ended_jobs(self, command: commands.EndRuns) -> None:
        """Log each job that ended with one of these runs."""
        keys = [end.task for end in command.ends]
        keys += [key for key, _ in command.lost]
        for job_id in dict.fromkeys(key.job for key in keys):
            job = self._state.jobs_by_id.get(job_id)
            if job is None or job.ended_at != command.at:
                continue
            LOG.info(
                'job ended',
                extra={
                    'job': job_id,
                    'queue': job.queue,
                    'phase': job.phase.value,
                    'took_s': round(job.ended_at - job.submitted_at, 3),
                },
            )


def _format_run(key: model.TaskKey, run: int) -> str:
    return f'{key.job}.{key.occurrence}.{key.step}.{key.position}/{run}'

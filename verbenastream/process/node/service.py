"""Serves the job queue at the leader."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import logbook

from verbenastream.connection import peers
from verbenastream import ids
from verbenastream.process import agreement
from verbenastream.process import background
from verbenastream.process import clock
from verbenastream.process.control import errors as control_errors
from verbenastream.process.control import leadership
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import dispatcher as dispatchers
from verbenastream.process.jobqueue import errors
from verbenastream.process.jobqueue import lost_workers
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import state as states
from verbenastream.process.jobqueue import workers
from verbenastream.process.node import job_log
from verbenastream.process.node import load_monitor

if TYPE_CHECKING:
    from verbenastream.process.control import replicas
    from verbenastream.process.jobqueue import instances
    from verbenastream.process import metrics
    from verbenastream.process.node import config as configs

LOG = logbook.Logger(__name__)

# A stalled disk must not block a caller until its deadline.
_COMMIT_TIMEOUT_S = 2.0
# Must fit into the second within which a worker accepts an answer.
_ORDER_COMMIT_TIMEOUT_S = 0.7
_EXPIRY_INTERVAL_S = 0.25
# Changes within this time are handled by one assignment.
_ASSIGN_DELAY_S = 0.004
# Most of the processor time that assignment passes may take; the rest is for
# the answers to heartbeats.
_MAX_ASSIGN_SHARE = 0.25


class JobService:
    """Handles submissions, queries, cancellations and heartbeats.

    Each call raises ``UnavailableError`` if this process does not lead, and
    ``OutcomeUnknownError`` if a command may still be committed::

        accepted = await service.submit(job_id, queue, spec)
    """

    def __init__(
        self,
        state: states.JobQueueState,
        replica: replicas.Replica,
        limits: configs.JobLimits,
        registry: metrics.Metrics,
    ) -> None:
        self.state = state
        self._replica = replica
        self._limits = dispatchers.Limits(
            lease_s=min(limits.max_hold_s, dispatchers.Limits().lease_s),
            heartbeat_interval_s=limits.heartbeat_interval_s,
            quiet_s=limits.quiet_s,
        )
        self.leader = leadership.Leadership(replica, self._create_dispatcher)
        self.dispatcher: dispatchers.Dispatcher | None = None
        self._wakeup_by_worker: dict[ids.WorkerId, asyncio.Event] = {}
        self._assign_timer: asyncio.TimerHandle | None = None
        self._next_assign_at = 0.0
        self.load_monitor = load_monitor.LoadMonitor()
        registry.gauge(
            'verbenastream_jobs_loop_lag_seconds',
            'By how much timers of the event loop are late, on average.',
        ).set_function(lambda: self.load_monitor.lag_s)
        self._tasks: list[asyncio.Task[None]] = []
        self._commit_latency = registry.latency(
            'verbenastream_jobs_commit_seconds', 'Time to commit a command.'
        )
        self._heartbeat_counter = registry.counter(
            'verbenastream_jobs_heartbeats',
            'Heartbeats of workers by verdict.',
            ('verdict',),
        )
        self._job_log = job_log.JobLog(state, registry)
        state.on_applied = self._on_applied

    def start(self) -> None:
        """Start the tasks that watch leadership and expire leases."""
        for name, start in (
            ('leadership', self.leader.run),
            ('lease expiry', self._expire_leases),
            ('load monitor', self.load_monitor.run),
        ):
            work = background.run_forever(name, start)
            self._tasks.append(asyncio.create_task(work))

    async def stop(self) -> None:
        """Cancel the background tasks and answer waiting heartbeats."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.answer_held_heartbeats()

    def answer_held_heartbeats(self) -> None:
        """Answer all held heartbeats at once, for instance before a stop."""
        for wakeup in self._wakeup_by_worker.values():
            wakeup.set()

    def _create_dispatcher(self) -> None:
        now = clock.boot_time()
        self.dispatcher = dispatchers.Dispatcher(
            self.state, self._limits, now, clock.unix_time() - now
        )

    def _on_applied(self, command: commands.Command) -> None:
        if self.dispatcher is not None:
            self.dispatcher.on_command_applied(command)
            self.schedule_assignment()

    @property
    def fencing_token(self) -> int:
        """The term of the log, which grows with each leader."""
        return int(self._replica.term)

    def require_leader(self) -> dispatchers.Dispatcher:
        """Return the dispatcher; raises ``UnavailableError`` without one."""
        if not self.leader.ready or self.dispatcher is None:
            raise errors.UnavailableError(
                'this node does not lead', 'Ask another node.'
            )
        return self.dispatcher

    async def propose(
        self, command: commands.Command, timeout_s: float = _COMMIT_TIMEOUT_S
    ) -> Any:
        """Return the result of the committed command.

        Raises ``UnavailableError`` if it was not accepted,
        ``TooLargeError`` if it never will be, and ``OutcomeUnknownError`` if
        it may still be committed.
        """
        self.require_leader()
        try:
            with self._commit_latency.time():
                return await asyncio.wait_for(
                    self._replica.propose(commands.encode(command)), timeout_s
                )
        except (peers.NotLeaderError, control_errors.NotReadyError) as error:
            raise errors.UnavailableError(
                error.message, 'Ask another node.'
            ) from error
        except agreement.CommandTooLargeError as error:
            raise errors.TooLargeError(error.message, error.remedy) from error
        except (agreement.OutcomeUnknownError, asyncio.TimeoutError) as error:
            raise errors.OutcomeUnknownError(
                'the command may not have reached a majority',
                'Repeat the call.',
            ) from error

    # Calls of clients.

    def find_queue(self, host: str, path: str) -> model.Queue:
        """Return the queue with the longest prefix of ``path``.

        Raises ``NoConfigurationError`` or ``NoQueueError``.
        """
        self.require_leader()
        configuration = self.state.configuration
        if configuration is None:
            raise errors.NoConfigurationError(
                'there is no configuration yet', 'Submit one.'
            )
        longest = None
        for queue in configuration.queues:
            if queue.host == host and path.startswith(queue.prefix):
                if longest is None or len(queue.prefix) > len(longest.prefix):
                    longest = queue
        if longest is None:
            raise errors.NoQueueError(
                f'no queue is configured at {host}{path[:80]}',
                'Check the address, or add the queue.',
            )
        return longest

    async def submit(
        self, job_id: ids.JobId, queue: model.Queue, spec: model.JobSpec
    ) -> states.CommandResult:
        """Store a job; repeated submissions of an id store one job.

        Raises ``NeverRunsError`` if no worker is large enough.
        """
        if job_id in self.state.jobs_by_id:
            self.require_leader()
            return states.CommandResult.KNOWN
        self.require_leader().check_size(queue.pool, spec)
        at = clock.unix_time()
        accepted = await self.propose(
            commands.Submit(job_id, queue.id, spec, at)
        )
        LOG.info(
            'job accepted',
            extra={
                'job': job_id,
                'queue': queue.id,
                'tasks': sum(step.count for step in spec.steps),
                'result': accepted.value,
                'term': self._replica.term,
            },
        )
        return accepted

    async def cancel(
        self, job_id: ids.JobId, queue: model.Queue
    ) -> states.CommandResult:
        """Cancel a job; ``UNKNOWN`` means that it will never run."""
        job = self.state.jobs_by_id.get(job_id)
        if job is not None and job.phase in model.ENDED_PHASES:
            self.require_leader()
            return states.CommandResult.KNOWN
        result = await self.propose(
            commands.Cancel(job_id, queue.id, clock.unix_time())
        )
        LOG.info(
            'job cancelled', extra={'job': job_id, 'result': result.value}
        )
        self._wake_workers_of(job_id)
        return result

    def _wake_workers_of(self, job_id: ids.JobId) -> None:
        for worker_id, runs in self.state.runs_by_worker.items():
            if any(key.job == job_id for key, _ in runs):
                self._wake_worker(worker_id)

    def find_job(self, job_id: ids.JobId) -> model.Job | None:
        """Return an accepted job; the state includes all answered calls."""
        self.require_leader()
        job = self.state.jobs_by_id.get(job_id)
        if job is None or job.spec is None:
            return None
        return job

    def waiting_count(self, queue: model.Queue) -> int:
        """Return how many jobs of ``queue`` have not begun."""
        self.require_leader()
        return sum(
            job.queue == queue.id and job.phase is model.JobPhase.QUEUED
            for job in self.state.open_jobs.values()
        )

    # Calls of operators.

    async def configure(self, configuration: model.Configuration) -> int:
        """Apply a validated configuration; return the version in force."""
        self.require_leader()
        current = self.state.configuration
        if current is not None and configuration.version <= current.version:
            return current.version
        version = await self.propose(
            commands.Configure(configuration, clock.unix_time())
        )
        LOG.info(
            'configuration in force',
            extra={
                'version': version,
                'sent': configuration.version,
                'queues': len(configuration.queues),
            },
        )
        return version

    def configuration(self) -> model.Configuration | None:
        """Return the configuration in force, None before the first."""
        self.require_leader()
        return self.state.configuration

    async def request_wave(self, command: commands.RequestWave) -> None:
        """Store a request for maintenance."""
        await self.propose(command)
        LOG.info(
            'maintenance requested',
            extra={
                'wave': command.wave,
                'instances': len(command.instances),
                'at_once': command.at_once,
                'deadline_s': command.deadline_s,
            },
        )

    # Calls of workers.

    async def answer_heartbeat(
        self, heartbeat: workers.Heartbeat
    ) -> workers.Orders | None:
        """Answer a heartbeat; None if a newer one has arrived."""
        dispatcher = self.require_leader()
        verdict = dispatcher.observe(heartbeat, clock.boot_time())
        self._heartbeat_counter.labels(verdict.value).inc()
        if verdict is dispatchers.HeartbeatStatus.STALE:
            return None
        try:
            return await self._commit_and_answer(dispatcher, heartbeat)
        except errors.OutcomeUnknownError as error:
            LOG.debug('heartbeat answered without orders: {}', error)
            return self._renew_lease(dispatcher, heartbeat)

    async def _commit_and_answer(
        self, dispatcher: dispatchers.Dispatcher, heartbeat: workers.Heartbeat
    ) -> workers.Orders | None:
        for ended in dispatcher.find_replaced_workers(heartbeat):
            reason = dispatcher.ended_workers.reason(ended)
            await self.remove_worker(ended, reason)
        await self._commit_report(dispatcher, heartbeat)
        if not dispatcher.is_newest(heartbeat):
            # The worker was removed or restarted during the commit.
            return None
        self.schedule_assignment()
        dispatcher.is_overloaded = self.load_monitor.is_overloaded
        delay_s = dispatcher.response_delay_s(heartbeat)
        if delay_s > 0.0:
            await self._wait_for_orders(dispatcher, heartbeat, delay_s)
        if not dispatcher.is_newest(heartbeat):
            return None
        return await self._make_orders(dispatcher, heartbeat)

    def _renew_lease(
        self, dispatcher: dispatchers.Dispatcher, heartbeat: workers.Heartbeat
    ) -> workers.Orders | None:
        """Answer a heartbeat whose commands may not be committed.

        The worker keeps its runs: a lease needs a leader, but no commit. Its
        ends stay unacknowledged and nothing is started.
        """
        if self.require_leader() is not dispatcher:
            return None
        if not dispatcher.is_newest(heartbeat):
            return None
        return dispatcher.build_orders(
            heartbeat, None, [], self._replica.term, clock.boot_time()
        )

    async def _commit_report(
        self, dispatcher: dispatchers.Dispatcher, heartbeat: workers.Heartbeat
    ) -> None:
        command = dispatcher.find_ended_runs(
            heartbeat, clock.boot_time(), clock.unix_time()
        )
        if command is not None:
            await self.propose(command, _ORDER_COMMIT_TIMEOUT_S)
            self._job_log.record_ends(
                command, heartbeat.worker, lost_workers.LossReason.UNLISTED
            )
        dispatcher.acknowledge(heartbeat)

    async def _wait_for_orders(
        self,
        dispatcher: dispatchers.Dispatcher,
        heartbeat: workers.Heartbeat,
        delay_s: float,
    ) -> None:
        wakeup = asyncio.Event()
        self._wakeup_by_worker[heartbeat.worker] = wakeup
        worker = dispatcher.workers_by_id[heartbeat.worker]
        worker.has_waiting_heartbeat = True
        try:
            await asyncio.wait_for(wakeup.wait(), delay_s)
        except asyncio.TimeoutError:
            pass
        finally:
            worker.has_waiting_heartbeat = False
            if self._wakeup_by_worker.get(heartbeat.worker) is wakeup:
                del self._wakeup_by_worker[heartbeat.worker]

    async def _make_orders(
        self, dispatcher: dispatchers.Dispatcher, heartbeat: workers.Heartbeat
    ) -> workers.Orders | None:
        start_command = dispatcher.build_start_command(
            heartbeat, clock.unix_time()
        )
        run_numbers: list[int] = []
        if start_command is not None:
            try:
                run_numbers = await self.propose(
                    start_command, _ORDER_COMMIT_TIMEOUT_S
                )
            finally:
                dispatcher.finish_starts(start_command)
        if self.require_leader() is not dispatcher:
            return None
        if not dispatcher.is_newest(heartbeat):
            return None
        orders = dispatcher.build_orders(
            heartbeat,
            start_command,
            run_numbers,
            self._replica.term,
            clock.boot_time(),
        )
        self._job_log.record_orders(heartbeat, orders)
        return orders

    def wake_workers_with_stops(self) -> None:
        """Answer the held heartbeats of workers that have runs to stop."""
        dispatcher = self.require_leader()
        for worker in dispatcher.workers_by_id.values():
            if worker.stops:
                self._wake_worker(worker.id)

    def stop_assigning_to(self, worker_id: ids.WorkerId) -> None:
        """Stop assigning tasks to a worker that shuts down.

        Its runs are not ended before its lease is over.
        """
        dispatcher = self.require_leader()
        LOG.info('worker shuts down', extra={'worker': worker_id})
        worker = dispatcher.workers_by_id.get(worker_id)
        if worker is not None:
            worker.shutdown_announced_at = clock.boot_time()
            dispatcher.scheduler.unassign_worker(worker)

    async def end_lost_workers(
        self,
        listing: instances.Listing,
        previous: instances.Listing | None,
    ) -> None:
        """End the runs of workers that the latest lists show to have ended."""
        dispatcher = self.require_leader()
        ended = [
            worker
            for worker in dispatcher.workers_by_id.values()
            if lost_workers.has_ended(worker, listing, previous)
        ]
        # Each crash is judged by the others at the same moment.
        for worker in ended:
            if dispatcher.ended_workers.has_crashed(worker):
                dispatcher.ended_workers.record_crash(worker)
        for worker in ended:
            # It may have reported again during a commit here.
            if lost_workers.has_ended(worker, listing, previous):
                reason = dispatcher.ended_workers.reason(worker)
                await self.remove_worker(worker, reason)
                self.schedule_assignment()

    async def remove_worker(
        self, worker: workers.Worker, reason: lost_workers.LossReason
    ) -> None:
        """End the runs of a worker that has certainly ended."""
        dispatcher = self.require_leader()
        command = dispatcher.ended_workers.find_runs(
            worker, reason, clock.unix_time()
        )
        if command is not None:
            await self.propose(command)
            self._job_log.record_ends(command, worker.id, reason)
        dispatcher.remove_worker(worker)

    # Assignment of tasks and expiry of leases.

    def schedule_assignment(self) -> None:
        """Assign waiting tasks after a short delay that batches changes.

        A pass that took long is followed by a longer pause.
        """
        if self._assign_timer is None:
            loop = asyncio.get_running_loop()
            self._assign_timer = loop.call_at(
                max(loop.time() + _ASSIGN_DELAY_S, self._next_assign_at),
                self._on_assign_timer,
            )

    def _on_assign_timer(self) -> None:
        self._assign_timer = None
        if self.leader.ready and self.dispatcher is not None:
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            self._assign_tasks(self.dispatcher)
            ended_at = loop.time()
            pause_s = (ended_at - started_at) * (1 / _MAX_ASSIGN_SHARE - 1)
            self._next_assign_at = ended_at + pause_s
            if self.dispatcher.scheduler.is_unfinished:
                self.schedule_assignment()

    def _assign_tasks(self, dispatcher: dispatchers.Dispatcher) -> None:
        worker_ids = dispatcher.assign(clock.boot_time(), clock.unix_time())
        for worker_id in worker_ids:
            self._wake_worker(worker_id)

    def _wake_worker(self, worker_id: ids.WorkerId) -> None:
        wakeup = self._wakeup_by_worker.get(worker_id)
        if wakeup is not None:
            wakeup.set()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            dispatcher = self.dispatcher
            if dispatcher is None or not self.leader.ready:
                continue
            command = dispatcher.find_expired_runs(
                clock.boot_time(), clock.unix_time()
            )
            try:
                if command is not None:
                    await self.propose(command)
                    self._job_log.record_ends(
                        command, None, lost_workers.LossReason.LEASE_EXPIRED
                    )
            except errors.JobQueueError as error:
                LOG.warning('cannot record expired leases: {}', error)
            except Exception:
                # If this task ended, runs of lost workers would never end.
                LOG.exception('recording expired leases failed')
            self.schedule_assignment()

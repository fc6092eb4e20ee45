"""HTTP handlers for status, the burn report and platform notices."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import TYPE_CHECKING

from aiohttp import web

from verbenastream import ids
from verbenastream.process.control import messages
from verbenastream.process.control import operators
from verbenastream.process.control import planning_duty
from verbenastream.process import state as states
from verbenastream.version import fleet
from verbenastream.version import planning
from verbenastream import wire

if TYPE_CHECKING:
    from verbenastream.process.control import in_force
    from verbenastream.process.control import leadership
    from verbenastream.process.control import leases
    from verbenastream.process.control import log_clock
    from verbenastream.process.control import recording
    from verbenastream.process.control import replicas


class FleetApi:
    """Serves what the leader knows about entries, instances and pools."""

    def __init__(
        self,
        deployment: str,
        state: states.ControlState,
        replica: replicas.Replica,
        leader: leadership.Leadership,
        lease_table: leases.LeaseTable,
        tracker: in_force.InForceTracker,
        clock: log_clock.LogClock,
        planner: planning_duty.PlanningDuty,
        propose: Callable[[states.Command], Awaitable[Any]],
        merge_totals: Callable[[float, bool], Awaitable[None]],
        read_barrier: Callable[[], Awaitable[None]],
        trace: recording.TraceLog,
    ) -> None:
        self._trace = trace
        self._read_barrier = read_barrier
        self._merge_totals = merge_totals
        self._deployment = deployment
        self._state = state
        self._replica = replica
        self._leader = leader
        self._lease_table = lease_table
        self._tracker = tracker
        self._clock = clock
        self._planner = planner
        self._propose = propose

    def add_routes(self, app: web.Application) -> None:
        with_json_errors = operators.with_json_errors
        app.router.add_get('/v1/status', with_json_errors(self.status))
        app.router.add_get('/v1/report/burn', with_json_errors(self.burn))

    async def status(self, request: web.Request) -> web.StreamResponse:
        self._leader.require_ready()
        await self._read_barrier()
        now = asyncio.get_running_loop().time()
        view = self._state.view
        plan = self._planner.plan
        replica = self._replica.status()
        return operators.json_response(
            messages.Status(
                deployment=self._deployment,
                replica=messages.ReplicaSummary(
                    id=replica.name,
                    role=replica.role.value,
                    term=replica.term,
                    applied_index=replica.applied,
                    voters=replica.voters,
                    learners=replica.learners,
                    lag_by_name=replica.lag_by_name,
                ),
                view_index=view.index,
                entry_epoch=view.entry_epoch,
                entries=tuple(
                    messages.EntryStatus(
                        id=entry.id,
                        data_centre=entry.data_centre,
                        live=entry.live,
                        silent_s=round(
                            self._lease_table.seconds_since_renewal(
                                entry.id, now
                            ),
                            3,
                        ),
                        applied_index=self._lease_table.acknowledged_index(
                            entry
                        ),
                        lag=view.index
                        - self._lease_table.acknowledged_index(entry),
                    )
                    for _, entry in sorted(view.entries_by_id.items())
                ),
                pools=tuple(
                    self._pool_status(service, now)
                    for service in sorted(view.documents_by_service)
                ),
                instances_by_state=_count_by_state(
                    view.instances_by_id.values()
                ),
                open_claims=self._state.claims.open_count,
                notices=tuple(self._state.notices_by_id.values()),
                moves_suspended=None if plan is None else plan.suspended,
            )
        )

    async def burn(self, request: web.Request) -> web.StreamResponse:
        self._leader.require_ready()
        # Commits the totals that have arrived, so that the report has them.
        await self._merge_totals(asyncio.get_running_loop().time(), True)
        await self._read_barrier()
        return operators.json_response(
            planning_duty.burn_report(
                self._state,
                self._planner.plan,
                self._clock.now(),
                self._tracker.rollout_s,
            )
        )

    async def record_notice(self, sender: str, body: bytes) -> bytes:
        """Commit a platform notice.

        A notice with the same id replaces the earlier one and its times.
        """
        self._leader.require_ready()
        request = wire.decode(body, messages.NoticeRequest)
        log_time = self._clock.now()
        notice = planning.Notice(
            id=request.id,
            down_at=log_time + request.in_s,
            until=log_time + request.in_s + request.for_s,
            racks=request.racks,
            instances=request.instances,
        )
        await self._propose(states.RecordNotice(notice, log_time))
        self._trace.record_notice(notice, request.in_s)
        affected = tuple(
            record.id
            for record in self._state.view.instances_by_id.values()
            if notice.covers(record)
        )
        return wire.encode(messages.NoticeReply(request.id, affected))

    def _pool_status(
        self, service: ids.ServiceId, now: float
    ) -> messages.PoolStatus:
        record = self._state.documents.current(service)
        assert record is not None
        plan = self._planner.plan
        explanation = None
        if plan is not None:
            explanation = plan.explanations_by_pool.get(record.document.pool)
        return messages.PoolStatus(
            service=service,
            revision=record.revision,
            in_force=self._tracker.status(record, now).in_force,
            needed=record.document.instances,
            instances_by_state=_count_by_state(
                instance
                for instance in self._state.view.instances_by_id.values()
                if instance.pool == record.document.pool
            ),
            explanation=explanation,
        )


def _count_by_state(
    instances: Iterable[fleet.InstanceRecord],
) -> dict[str, int]:
    counts = collections.Counter(
        instance.state.value for instance in instances
    )
    return dict(sorted(counts.items()))

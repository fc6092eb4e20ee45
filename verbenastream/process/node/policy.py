"""Queries the policy service for waiting steps while this node leads."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

from verbenastream.process import clock
from verbenastream.process.jobqueue import errors

if TYPE_CHECKING:
    from verbenastream.process.jobqueue import permissions
    from verbenastream.process.node import service as services

LOG = logbook.Logger(__name__)

_BUSY_INTERVAL_S = 0.02
_IDLE_INTERVAL_S = 0.25


class PolicyPoller:
    """Sends one query at a time, because the service answers one at a time."""

    def __init__(
        self,
        service: services.JobService,
        policy: permissions.PolicyService,
    ) -> None:
        self._service = service
        self._policy = policy

    async def run(self) -> None:
        """Send queries until cancelled."""
        while True:
            try:
                queried = await self._query_once()
            except errors.JobQueueError:
                queried = False
            except Exception:
                # An error in one query must not prevent all later ones.
                LOG.exception('query of the policy service failed')
                queried = False
            await asyncio.sleep(
                _BUSY_INTERVAL_S if queried else _IDLE_INTERVAL_S
            )

    async def _query_once(self) -> bool:
        if not self._service.leader.ready:
            return False
        dispatcher = self._service.require_leader()
        scheduler = dispatcher.scheduler
        if not scheduler.has_policies():
            return False
        queried_at = clock.boot_time()
        query = scheduler.next_ticket_request(queried_at, clock.unix_time())
        if query is None:
            await asyncio.sleep(_BUSY_INTERVAL_S)
            return True
        tickets = None
        try:
            tickets = await self._policy.request_tickets(query)
        finally:
            # Without an answer the step would count as queried for ever.
            scheduler.record_answer(query, tickets, queried_at)
        LOG.info(
            'policy service queried',
            extra={
                'job': query.step.job,
                'step': query.step.step,
                'workers': len(query.workers),
                'allowed': None if tickets is None else len(tickets),
                'took_s': round(clock.boot_time() - queried_at, 3),
            },
        )
        self._service.schedule_assignment()
        return True

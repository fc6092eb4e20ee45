"""Asks the policy service about steps that wait, while this node leads."""

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

_BUSY_S = 0.02
_IDLE_S = 0.25


class PolicyDuty:
    """Keeps one question on its way: the service answers one at a time."""

    def __init__(
        self,
        service: services.JobService,
        policy: permissions.PolicyService,
    ) -> None:
        self._service = service
        self._policy = policy

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            try:
                asked = await self._ask_once()
            except errors.JobQueueError:
                asked = False
            except Exception:
                # A fault in one question must not end all later ones.
                LOG.exception('asking the policy service failed')
                asked = False
            await asyncio.sleep(_BUSY_S if asked else _IDLE_S)

    async def _ask_once(self) -> bool:
        if not self._service.leader.ready:
            return False
        dispatcher = self._service.require_leader()
        scheduler = dispatcher.scheduler
        if not scheduler.has_policies():
            return False
        asked_at = clock.boot_time()
        question = scheduler.next_question(asked_at, clock.unix_time())
        if question is None:
            await asyncio.sleep(_BUSY_S)
            return True
        tickets = await self._policy.ask(question)
        scheduler.note_answer(question, tickets, asked_at)
        LOG.info(
            'policy asked',
            extra={
                'job': question.step.job,
                'step': question.step.step,
                'workers': len(question.workers),
                'allowed': None if tickets is None else len(tickets),
                'took_s': round(clock.boot_time() - asked_at, 3),
            },
        )
        self._service.assign_soon()
        return True

"""Cache of the decisions of a policy service about steps and workers.

A policy service decides which workers may run a step. It is slow and handles
one call at a time, so the leader calls it ahead of assignment: for the most
urgent step first, and about the workers with the most free cores.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple
from typing import Protocol
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import model

if TYPE_CHECKING:
    from verbenastream.process.jobqueue import workers

# Limits the number of workers per call so that a call takes no longer.
_MAX_CALL_S = 0.5
_MIN_WORKERS = 3
_MAX_WORKERS = 100
# A ticket must remain valid until the start order reaches the worker.
_MIN_VALIDITY_S = 1.2
# Time between two calls about the same step.
_RETRY_INTERVAL_S = 1.0


class StepKey(NamedTuple):
    """Identifies one step of one occurrence of a job."""

    job: ids.JobId
    occurrence: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class TicketRequest:
    """Asks a policy service which of ``workers`` may run ``step``.

    The tickets in the answer are valid for ``valid_s``.
    """

    step: StepKey
    workers: tuple[ids.WorkerId, ...]
    valid_s: float


class PolicyService(Protocol):
    """Issues tickets; an answer for a step and a worker is final."""

    async def request_tickets(
        self, request: TicketRequest
    ) -> dict[ids.WorkerId, str] | None:
        """Return tickets of the permitted workers, None without an answer."""
        ...


@dataclasses.dataclass(slots=True)
class _Answers:
    """Answers about one step: tickets with their expiry, and refusals."""

    tickets_by_worker: dict[ids.WorkerId, tuple[str, float]]
    refused_workers: set[ids.WorkerId]
    asked_at: float


class Permissions:
    """Stores tickets by step and worker until they expire.

    ::

        timings = queue.policy_timings
        request = permissions.next_request(step, timings, candidates, ...)
        permissions.record_answer(request, tickets, asked_at)
        ticket = permissions.ticket(step, worker, now)
    """

    def __init__(self) -> None:
        self._answers_by_step: dict[StepKey, _Answers] = {}
        self._pending_steps: set[StepKey] = set()

    def ticket(
        self, step: StepKey, worker: ids.WorkerId, now: float
    ) -> str | None:
        """Return a ticket that is valid long enough to be used, else None."""
        answers = self._answers_by_step.get(step)
        if answers is None:
            return None
        ticket_and_expiry = answers.tickets_by_worker.get(worker)
        if (
            ticket_and_expiry is None
            or ticket_and_expiry[1] < now + _MIN_VALIDITY_S
        ):
            return None
        return ticket_and_expiry[0]

    def next_request(
        self,
        step: StepKey,
        timings: model.PolicyTimings,
        candidates: list[workers.Worker],
        free_by_worker: dict[ids.WorkerId, model.Resources],
        need: model.Resources,
        now: float,
    ) -> TicketRequest | None:
        """Return the next request about ``step``, None if there is none."""
        if step in self._pending_steps:
            return None
        answers = self._answers_by_step.get(step)
        if answers is not None and now < answers.asked_at + _RETRY_INTERVAL_S:
            return None
        eligible = [
            worker
            for worker in candidates
            if capacity.fits(need, free_by_worker[worker.id])
            and (answers is None or worker.id not in answers.refused_workers)
            and self.ticket(step, worker.id, now) is None
        ]
        if not eligible:
            return None
        eligible.sort(key=lambda worker: -free_by_worker[worker.id].millicores)
        selected = eligible[: _workers_per_call(timings)]
        self._pending_steps.add(step)
        return TicketRequest(
            step, tuple(worker.id for worker in selected), timings.valid_s
        )

    def record_answer(
        self,
        request: TicketRequest,
        tickets: dict[ids.WorkerId, str] | None,
        asked_at: float,
    ) -> None:
        """Store the answer to ``request``, None if the call failed."""
        self._pending_steps.discard(request.step)
        answers = self._answers_by_step.setdefault(
            request.step, _Answers({}, set(), asked_at)
        )
        answers.asked_at = asked_at
        if tickets is None:
            return
        for worker in request.workers:
            ticket = tickets.get(worker)
            if ticket is None:
                answers.refused_workers.add(worker)
            else:
                valid_until = asked_at + request.valid_s
                answers.tickets_by_worker[worker] = (ticket, valid_until)

    def remove_tickets(self, worker: ids.WorkerId) -> None:
        """Remove the tickets of a worker; they end with its incarnation."""
        for answers in self._answers_by_step.values():
            answers.tickets_by_worker.pop(worker, None)

    def remove_job(self, job: ids.JobId) -> None:
        """Remove the answers about an ended job."""
        for step in [key for key in self._answers_by_step if key.job == job]:
            del self._answers_by_step[step]


def _workers_per_call(timings: model.PolicyTimings) -> int:
    left_s = _MAX_CALL_S - timings.decide_s
    count = (
        int(left_s / timings.each_s) if timings.each_s > 0 else _MAX_WORKERS
    )
    return max(_MIN_WORKERS, min(_MAX_WORKERS, count))

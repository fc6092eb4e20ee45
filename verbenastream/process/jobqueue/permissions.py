"""Which workers a queue's policy lets run a step, as far as it is known.

A policy service answers slowly and one call at a time, so the leader asks
ahead: for the most urgent step first, about the workers with the most room.
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

# A call should not take longer than this; fewer workers are named instead.
_CALL_S = 0.5
_MIN_WORKERS = 3
_MAX_WORKERS = 100
# A permission must outlast the way of an order to the worker.
_LEFT_S = 1.2
# A step that no worker may run is asked about again after this long.
_ASK_AGAIN_S = 1.0


class StepKey(NamedTuple):
    """Names one step of one occurrence of a job."""

    job: ids.JobId
    occurrence: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """Asks which of ``workers`` may run ``step``."""

    step: StepKey
    workers: tuple[ids.WorkerId, ...]
    valid_s: float


class PolicyService(Protocol):
    """Answers questions; the answer for a step and a worker is final."""

    async def ask(self, question: Question) -> dict[ids.WorkerId, str] | None:
        """Return tickets by worker, None if there was no answer."""
        ...


@dataclasses.dataclass(slots=True)
class _Known:
    tickets_by_worker: dict[ids.WorkerId, tuple[str, float]]
    refused: set[ids.WorkerId]
    asked_at: float


class Permissions:
    """Tickets by step and worker, with the time they are valid until.

    ::

        question = permissions.question(step, queue.advice, candidates, ...)
        permissions.note(question, tickets, asked_at)
        ticket = permissions.ticket(step, worker, now)
    """

    def __init__(self) -> None:
        self._known_by_step: dict[StepKey, _Known] = {}
        self._being_asked: set[StepKey] = set()

    def ticket(
        self, step: StepKey, worker: ids.WorkerId, now: float
    ) -> str | None:
        """Return a ticket that is valid long enough, None without one."""
        known = self._known_by_step.get(step)
        if known is None:
            return None
        found = known.tickets_by_worker.get(worker)
        if found is None or found[1] < now + _LEFT_S:
            return None
        return found[0]

    def question(
        self,
        step: StepKey,
        advice: model.Advice,
        candidates: list[workers.Worker],
        room_of: dict[ids.WorkerId, model.Need],
        need: model.Need,
        now: float,
    ) -> Question | None:
        """Return what to ask about ``step`` now, None for nothing."""
        if step in self._being_asked:
            return None
        known = self._known_by_step.get(step)
        if known is not None and now < known.asked_at + _ASK_AGAIN_S:
            return None
        able = [
            worker
            for worker in candidates
            if capacity.fits(need, room_of[worker.id])
            and (known is None or worker.id not in known.refused)
            and self.ticket(step, worker.id, now) is None
        ]
        if not able:
            return None
        able.sort(key=lambda worker: -room_of[worker.id].millicores)
        named = able[: _workers_per_call(advice)]
        self._being_asked.add(step)
        return Question(
            step, tuple(worker.id for worker in named), advice.valid_s
        )

    def note(
        self,
        question: Question,
        tickets: dict[ids.WorkerId, str] | None,
        now: float,
    ) -> None:
        """Take over an answer that was asked for before ``now``."""
        self._being_asked.discard(question.step)
        known = self._known_by_step.setdefault(
            question.step, _Known({}, set(), now)
        )
        known.asked_at = now
        if tickets is None:
            return
        for worker in question.workers:
            ticket = tickets.get(worker)
            if ticket is None:
                known.refused.add(worker)
            else:
                until = now + question.valid_s
                known.tickets_by_worker[worker] = (ticket, until)

    def forget_job(self, job: ids.JobId) -> None:
        """Drop what is known of a job that is over."""
        for step in [key for key in self._known_by_step if key.job == job]:
            del self._known_by_step[step]


def _workers_per_call(advice: model.Advice) -> int:
    left_s = _CALL_S - advice.decide_s
    count = int(left_s / advice.each_s) if advice.each_s > 0 else _MAX_WORKERS
    return max(_MIN_WORKERS, min(_MAX_WORKERS, count))

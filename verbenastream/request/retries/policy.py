"""Whether and when a failed request is tried again."""

from __future__ import annotations

import dataclasses
import enum
import random
from typing import TYPE_CHECKING

from verbenastream.request import events

if TYPE_CHECKING:
    from verbenastream import ids

MAX_ATTEMPTS = 3
# A request that failed on two targets may itself be the cause.
MAX_FAILED_TARGETS = 2
_BASE_BACKOFF_S = 0.025
_MAX_BACKOFF_S = 1.0


class Refusal(enum.Enum):
    """Why a request gets no further attempt."""

    STARTED = 'the answer had already started'
    NOT_IDEMPOTENT = 'the work is not idempotent and bytes were sent'
    KEYED = 'keyed work is sent again only if no byte left'
    ATTEMPTS = 'the attempts are used up'
    TWO_TARGETS = 'the request failed on two targets'
    BUDGET = 'the retry budget is used up'
    DEADLINE = 'the deadline leaves no time for another attempt'


@dataclasses.dataclass(slots=True)
class History:
    """Attempts of one request so far."""

    attempts: int = 0
    bytes_sent: bool = False
    failed_targets: set[ids.InstanceId] = dataclasses.field(
        default_factory=set
    )


def refusal(
    request: events.RequestInfo,
    history: History,
    failure: events.AttemptFailed,
) -> Refusal | None:
    """Return why the request must not be tried again, or None.

    The budget and the deadline are checked by the caller afterwards.
    """
    if failure.answer_started:
        return Refusal.STARTED
    if request.key is not None:
        if history.bytes_sent:
            return Refusal.KEYED
    elif not request.idempotent:
        # One attempt, whatever the driver knows about the bytes.
        return Refusal.NOT_IDEMPOTENT
    if history.attempts >= MAX_ATTEMPTS:
        return Refusal.ATTEMPTS
    if len(history.failed_targets) >= MAX_FAILED_TARGETS:
        return Refusal.TWO_TARGETS
    return None


def backoff(
    attempts: int, retry_after_s: float | None, rng: random.Random
) -> float:
    """Return the seconds to wait before the next attempt.

    Full jitter: uniform between zero and an exponentially growing bound, so
    that requests that failed together do not return together. A target's
    ``Retry-After`` is a lower bound.
    """
    bound = min(_MAX_BACKOFF_S, _BASE_BACKOFF_S * 2.0 ** (attempts - 1))
    return rng.uniform(0.0, bound) + (retry_after_s or 0.0)

"""Rules on whether and when a failed request is tried again."""

from __future__ import annotations

import dataclasses
import enum
import random
from typing import TYPE_CHECKING

from verbenastream.request import events

if TYPE_CHECKING:
    from verbenastream import ids

_MAX_ATTEMPTS = 3
# A request that failed on two targets may itself be the cause of the failures.
_MAX_FAILED_TARGETS = 2
_BASE_BACKOFF_S = 0.025
_MAX_BACKOFF_S = 1.0


class Refusal(enum.Enum):
    """Why a request gets no further attempt."""

    ANSWER_STARTED = 'the answer had already started'
    NOT_IDEMPOTENT = 'the work is not idempotent and bytes were sent'
    KEYED_AND_SENT = 'keyed work is sent again only if no byte left'
    ATTEMPTS_EXHAUSTED = 'the attempts are used up'
    TWO_TARGETS = 'the request failed on two targets'
    BUDGET_EXHAUSTED = 'the retry budget is used up'
    DEADLINE_TOO_CLOSE = 'the deadline leaves no time for another attempt'


@dataclasses.dataclass(slots=True)
class History:
    """Attempts of one request so far."""

    attempts: int = 0
    bytes_sent: bool = False
    failed_targets: set[ids.InstanceId] = dataclasses.field(
        default_factory=set
    )


def retry_refusal(
    request: events.RequestInfo,
    history: History,
    failure: events.AttemptFailed,
) -> Refusal | None:
    """Return why the request must not be tried again, or None.

    The budget and the deadline are checked by the caller afterwards.
    """
    if failure.answer_started:
        return Refusal.ANSWER_STARTED
    if request.key is not None:
        if history.bytes_sent:
            return Refusal.KEYED_AND_SENT
    elif not request.idempotent:
        # Never retried, even if the driver reports that no byte was sent.
        return Refusal.NOT_IDEMPOTENT
    if history.attempts >= _MAX_ATTEMPTS:
        return Refusal.ATTEMPTS_EXHAUSTED
    if len(history.failed_targets) >= _MAX_FAILED_TARGETS:
        return Refusal.TWO_TARGETS
    return None


def backoff(
    attempts: int, retry_after_s: float | None, rng: random.Random
) -> float:
    """Return the seconds to wait before the next attempt.

    The backoff has full jitter: it is uniform between zero and a bound that
    grows exponentially, so that requests that failed together are not retried
    together. It is added to the target's ``Retry-After``, if there is one.
    """
    max_backoff_s = min(
        _MAX_BACKOFF_S, _BASE_BACKOFF_S * 2.0 ** (attempts - 1)
    )
    return rng.uniform(0.0, max_backoff_s) + (retry_after_s or 0.0)

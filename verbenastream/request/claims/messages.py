"""Messages between an entry and the control leader about keyed requests."""

from __future__ import annotations

import enum

import msgspec

from verbenastream import ids


class Outcome(enum.Enum):
    """Whether a request ran; the value of ``Verbenastream-Outcome``."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class ClaimState(enum.Enum):
    """Reply to a claim.

    ``GRANTED`` is the only state under which the entry may send the request.
    """

    GRANTED = 'granted'
    IN_PROGRESS = 'in_progress'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    MISMATCH = 'mismatch'


class RecordedAnswer(msgspec.Struct, frozen=True):
    """An answer kept for repeated requests; ``body`` is None above 64 KiB."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body_sha256: str
    body: bytes | None


class Claim(msgspec.Struct, frozen=True):
    """Asks for the right to run one keyed request.

    ``digest`` is the SHA-256 of method, path and body as lower-case hex.
    ``request`` distinguishes a resend of the same claim from another request
    with the same key; without it a resend is answered as in progress.
    """

    customer: ids.CustomerId
    key: ids.IdempotencyKey
    digest: str
    service: ids.ServiceId
    entry: ids.EntryId
    incarnation: ids.Incarnation
    request: ids.RequestId = ids.RequestId('')


class ClaimOutcome(msgspec.Struct, frozen=True):
    """Ends a claim with the outcome of its request.

    ``RAN`` comes with the answer; ``NOT_RUN`` releases the key.
    """

    customer: ids.CustomerId
    key: ids.IdempotencyKey
    entry: ids.EntryId
    incarnation: ids.Incarnation
    outcome: Outcome
    answer: RecordedAnswer | None = None
    request: ids.RequestId = ids.RequestId('')


class ClaimBatch(msgspec.Struct, frozen=True):
    claims: tuple[Claim, ...] = ()
    outcomes: tuple[ClaimOutcome, ...] = ()


class ClaimReply(msgspec.Struct, frozen=True):
    state: ClaimState
    answer: RecordedAnswer | None = None


class ClaimBatchReply(msgspec.Struct, frozen=True):
    """Replies in the order of ``ClaimBatch.claims``."""

    replies: tuple[ClaimReply, ...]

"""Records of keyed requests and what a snapshot holds of them."""

from __future__ import annotations

import enum

import msgspec

from verbenastream import ids
from verbenastream.process.state import claim_archive
from verbenastream.request import claims

MAX_BODY_BYTES = 64 * 1024

CustomerKey = tuple[ids.CustomerId, ids.IdempotencyKey]


class RecordState(enum.Enum):
    CLAIMED = 'claimed'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    RELEASED = 'released'


class ClaimRecord(msgspec.Struct):
    """One keyed request; ``changed_at`` is the log time of the last change."""

    customer: ids.CustomerId
    key: ids.IdempotencyKey
    digest: str
    service: ids.ServiceId
    entry: ids.EntryId
    incarnation: ids.Incarnation
    request: ids.RequestId
    state: RecordState
    changed_at: float
    answer: claims.RecordedAnswer | None = None


class ClaimsImage(msgspec.Struct):
    """Snapshot of the claims, oldest change first."""

    open: list[ClaimRecord] = []
    finished: list[ClaimRecord] = []
    archive: tuple[claim_archive.Period, ...] = ()


def is_resend(claim: claims.Claim, found: ClaimRecord) -> bool:
    return (
        bool(claim.request)
        and claim.request == found.request
        and claim.entry == found.entry
        and claim.incarnation == found.incarnation
    )


def released(outcome: claims.ClaimOutcome, now: float) -> ClaimRecord:
    """Return the mark that stops a claim that arrives after its release."""
    return ClaimRecord(
        customer=outcome.customer,
        key=outcome.key,
        digest='',
        service=ids.ServiceId(''),
        entry=outcome.entry,
        incarnation=outcome.incarnation,
        request=outcome.request,
        state=RecordState.RELEASED,
        changed_at=now,
    )


def limit(
    answer: claims.RecordedAnswer | None,
) -> claims.RecordedAnswer | None:
    if (
        answer is None
        or answer.body is None
        or len(answer.body) <= MAX_BODY_BYTES
    ):
        return answer
    return msgspec.structs.replace(answer, body=None)


def body_bytes(record: ClaimRecord) -> int:
    if record.answer is None or record.answer.body is None:
        return 0
    return len(record.answer.body)

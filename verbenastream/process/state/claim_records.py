"""Records of keyed requests, and their part of a snapshot."""

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
    """State of a keyed request; ``changed_at`` is log time."""

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


class ClaimsSnapshot(msgspec.Struct):
    """Snapshot of all claims, each list with the oldest change first."""

    open: list[ClaimRecord] = []
    finished: list[ClaimRecord] = []
    archive: tuple[claim_archive.ArchivePeriod, ...] = ()


def is_resend(claim: claims.Claim, record: ClaimRecord) -> bool:
    """Whether ``claim`` is the message that made ``record``, sent again."""
    return (
        bool(claim.request)
        and claim.request == record.request
        and claim.entry == record.entry
        and claim.incarnation == record.incarnation
    )


def release_record(outcome: claims.ClaimOutcome, now: float) -> ClaimRecord:
    """Return a tombstone that rejects a claim arriving after its release."""
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


def without_large_body(
    answer: claims.RecordedAnswer | None,
) -> claims.RecordedAnswer | None:
    """Return ``answer`` without its body if the body is too large to keep."""
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

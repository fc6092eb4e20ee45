"""Claims of keyed requests, so that each runs at most once."""

from __future__ import annotations

import enum

import msgspec

from verbenastream import ids
from verbenastream.request import claims

# Callers may repeat a request for 24 h. The time of the log runs at most 10%
# fast while it follows the wall clock, which 27 h cover.
RETENTION_S = 27 * 3600.0
# Late duplicates of a claim message arrive within seconds; the mark of a
# released claim is kept for ten minutes.
_RELEASED_RETENTION_S = 600.0
MAX_BODY_BYTES = 64 * 1024
# Bodies are dropped oldest first above this sum, so that the state stays
# within the 128 MB of a control process. Status and digest remain.
MAX_BODIES_BYTES = 32 * 2**20
# About 300 bytes each. New claims are refused above it, since forgetting a
# claim within its retention could run a request twice.
MAX_CLAIMS = 100_000

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


class ClaimTable:
    """All claims, oldest change first."""

    def __init__(self, max_claims: int = MAX_CLAIMS) -> None:
        self.max_claims = max_claims
        self.claims_by_key: dict[CustomerKey, ClaimRecord] = {}
        self.bodies_bytes = 0
        # Open claims of each start of an entry, so that its end costs no
        # scan of the whole table. The inner dict is an ordered set.
        self._open_by_entry: dict[
            tuple[ids.EntryId, ids.Incarnation], dict[CustomerKey, None]
        ] = {}

    @property
    def full(self) -> bool:
        return len(self.claims_by_key) >= self.max_claims

    @property
    def open_count(self) -> int:
        return sum(len(keys) for keys in self._open_by_entry.values())

    def records(self) -> list[ClaimRecord]:
        """Return all records in the order that ``restore`` expects."""
        return list(self.claims_by_key.values())

    @classmethod
    def restore(cls, records: list[ClaimRecord]) -> ClaimTable:
        table = cls()
        for record in records:
            table._store(record)
        return table

    def claim(self, claim: claims.Claim, now: float) -> claims.ClaimReply:
        """Grant the claim or say what is known about its request."""
        found = self.claims_by_key.get((claim.customer, claim.key))
        if found is None:
            return self._grant(claim, now)
        if found.state is RecordState.RELEASED:
            if claim.request and claim.request == found.request:
                # A late duplicate of a claim that its entry gave up.
                return claims.ClaimReply(claims.ClaimState.UNKNOWN)
            return self._grant(claim, now)
        if found.digest != claim.digest or found.service != claim.service:
            return claims.ClaimReply(claims.ClaimState.MISMATCH)
        match found.state:
            case RecordState.CLAIMED if _is_resend(claim, found):
                return claims.ClaimReply(claims.ClaimState.GRANTED)
            case RecordState.CLAIMED:
                return claims.ClaimReply(claims.ClaimState.IN_PROGRESS)
            case RecordState.ANSWERED:
                return claims.ClaimReply(
                    claims.ClaimState.ANSWERED, found.answer
                )
        return claims.ClaimReply(claims.ClaimState.UNKNOWN)

    def end(self, outcome: claims.ClaimOutcome, now: float) -> None:
        """Record an outcome; only the start that claimed may give one."""
        found = self.claims_by_key.get((outcome.customer, outcome.key))
        if found is None:
            if outcome.outcome is claims.Outcome.NOT_RUN and outcome.request:
                self._store(_released(outcome, now))
            return
        if (found.entry, found.incarnation) != (
            outcome.entry,
            outcome.incarnation,
        ):
            return
        if outcome.request and outcome.request != found.request:
            return
        if found.state in (RecordState.ANSWERED, RecordState.RELEASED):
            return
        self._remove(found)
        found.changed_at = now
        match outcome.outcome:
            case claims.Outcome.RAN:
                found.state = RecordState.ANSWERED
                found.answer = _limit(outcome.answer)
            case claims.Outcome.NOT_RUN:
                found.state = RecordState.RELEASED
            case claims.Outcome.UNKNOWN:
                found.state = RecordState.UNKNOWN
        self._store(found)
        self._drop_bodies()

    def end_entry(
        self, entry: ids.EntryId, incarnation: ids.Incarnation, now: float
    ) -> int:
        """Make the open claims of one start unknown; return their count."""
        keys = list(self._open_by_entry.get((entry, incarnation), ()))
        for key in keys:
            found = self.claims_by_key[key]
            self._remove(found)
            found.state = RecordState.UNKNOWN
            found.changed_at = now
            self._store(found)
        return len(keys)

    def expire(self, now: float) -> None:
        """Forget records whose retention has passed; open claims stay."""
        expired = []
        for record in self.claims_by_key.values():
            age_s = now - record.changed_at
            if age_s < _RELEASED_RETENTION_S:
                break
            match record.state:
                case RecordState.CLAIMED:
                    continue
                case RecordState.RELEASED:
                    expired.append(record)
                case _ if age_s >= RETENTION_S:
                    expired.append(record)
        for record in expired:
            self._remove(record)

    def _grant(self, claim: claims.Claim, now: float) -> claims.ClaimReply:
        found = self.claims_by_key.get((claim.customer, claim.key))
        if found is not None:
            self._remove(found)
        self._store(
            ClaimRecord(
                customer=claim.customer,
                key=claim.key,
                digest=claim.digest,
                service=claim.service,
                entry=claim.entry,
                incarnation=claim.incarnation,
                request=claim.request,
                state=RecordState.CLAIMED,
                changed_at=now,
            )
        )
        return claims.ClaimReply(claims.ClaimState.GRANTED)

    def _store(self, record: ClaimRecord) -> None:
        key = (record.customer, record.key)
        self.claims_by_key[key] = record
        self.bodies_bytes += _body_bytes(record)
        if record.state is RecordState.CLAIMED:
            owner = (record.entry, record.incarnation)
            self._open_by_entry.setdefault(owner, {})[key] = None

    def _remove(self, record: ClaimRecord) -> None:
        key = (record.customer, record.key)
        del self.claims_by_key[key]
        self.bodies_bytes -= _body_bytes(record)
        owner = (record.entry, record.incarnation)
        open_keys = self._open_by_entry.get(owner)
        if open_keys is not None:
            open_keys.pop(key, None)
            if not open_keys:
                del self._open_by_entry[owner]

    def _drop_bodies(self) -> None:
        if self.bodies_bytes <= MAX_BODIES_BYTES:
            return
        for record in self.claims_by_key.values():
            if record.answer is not None and record.answer.body is not None:
                self.bodies_bytes -= _body_bytes(record)
                record.answer = msgspec.structs.replace(
                    record.answer, body=None
                )
                if self.bodies_bytes <= MAX_BODIES_BYTES:
                    return


def _is_resend(claim: claims.Claim, found: ClaimRecord) -> bool:
    return (
        bool(claim.request)
        and claim.request == found.request
        and claim.entry == found.entry
        and claim.incarnation == found.incarnation
    )


def _released(outcome: claims.ClaimOutcome, now: float) -> ClaimRecord:
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


def _limit(
    answer: claims.RecordedAnswer | None,
) -> claims.RecordedAnswer | None:
    if (
        answer is None
        or answer.body is None
        or len(answer.body) <= MAX_BODY_BYTES
    ):
        return answer
    return msgspec.structs.replace(answer, body=None)


def _body_bytes(record: ClaimRecord) -> int:
    if record.answer is None or record.answer.body is None:
        return 0
    return len(record.answer.body)

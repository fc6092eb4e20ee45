"""Claims of keyed requests, so that each runs at most once."""

from __future__ import annotations

import enum

import msgspec

from verbenastream import ids
from verbenastream.process.state import claim_archive
from verbenastream.request import claims

# Callers may repeat a request for 24 h. The time of the log runs at most 10%
# fast while it follows the wall clock, which 27 h cover.
RETENTION_S = 27 * 3600.0
# Late duplicates of a claim message arrive within seconds; the mark of a
# released claim is kept for ten minutes.
_RELEASED_RETENTION_S = 600.0
MAX_BODY_BYTES = 64 * 1024
# The bounds share the 128 MB of a control process, whose code takes 50 MB:
# 11 MB of recent records with 16 MiB of bodies, and 10 MB of archive, which
# the last snapshot holds once more.
MAX_RECENT = 8_192
MAX_BODIES_BYTES = 16 * 2**20
# Two claims per second over the retention. New claims are refused above it,
# since forgetting a claim within its retention could run a request twice.
MAX_CLAIMS = 200_000
_ARCHIVE_PERIOD_S = RETENTION_S / 3

_ARCHIVED_ANSWERED = 1
_ARCHIVED_UNKNOWN = 2

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


class ClaimTable:
    """All claims: open ones, recent finished ones, and the archive."""

    def __init__(self, max_claims: int = MAX_CLAIMS) -> None:
        self.max_claims = max_claims
        self.max_recent = MAX_RECENT
        self.open_by_key: dict[CustomerKey, ClaimRecord] = {}
        self.finished_by_key: dict[CustomerKey, ClaimRecord] = {}
        self.archive = claim_archive.ClaimArchive(
            _ARCHIVE_PERIOD_S, RETENTION_S
        )
        self.bodies_bytes = 0
        # Open claims of each start of an entry, so that its end costs no
        # scan of the whole table. The inner dict is an ordered set.
        self._open_by_entry: dict[
            tuple[ids.EntryId, ids.Incarnation], dict[CustomerKey, None]
        ] = {}

    @property
    def count(self) -> int:
        return (
            len(self.open_by_key)
            + len(self.finished_by_key)
            + self.archive.count
        )

    @property
    def open_count(self) -> int:
        return len(self.open_by_key)

    @property
    def full(self) -> bool:
        return self.count >= self.max_claims

    def image(self) -> ClaimsImage:
        return ClaimsImage(
            list(self.open_by_key.values()),
            list(self.finished_by_key.values()),
            self.archive.image(),
        )

    @classmethod
    def from_image(cls, image: ClaimsImage) -> ClaimTable:
        table = cls()
        for record in (*image.open, *image.finished):
            table._store(record)
        table.archive.restore(image.archive)
        return table

    def claim(self, claim: claims.Claim, now: float) -> claims.ClaimReply:
        """Grant the claim or say what is known about its request."""
        found = self._find((claim.customer, claim.key))
        if found is None:
            return self._reply_archived(claim) or self._grant(claim, now)
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
        found = self._find((outcome.customer, outcome.key))
        if found is None:
            self._mark_released(outcome, now)
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
        self._bound(now)

    def end_entry(
        self, entry: ids.EntryId, incarnation: ids.Incarnation, now: float
    ) -> int:
        """Make the open claims of one start unknown; return their count."""
        keys = list(self._open_by_entry.get((entry, incarnation), ()))
        for key in keys:
            found = self.open_by_key[key]
            self._remove(found)
            found.state = RecordState.UNKNOWN
            found.changed_at = now
            self._store(found)
        self._bound(now)
        return len(keys)

    def expire(self, now: float) -> None:
        """Forget records whose retention has passed; open claims stay."""
        expired = []
        for record in self.finished_by_key.values():
            age_s = now - record.changed_at
            if age_s < _RELEASED_RETENTION_S:
                break
            if record.state is RecordState.RELEASED or age_s >= RETENTION_S:
                expired.append(record)
        for record in expired:
            self._remove(record)
        self.archive.expire(now)

    def _mark_released(self, outcome: claims.ClaimOutcome, now: float) -> None:
        """Note a release that overtook its claim.

        An archived claim stays: the release is of a repeat that was never
        granted.
        """
        key = claim_archive.short_digest(outcome.customer, outcome.key)
        if (
            outcome.outcome is claims.Outcome.NOT_RUN
            and outcome.request
            and self.archive.find(key) is None
        ):
            self._store(_released(outcome, now))

    def _find(self, key: CustomerKey) -> ClaimRecord | None:
        return self.open_by_key.get(key) or self.finished_by_key.get(key)

    def _reply_archived(self, claim: claims.Claim) -> claims.ClaimReply | None:
        found = self.archive.find(
            claim_archive.short_digest(claim.customer, claim.key)
        )
        if found is None:
            return None
        digest = claim_archive.short_digest(claim.digest, claim.service)
        if found.digest != digest:
            return claims.ClaimReply(claims.ClaimState.MISMATCH)
        if found.state == _ARCHIVED_UNKNOWN:
            return claims.ClaimReply(claims.ClaimState.UNKNOWN)
        return claims.ClaimReply(
            claims.ClaimState.ANSWERED,
            claims.RecordedAnswer(found.status, (), '', None),
        )

    def _bound(self, now: float) -> None:
        """Archive the oldest finished claims, then drop bodies."""
        while len(self.finished_by_key) > self.max_recent:
            record = next(iter(self.finished_by_key.values()))
            self._remove(record)
            if record.state is not RecordState.RELEASED:
                self._archive(record, now)
        self._drop_bodies()

    def _archive(self, record: ClaimRecord, now: float) -> None:
        state = _ARCHIVED_UNKNOWN
        if record.state is RecordState.ANSWERED:
            state = _ARCHIVED_ANSWERED
        self.archive.put(
            claim_archive.short_digest(record.customer, record.key),
            claim_archive.Archived(
                claim_archive.short_digest(record.digest, record.service),
                0 if record.answer is None else record.answer.status,
                state,
            ),
            now,
        )

    def _grant(self, claim: claims.Claim, now: float) -> claims.ClaimReply:
        found = self._find((claim.customer, claim.key))
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
        if record.state is not RecordState.CLAIMED:
            self.finished_by_key[key] = record
            self.bodies_bytes += _body_bytes(record)
            return
        self.open_by_key[key] = record
        owner = (record.entry, record.incarnation)
        self._open_by_entry.setdefault(owner, {})[key] = None

    def _remove(self, record: ClaimRecord) -> None:
        key = (record.customer, record.key)
        if record.state is not RecordState.CLAIMED:
            del self.finished_by_key[key]
            self.bodies_bytes -= _body_bytes(record)
            return
        del self.open_by_key[key]
        owner = (record.entry, record.incarnation)
        open_keys = self._open_by_entry[owner]
        del open_keys[key]
        if not open_keys:
            del self._open_by_entry[owner]

    def _drop_bodies(self) -> None:
        if self.bodies_bytes <= MAX_BODIES_BYTES:
            return
        for record in self.finished_by_key.values():
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

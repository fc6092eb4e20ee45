"""Claims of keyed requests, so that each runs at most once."""

from __future__ import annotations

import msgspec

from verbenastream import ids
from verbenastream.process.state import claim_archive
from verbenastream.process.state import claim_records
from verbenastream.request import claims

# Callers may repeat a request for 24 h. Log time runs at most 10% fast while
# it follows the wall clock, which 27 h allow for.
RETENTION_S = 27 * 3600.0
# Late duplicates of a claim message arrive within seconds; the record of a
# released claim, which rejects them, is kept for ten minutes.
_RELEASED_RETENTION_S = 600.0
# Memory bounds. Of the 128 MB of a control process the code takes 50 MB, the
# recent records 11 MB, their bodies 16 MiB and the archive 10 MB, which the
# last snapshot holds a second time.
MAX_RECENT = 8_192
MAX_BODIES_BYTES = 16 * 2**20
# Two claims per second over the retention time. Above it new claims are
# refused, because a request could run twice if its claim were dropped early.
MAX_CLAIMS = 200_000
_ARCHIVE_PERIOD_S = RETENTION_S / 3

_ARCHIVED_ANSWERED = 1
_ARCHIVED_UNKNOWN = 2


class ClaimTable:
    """Open claims, recently finished claims, and the archive."""

    def __init__(self, max_claims: int = MAX_CLAIMS) -> None:
        self.max_claims = max_claims
        self.max_recent = MAX_RECENT
        self.open_by_key: dict[
            claim_records.CustomerKey, claim_records.ClaimRecord
        ] = {}
        self.finished_by_key: dict[
            claim_records.CustomerKey, claim_records.ClaimRecord
        ] = {}
        self.archive = claim_archive.ClaimArchive(
            _ARCHIVE_PERIOD_S, RETENTION_S
        )
        self.bodies_bytes = 0
        # Open claims of each incarnation of an entry, so that its end needs
        # no scan of the whole table. The inner dict is an ordered set.
        self._open_by_entry: dict[
            tuple[ids.EntryId, ids.Incarnation],
            dict[claim_records.CustomerKey, None],
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
    def is_full(self) -> bool:
        return self.count >= self.max_claims

    def snapshot(self) -> claim_records.ClaimsSnapshot:
        return claim_records.ClaimsSnapshot(
            list(self.open_by_key.values()),
            list(self.finished_by_key.values()),
            self.archive.snapshot(),
        )

    @classmethod
    def from_snapshot(
        cls, snapshot: claim_records.ClaimsSnapshot
    ) -> ClaimTable:
        table = cls()
        for record in (*snapshot.open, *snapshot.finished):
            table._store(record)
        table.archive.restore(snapshot.archive)
        return table

    def claim(self, claim: claims.Claim, now: float) -> claims.ClaimReply:
        """Grant the claim, or return the known state of its request."""
        record = self._find((claim.customer, claim.key))
        if record is None:
            return self._archived_reply(claim) or self._grant(claim, now)
        if record.state is claim_records.RecordState.RELEASED:
            if claim.request and claim.request == record.request:
                # A late duplicate of a claim that its entry has released.
                return claims.ClaimReply(claims.ClaimState.UNKNOWN)
            return self._grant(claim, now)
        if record.digest != claim.digest or record.service != claim.service:
            return claims.ClaimReply(claims.ClaimState.MISMATCH)
        match record.state:
            case claim_records.RecordState.CLAIMED if claim_records.is_resend(
                claim, record
            ):
                return claims.ClaimReply(claims.ClaimState.GRANTED)
            case claim_records.RecordState.CLAIMED:
                return claims.ClaimReply(claims.ClaimState.IN_PROGRESS)
            case claim_records.RecordState.ANSWERED:
                return claims.ClaimReply(
                    claims.ClaimState.ANSWERED, record.answer
                )
        return claims.ClaimReply(claims.ClaimState.UNKNOWN)

    def record_outcome(self, outcome: claims.ClaimOutcome, now: float) -> None:
        """Record an outcome, if it is from the incarnation that claimed."""
        record = self._find((outcome.customer, outcome.key))
        if record is None:
            self._store_release(outcome, now)
            return
        if (record.entry, record.incarnation) != (
            outcome.entry,
            outcome.incarnation,
        ):
            return
        if outcome.request and outcome.request != record.request:
            return
        if record.state in (
            claim_records.RecordState.ANSWERED,
            claim_records.RecordState.RELEASED,
        ):
            return
        self._remove(record)
        record.changed_at = now
        match outcome.outcome:
            case claims.Outcome.RAN:
                record.state = claim_records.RecordState.ANSWERED
                record.answer = claim_records.without_large_body(
                    outcome.answer
                )
            case claims.Outcome.NOT_RUN:
                record.state = claim_records.RecordState.RELEASED
            case claims.Outcome.UNKNOWN:
                record.state = claim_records.RecordState.UNKNOWN
        self._store(record)
        self._enforce_bounds(now)

    def mark_entry_claims_unknown(
        self, entry: ids.EntryId, incarnation: ids.Incarnation, now: float
    ) -> int:
        """Set the open claims of an incarnation to unknown; return a count."""
        keys = list(self._open_by_entry.get((entry, incarnation), ()))
        for key in keys:
            record = self.open_by_key[key]
            self._remove(record)
            record.state = claim_records.RecordState.UNKNOWN
            record.changed_at = now
            self._store(record)
        self._enforce_bounds(now)
        return len(keys)

    def expire(self, now: float) -> None:
        """Drop records whose retention has ended; open claims stay."""
        expired = []
        for record in self.finished_by_key.values():
            age_s = now - record.changed_at
            if age_s < _RELEASED_RETENTION_S:
                break
            if (
                record.state is claim_records.RecordState.RELEASED
                or age_s >= RETENTION_S
            ):
                expired.append(record)
        for record in expired:
            self._remove(record)
        self.archive.expire(now)

    def _store_release(self, outcome: claims.ClaimOutcome, now: float) -> None:
        """Store a release that arrived before its claim.

        An archived claim stays: the release then belongs to a repeated
        request whose claim was never granted.
        """
        key = claim_archive.short_digest(outcome.customer, outcome.key)
        if (
            outcome.outcome is claims.Outcome.NOT_RUN
            and outcome.request
            and self.archive.find(key) is None
        ):
            self._store(claim_records.release_record(outcome, now))

    def _find(
        self, key: claim_records.CustomerKey
    ) -> claim_records.ClaimRecord | None:
        return self.open_by_key.get(key) or self.finished_by_key.get(key)

    def _archived_reply(self, claim: claims.Claim) -> claims.ClaimReply | None:
        archived = self.archive.find(
            claim_archive.short_digest(claim.customer, claim.key)
        )
        if archived is None:
            return None
        digest = claim_archive.short_digest(claim.digest, claim.service)
        if archived.digest != digest:
            return claims.ClaimReply(claims.ClaimState.MISMATCH)
        if archived.state == _ARCHIVED_UNKNOWN:
            return claims.ClaimReply(claims.ClaimState.UNKNOWN)
        return claims.ClaimReply(
            claims.ClaimState.ANSWERED,
            claims.RecordedAnswer(archived.status, (), '', None),
        )

    def _enforce_bounds(self, now: float) -> None:
        """Archive the oldest finished claims and drop the oldest bodies."""
        while len(self.finished_by_key) > self.max_recent:
            record = next(iter(self.finished_by_key.values()))
            self._remove(record)
            if record.state is not claim_records.RecordState.RELEASED:
                self._archive(record, now)
        self._drop_bodies()

    def _archive(self, record: claim_records.ClaimRecord, now: float) -> None:
        state = _ARCHIVED_UNKNOWN
        if record.state is claim_records.RecordState.ANSWERED:
            state = _ARCHIVED_ANSWERED
        self.archive.put(
            claim_archive.short_digest(record.customer, record.key),
            claim_archive.ArchivedClaim(
                claim_archive.short_digest(record.digest, record.service),
                0 if record.answer is None else record.answer.status,
                state,
            ),
            now,
        )

    def _grant(self, claim: claims.Claim, now: float) -> claims.ClaimReply:
        record = self._find((claim.customer, claim.key))
        if record is not None:
            self._remove(record)
        self._store(
            claim_records.ClaimRecord(
                customer=claim.customer,
                key=claim.key,
                digest=claim.digest,
                service=claim.service,
                entry=claim.entry,
                incarnation=claim.incarnation,
                request=claim.request,
                state=claim_records.RecordState.CLAIMED,
                changed_at=now,
            )
        )
        return claims.ClaimReply(claims.ClaimState.GRANTED)

    def _store(self, record: claim_records.ClaimRecord) -> None:
        key = (record.customer, record.key)
        if record.state is not claim_records.RecordState.CLAIMED:
            self.finished_by_key[key] = record
            self.bodies_bytes += claim_records.body_bytes(record)
            return
        self.open_by_key[key] = record
        owner = (record.entry, record.incarnation)
        self._open_by_entry.setdefault(owner, {})[key] = None

    def _remove(self, record: claim_records.ClaimRecord) -> None:
        key = (record.customer, record.key)
        if record.state is not claim_records.RecordState.CLAIMED:
            del self.finished_by_key[key]
            self.bodies_bytes -= claim_records.body_bytes(record)
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
                self.bodies_bytes -= claim_records.body_bytes(record)
                record.answer = msgspec.structs.replace(
                    record.answer, body=None
                )
                if self.bodies_bytes <= MAX_BODIES_BYTES:
                    return

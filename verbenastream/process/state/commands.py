"""Commands of the replicated state and their results.

Every command carries ``at``, the time of the log in seconds: the leader
advances it by its monotonic clock, so a wall clock that jumps cannot expire a
record early. Applying a command reads no clock.
"""

from __future__ import annotations

import enum

import msgspec

from verbenastream import ids
from verbenastream.process.membership import messages
from verbenastream.process.reports import counters
from verbenastream.request import claims
from verbenastream.version.documents import differences
from verbenastream.version.documents import schema
from verbenastream.version import planning


class SubmitDocument(msgspec.Struct, frozen=True, tag='submit'):
    """Accepts a document if ``base_revision`` is the current revision.

    ``base_revision`` is 0 for a service without a document.
    ``submitted_at`` is wall-clock time, shown in the history only.
    """

    document: schema.Document
    base_revision: ids.Revision
    submission: ids.SubmissionId
    submitted_at: float
    at: float


class RegisterEntry(msgspec.Struct, frozen=True, tag='register_entry'):
    """Adds an entry or makes it live again, perhaps with a new start."""

    entry: messages.EntryRecord
    at: float


class EntryRef(msgspec.Struct, frozen=True):
    id: ids.EntryId
    incarnation: ids.Incarnation


class ExpireEntries(msgspec.Struct, frozen=True, tag='expire_entries'):
    """Ends the leases of entries; their open claims become unknown.

    With ``remove``, and if they were leaving, the entries also leave the
    registered set.
    """

    entries: tuple[EntryRef, ...]
    at: float
    remove: bool = False


class ApplyClaims(msgspec.Struct, frozen=True, tag='claims'):
    """Claim batches of several calls, applied in order."""

    batches: tuple[claims.ClaimBatch, ...]
    at: float


class AnnounceInstances(msgspec.Struct, frozen=True, tag='announce'):
    """Registers new instances and new starts of known ones."""

    announcements: tuple[messages.Announcement, ...]
    at: float


class ChangeInstances(msgspec.Struct, frozen=True, tag='transitions'):
    """Transitions of the planner, each under its expected epoch."""

    transitions: tuple[planning.Transition, ...]
    at: float


class RemoveInstances(msgspec.Struct, frozen=True, tag='remove_instances'):
    """Forgets lost instances that did not return."""

    instances: tuple[ids.InstanceId, ...]
    at: float


class RecordNotice(msgspec.Struct, frozen=True, tag='notice'):
    """Keeps a platform notice until its end; a resend replaces it."""

    notice: planning.Notice
    at: float


class MergeTotals(msgspec.Struct, frozen=True, tag='totals'):
    """Counts of requests of several entries, for the burn report."""

    totals: tuple[counters.EntryTotals, ...]
    at: float


Command = (
    SubmitDocument
    | RegisterEntry
    | ExpireEntries
    | ApplyClaims
    | AnnounceInstances
    | ChangeInstances
    | RemoveInstances
    | RecordNotice
    | MergeTotals
)


class Verdict(enum.Enum):
    """Result of a submission."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    REJECTED = 'rejected'
    REUSED = 'submission_id_reused'


class SubmitResult(msgspec.Struct, frozen=True):
    """The answer to a submission; a resend gets the same one.

    ``reasons`` say why the document can never be met, ``warnings`` what
    cannot be met now. A conflict carries the current revision in
    ``revision`` and the difference from its document to the submitted one.
    """

    verdict: Verdict
    service: ids.ServiceId
    revision: ids.Revision
    index: ids.LogIndex
    reasons: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()
    difference: tuple[differences.Difference, ...] = ()


class ClaimsResult(msgspec.Struct, frozen=True):
    """A reply for each batch; None where its claims were refused."""

    replies: tuple[claims.ClaimBatchReply | None, ...]


class TransitionVerdict(enum.Enum):
    DONE = 'done'
    UNKNOWN_INSTANCE = 'unknown_instance'
    STALE_EPOCH = 'stale_epoch'
    NOT_ALLOWED = 'not_allowed'


class TransitionsResult(msgspec.Struct, frozen=True):
    """A verdict for each transition, in order."""

    verdicts: tuple[TransitionVerdict, ...]

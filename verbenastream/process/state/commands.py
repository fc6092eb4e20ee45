"""Commands of the replicated state and their results.

Every command carries ``at``, the log time in seconds. The leader advances log
time by its monotonic clock, so that a jump of the wall clock cannot expire a
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
    ``submitted_at`` is wall-clock time and only shown in the history.
    """

    document: schema.Document
    base_revision: ids.Revision
    submission: ids.SubmissionId
    submitted_at: float
    at: float


class RegisterEntry(msgspec.Struct, frozen=True, tag='register_entry'):
    """Registers an entry or a new incarnation of it, and makes it live."""

    entry: messages.EntryRecord
    at: float


class EntryRef(msgspec.Struct, frozen=True):
    """Identifies one incarnation of an entry."""

    id: ids.EntryId
    incarnation: ids.Incarnation


class ExpireEntries(msgspec.Struct, frozen=True, tag='expire_entries'):
    """Ends the leases of entries; their open claims become unknown.

    Entries that are leaving are also unregistered; with ``remove`` all are.
    """

    entries: tuple[EntryRef, ...]
    at: float
    remove: bool = False


class ApplyClaims(msgspec.Struct, frozen=True, tag='claims'):
    """Applies the claim batches of several calls, in order."""

    batches: tuple[claims.ClaimBatch, ...]
    at: float


class AnnounceInstances(msgspec.Struct, frozen=True, tag='announce'):
    """Registers new instances and new incarnations of known ones."""

    announcements: tuple[messages.Announcement, ...]
    at: float


class ChangeInstances(msgspec.Struct, frozen=True, tag='transitions'):
    """Applies transitions of the planner if their expected epoch matches."""

    transitions: tuple[planning.Transition, ...]
    at: float


class RemoveInstances(msgspec.Struct, frozen=True, tag='remove_instances'):
    """Removes lost instances that did not return."""

    instances: tuple[ids.InstanceId, ...]
    at: float


class RecordNotice(msgspec.Struct, frozen=True, tag='notice'):
    """Stores a platform notice until it ends.

    A notice that is sent again replaces the stored one.
    """

    notice: planning.Notice
    at: float


class MergeTotals(msgspec.Struct, frozen=True, tag='totals'):
    """Adds request counts of several entries, for the burn report."""

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
    """Decision on a submission."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    REJECTED = 'rejected'
    REUSED = 'submission_id_reused'


class SubmitResult(msgspec.Struct, frozen=True):
    """The result of a submission; a repeated submission gets the same one.

    ``reasons`` say why the document can never be satisfied, ``warnings``
    what cannot be satisfied at present. A conflict has the current revision
    in ``revision``, and in ``difference`` the changes from its document to
    the submitted one.
    """

    verdict: Verdict
    service: ids.ServiceId
    revision: ids.Revision
    index: ids.LogIndex
    reasons: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()
    difference: tuple[differences.Difference, ...] = ()


class ClaimsResult(msgspec.Struct, frozen=True):
    """One reply per batch; None if the claims of the batch were refused."""

    replies: tuple[claims.ClaimBatchReply | None, ...]


class TransitionVerdict(enum.Enum):
    """Result of a transition."""

    DONE = 'done'
    UNKNOWN_INSTANCE = 'unknown_instance'
    STALE_EPOCH = 'stale_epoch'
    NOT_ALLOWED = 'not_allowed'


class TransitionsResult(msgspec.Struct, frozen=True):
    """One verdict per transition, in order."""

    verdicts: tuple[TransitionVerdict, ...]

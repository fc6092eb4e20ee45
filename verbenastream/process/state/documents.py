"""Documents, their history and the answers to submissions."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from verbenastream import ids
from verbenastream.process.state import commands
from verbenastream.version.documents import differences
from verbenastream.version.documents import fleet_checks
from verbenastream.version.documents import schema

# Old documents that stay readable, for each service.
HISTORY_LENGTH = 32
# An operator who lost the answer repeats the submission within days, not
# weeks; 970 changes a day stay under the count.
_SUBMISSION_RETENTION_S = 7 * 86_400.0
_MAX_SUBMISSIONS = 10_000


class RevisionRecord(msgspec.Struct, frozen=True):
    """One accepted version; ``index`` is its place in the log."""

    revision: ids.Revision
    index: ids.LogIndex
    submission: ids.SubmissionId
    submitted_at: float
    document: schema.Document


class SubmissionRecord(msgspec.Struct, frozen=True):
    submission: ids.SubmissionId
    document: schema.Document
    at: float
    result: commands.SubmitResult


class DocumentTable:
    """The accepted documents, newest last, and the submissions."""

    def __init__(self) -> None:
        self.history_by_service: dict[ids.ServiceId, list[RevisionRecord]] = {}
        self.submissions_by_id: dict[ids.SubmissionId, SubmissionRecord] = {}

    def current(self, service: ids.ServiceId) -> RevisionRecord | None:
        history = self.history_by_service.get(service)
        return history[-1] if history else None

    def submit(
        self,
        index: ids.LogIndex,
        command: commands.SubmitDocument,
        facts: Callable[[], fleet_checks.FleetFacts],
    ) -> commands.SubmitResult:
        """Accept or refuse a document; a resend gets the first answer."""
        service = ids.ServiceId(command.document.service)
        earlier = self.submissions_by_id.get(command.submission)
        if earlier is not None:
            if earlier.document == command.document:
                return earlier.result
            return commands.SubmitResult(
                commands.Verdict.REUSED,
                service,
                self._revision(service),
                index,
                reasons=(
                    f'submission id {command.submission} belongs to another '
                    'document; submit without the id to get a new one.',
                ),
            )
        result = self._decide(index, command, facts)
        self._remember(command, result)
        return result

    def _decide(
        self,
        index: ids.LogIndex,
        command: commands.SubmitDocument,
        facts: Callable[[], fleet_checks.FleetFacts],
    ) -> commands.SubmitResult:
        document = command.document
        service = ids.ServiceId(document.service)
        current = self.current(service)
        if command.base_revision != self._revision(service):
            return commands.SubmitResult(
                commands.Verdict.CONFLICT,
                service,
                self._revision(service),
                index,
                difference=(
                    ()
                    if current is None
                    else differences.difference(current.document, document)
                ),
            )
        findings = fleet_checks.check_against_fleet(document, facts())
        if findings.reasons:
            return commands.SubmitResult(
                commands.Verdict.REJECTED,
                service,
                self._revision(service),
                index,
                reasons=findings.reasons,
                warnings=findings.warnings,
            )
        revision = ids.Revision(command.base_revision + 1)
        self._accept(
            RevisionRecord(
                revision,
                index,
                command.submission,
                command.submitted_at,
                document,
            )
        )
        return commands.SubmitResult(
            commands.Verdict.ACCEPTED,
            service,
            revision,
            index,
            warnings=findings.warnings,
        )

    def _revision(self, service: ids.ServiceId) -> ids.Revision:
        current = self.current(service)
        return ids.Revision(0) if current is None else current.revision

    def _accept(self, record: RevisionRecord) -> None:
        service = ids.ServiceId(record.document.service)
        history = self.history_by_service.setdefault(service, [])
        history.append(record)
        del history[:-HISTORY_LENGTH]

    def _remember(
        self, command: commands.SubmitDocument, result: commands.SubmitResult
    ) -> None:
        self.submissions_by_id[command.submission] = SubmissionRecord(
            command.submission, command.document, command.at, result
        )
        while True:
            oldest = next(iter(self.submissions_by_id.values()))
            old = command.at - oldest.at > _SUBMISSION_RETENTION_S
            if not old and len(self.submissions_by_id) <= _MAX_SUBMISSIONS:
                return
            del self.submissions_by_id[oldest.submission]

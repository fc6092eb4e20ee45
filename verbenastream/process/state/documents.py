"""Documents, their history and the results of submissions."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from verbenastream import ids
from verbenastream.process.state import commands
from verbenastream.version.documents import differences
from verbenastream.version.documents import fleet_checks
from verbenastream.version.documents import schema

# Number of revisions kept for each service.
HISTORY_LENGTH = 32
# An operator who did not get the result repeats the submission within days,
# not weeks. At 970 changes a day the maximum count is not reached.
_SUBMISSION_RETENTION_S = 7 * 86_400.0
_MAX_SUBMISSIONS = 10_000


class RevisionRecord(msgspec.Struct, frozen=True):
    """An accepted revision of a document; ``index`` is its log index."""

    revision: ids.Revision
    index: ids.LogIndex
    submission: ids.SubmissionId
    submitted_at: float
    document: schema.Document


class SubmissionRecord(msgspec.Struct, frozen=True):
    """A submission and its result, for a submission that is repeated."""

    submission: ids.SubmissionId
    document: schema.Document
    at: float
    result: commands.SubmitResult


class DocumentTable:
    """Accepted documents, newest last, and recent submissions."""

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
        get_summary: Callable[[], fleet_checks.FleetSummary],
    ) -> commands.SubmitResult:
        """Decide on a submission; if repeated it gets the first result."""
        service = ids.ServiceId(command.document.service)
        previous = self.submissions_by_id.get(command.submission)
        if previous is not None:
            if previous.document == command.document:
                return previous.result
            return commands.SubmitResult(
                commands.Verdict.REUSED,
                service,
                self._current_revision(service),
                index,
                reasons=(
                    f'submission id {command.submission} belongs to another '
                    'document; submit without the id to get a new one.',
                ),
            )
        result = self._decide(index, command, get_summary)
        self._store_submission(command, result)
        return result

    def _decide(
        self,
        index: ids.LogIndex,
        command: commands.SubmitDocument,
        get_summary: Callable[[], fleet_checks.FleetSummary],
    ) -> commands.SubmitResult:
        document = command.document
        service = ids.ServiceId(document.service)
        current = self.current(service)
        if command.base_revision != self._current_revision(service):
            return commands.SubmitResult(
                commands.Verdict.CONFLICT,
                service,
                self._current_revision(service),
                index,
                difference=(
                    ()
                    if current is None
                    else differences.compare_documents(
                        current.document, document
                    )
                ),
            )
        findings = fleet_checks.check_against_fleet(document, get_summary())
        if findings.reasons:
            return commands.SubmitResult(
                commands.Verdict.REJECTED,
                service,
                self._current_revision(service),
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

    def _current_revision(self, service: ids.ServiceId) -> ids.Revision:
        current = self.current(service)
        return ids.Revision(0) if current is None else current.revision

    def _accept(self, record: RevisionRecord) -> None:
        service = ids.ServiceId(record.document.service)
        history = self.history_by_service.setdefault(service, [])
        history.append(record)
        del history[:-HISTORY_LENGTH]

    def _store_submission(
        self, command: commands.SubmitDocument, result: commands.SubmitResult
    ) -> None:
        self.submissions_by_id[command.submission] = SubmissionRecord(
            command.submission, command.document, command.at, result
        )
        while True:
            oldest = next(iter(self.submissions_by_id.values()))
            expired = command.at - oldest.at > _SUBMISSION_RETENTION_S
            if not expired and len(self.submissions_by_id) <= _MAX_SUBMISSIONS:
                return
            del self.submissions_by_id[oldest.submission]

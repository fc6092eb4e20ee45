"""How far each accepted revision has come."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.control import messages
from verbenastream.process.state import documents

if TYPE_CHECKING:
    from verbenastream.process.control import leases
    from verbenastream.process import metrics
    from verbenastream.process import state as states


@dataclasses.dataclass(slots=True)
class _Progress:
    """One accepted revision; ``in_force_s`` is None until in force."""

    revision: ids.Revision
    accepted_at: float
    in_force_s: float | None = None


class InForceTracker:
    """Follows the current revision of each service.

    A revision once in force stays so: an entry that joins later gets it
    before its first lease is of use.
    """

    def __init__(
        self,
        state: states.ControlState,
        book: leases.LeaseBook,
        registry: metrics.Metrics,
    ) -> None:
        self._state = state
        self._book = book
        self._latency = registry.latency(
            'verbenastream_document_in_force_seconds',
            'Time from the acceptance of a document until it is in force.',
        )
        self._progress_by_service: dict[ids.ServiceId, _Progress] = {}
        self._in_force_by_service: dict[ids.ServiceId, ids.Revision] = {}
        self.rollout_s: float | None = None

    def start(self) -> None:
        """Begin a term; what the earlier leader saw is not known."""
        self._progress_by_service.clear()
        self._in_force_by_service.clear()

    def update(self, now: float) -> None:
        """Note new revisions and those that came into force."""
        history_by_service = self._state.documents.history_by_service
        for service, history in history_by_service.items():
            current = history[-1]
            progress = self._progress_by_service.get(service)
            if progress is None or progress.revision != current.revision:
                progress = _Progress(current.revision, now)
                self._progress_by_service[service] = progress
            if progress.in_force_s is None:
                self._check(service, current, progress, now)

    def status(
        self, record: documents.RevisionRecord, now: float
    ) -> messages.InForce:
        """Return how far a revision has come, by the names of entries."""
        service = ids.ServiceId(record.document.service)
        found = self._book.acknowledgement(
            record.index, self._state.view.entries_by_id.values(), now
        )
        progress = self._progress_by_service.get(service)
        since = now if progress is None else progress.accepted_at
        in_force_revision = self._in_force_by_service.get(
            service, ids.Revision(0)
        )
        return messages.InForce(
            service=service,
            revision=record.revision,
            in_force=in_force_revision >= record.revision,
            in_force_revision=in_force_revision,
            acknowledged=found.acknowledged,
            lagging=tuple(
                messages.LaggingEntry(entry, round(now - since, 3))
                for entry in found.lagging
            ),
            absent=found.absent,
        )

    def _check(
        self,
        service: ids.ServiceId,
        current: documents.RevisionRecord,
        progress: _Progress,
        now: float,
    ) -> None:
        found = self._book.acknowledgement(
            current.index, self._state.view.entries_by_id.values(), now
        )
        if found.in_force:
            progress.in_force_s = now - progress.accepted_at
            self._in_force_by_service[service] = current.revision
            self.rollout_s = progress.in_force_s
            self._latency.record(progress.in_force_s)

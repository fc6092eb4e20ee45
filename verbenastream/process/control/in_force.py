"""Tracks when the accepted revisions come into force."""

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
    """Rollout of one accepted revision.

    ``in_force_s`` is the time from acceptance until it came into force, None
    until then.
    """

    revision: ids.Revision
    accepted_at: float
    in_force_s: float | None = None


class InForceTracker:
    """Tracks the current revision of each service.

    A revision that came into force stays in force: an entry that joins later
    receives it before it can use its first lease.
    """

    def __init__(
        self,
        state: states.ControlState,
        lease_table: leases.LeaseTable,
        registry: metrics.Metrics,
    ) -> None:
        self._state = state
        self._lease_table = lease_table
        self._latency = registry.latency(
            'verbenastream_document_in_force_seconds',
            'Time from the acceptance of a document until it is in force.',
        )
        self._progress_by_service: dict[ids.ServiceId, _Progress] = {}
        self._in_force_by_service: dict[ids.ServiceId, ids.Revision] = {}
        self.rollout_s: float | None = None

    def start(self) -> None:
        """Begin a term; what the previous leader observed is not known."""
        self._progress_by_service.clear()
        self._in_force_by_service.clear()

    def update(self, now: float) -> None:
        """Record new revisions and those that came into force."""
        history_by_service = self._state.documents.history_by_service
        for service, history in history_by_service.items():
            current = history[-1]
            progress = self._progress_by_service.get(service)
            if progress is None or progress.revision != current.revision:
                progress = _Progress(current.revision, now)
                self._progress_by_service[service] = progress
            if progress.in_force_s is None:
                self._check_in_force(service, current, progress, now)

    def status(
        self, record: documents.RevisionRecord, now: float
    ) -> messages.InForce:
        """Return which entries apply a revision and which do not yet."""
        service = ids.ServiceId(record.document.service)
        acknowledgement = self._lease_table.acknowledgement(
            record.index, self._state.view.entries_by_id.values(), now
        )
        progress = self._progress_by_service.get(service)
        accepted_at = now if progress is None else progress.accepted_at
        in_force_revision = self._in_force_by_service.get(
            service, ids.Revision(0)
        )
        return messages.InForce(
            service=service,
            revision=record.revision,
            in_force=in_force_revision >= record.revision,
            in_force_revision=in_force_revision,
            acknowledged=acknowledgement.acknowledged,
            lagging=tuple(
                messages.LaggingEntry(entry, round(now - accepted_at, 3))
                for entry in acknowledgement.lagging
            ),
            absent=acknowledgement.absent,
        )

    def _check_in_force(
        self,
        service: ids.ServiceId,
        current: documents.RevisionRecord,
        progress: _Progress,
        now: float,
    ) -> None:
        acknowledgement = self._lease_table.acknowledgement(
            current.index, self._state.view.entries_by_id.values(), now
        )
        if acknowledgement.in_force:
            progress.in_force_s = now - progress.accepted_at
            self._in_force_by_service[service] = current.revision
            self.rollout_s = progress.in_force_s
            self._latency.record(progress.in_force_s)

"""Snapshots of the replicated state."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from verbenastream import ids
from verbenastream.process.membership import messages
from verbenastream.process.reports import history
from verbenastream.process.state import claim_records
from verbenastream.process.state import claims as claim_tables
from verbenastream.process.state import documents as document_tables
from verbenastream.process.state import fleet_log as fleet_logs
from verbenastream.version import planning
from verbenastream import wire

if TYPE_CHECKING:
    from verbenastream.process.state import machine


class StateSnapshot(msgspec.Struct):
    """Content of a snapshot of ``ControlState``."""

    index: ids.LogIndex
    view_index: ids.LogIndex
    time: float
    claims_expired_at: float
    fleet_changed_at: float
    view: tuple[messages.ViewChange, ...]
    history: tuple[document_tables.RevisionRecord, ...]
    submissions: tuple[document_tables.SubmissionRecord, ...]
    claims: claim_records.ClaimsSnapshot
    notices: tuple[planning.Notice, ...]
    fleet_log: fleet_logs.FleetLogSnapshot
    burn: msgspec.Raw


def encode(state: machine.ControlState) -> bytes:
    """Return a snapshot of ``state`` for ``restore``."""
    revisions = [
        record
        for records in state.documents.history_by_service.values()
        for record in records
    ]
    return wire.encode(
        StateSnapshot(
            index=state.index,
            view_index=state.view.index,
            time=state.time,
            claims_expired_at=state.claims_expired_at,
            fleet_changed_at=state.fleet_changed_at,
            view=state.view.changes(),
            history=tuple(revisions),
            submissions=tuple(state.documents.submissions_by_id.values()),
            claims=state.claims.snapshot(),
            notices=tuple(state.notices_by_id.values()),
            fleet_log=state.fleet_log.snapshot(),
            burn=msgspec.Raw(state.burn.encode()),
        )
    )


def restore(state: machine.ControlState, data: bytes) -> None:
    """Fill an empty state from a snapshot."""
    snapshot = wire.decode(data, StateSnapshot)
    state.index = snapshot.index
    state.time = snapshot.time
    for change in snapshot.view:
        state.view.apply_change(change)
    state.view.index = snapshot.view_index
    state.clear_changes()
    for record in snapshot.history:
        service = ids.ServiceId(record.document.service)
        state.documents.history_by_service.setdefault(service, []).append(
            record
        )
    state.documents.submissions_by_id = {
        record.submission: record for record in snapshot.submissions
    }
    state.claims = claim_tables.ClaimTable.from_snapshot(snapshot.claims)
    state.notices_by_id = {notice.id: notice for notice in snapshot.notices}
    state.fleet_log = fleet_logs.FleetLog(snapshot.fleet_log)
    state.burn = history.BurnHistory.decode(bytes(snapshot.burn))
    state.claims_expired_at = snapshot.claims_expired_at
    state.fleet_changed_at = snapshot.fleet_changed_at

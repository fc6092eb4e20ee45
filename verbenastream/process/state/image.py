"""Snapshots of the replicated state."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from verbenastream import ids
from verbenastream.process.membership import messages
from verbenastream.process.reports import history
from verbenastream.process.state import claims as claim_tables
from verbenastream.process.state import documents as document_tables
from verbenastream.process.state import fleet_log as fleet_logs
from verbenastream.version import planning
from verbenastream import wire

if TYPE_CHECKING:
    from verbenastream.process.state import machine


class StateImage(msgspec.Struct):
    """Everything that a snapshot holds."""

    index: ids.LogIndex
    view_index: ids.LogIndex
    time: float
    claims_expired_at: float
    fleet_changed_at: float
    view: tuple[messages.ViewChange, ...]
    history: tuple[document_tables.RevisionRecord, ...]
    submissions: tuple[document_tables.SubmissionRecord, ...]
    claims: claim_tables.ClaimsImage
    notices: tuple[planning.Notice, ...]
    fleet_log: fleet_logs.FleetLogImage
    burn: msgspec.Raw


def encode(state: machine.ControlState) -> bytes:
    """Return everything that ``restore`` needs."""
    revisions = [
        record
        for records in state.documents.history_by_service.values()
        for record in records
    ]
    return wire.encode(
        StateImage(
            index=state.index,
            view_index=state.view.index,
            time=state.time,
            claims_expired_at=state.claims_expired_at,
            fleet_changed_at=state.fleet_changed_at,
            view=state.view.changes(),
            history=tuple(revisions),
            submissions=tuple(state.documents.submissions_by_id.values()),
            claims=state.claims.image(),
            notices=tuple(state.notices_by_id.values()),
            fleet_log=state.fleet_log.image(),
            burn=msgspec.Raw(state.burn.encode()),
        )
    )


def restore(state: machine.ControlState, data: bytes) -> None:
    """Fill an empty state from a snapshot."""
    image = wire.decode(data, StateImage)
    state.index = image.index
    state.time = image.time
    for change in image.view:
        state.view.apply_change(change)
    state.view.index = image.view_index
    state.forget_changes()
    for record in image.history:
        service = ids.ServiceId(record.document.service)
        state.documents.history_by_service.setdefault(service, []).append(
            record
        )
    state.documents.submissions_by_id = {
        record.submission: record for record in image.submissions
    }
    state.claims = claim_tables.ClaimTable.from_image(image.claims)
    state.notices_by_id = {notice.id: notice for notice in image.notices}
    state.fleet_log = fleet_logs.FleetLog(image.fleet_log)
    state.burn = history.BurnHistory.decode(bytes(image.burn))
    state.claims_expired_at = image.claims_expired_at
    state.fleet_changed_at = image.fleet_changed_at

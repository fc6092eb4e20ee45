"""Writes what the leader commits to the trace file of its process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.membership import messages
from verbenastream.process import traces
from verbenastream.version import fleet

if TYPE_CHECKING:
    from verbenastream.process.control import leadership
    from verbenastream.process import state as states
    from verbenastream.version import planning


class TraceLog:
    """Records changes of instances, submissions and platform notices.

    Only the leader records, so that no event is recorded twice.
    """

    def __init__(
        self,
        recorder: traces.TraceRecorder,
        state: states.ControlState,
        leader: leadership.Leadership,
    ) -> None:
        self._recorder = recorder
        self._state = state
        self._leader = leader
        self._recorded_index = ids.LogIndex(0)
        self._incarnations_by_id: dict[ids.InstanceId, ids.Incarnation] = {}

    def start(self) -> None:
        """Begin a term; the previous leader recorded the earlier changes."""
        self._recorded_index = self._state.view.index
        self._incarnations_by_id = {
            record.id: record.incarnation
            for record in self._state.view.instances_by_id.values()
        }

    def on_applied(self, _: ids.LogIndex) -> None:
        """Record the changes of instances since the last call."""
        if not self._recorder.active or not self._leader.ready:
            return
        index = self._state.view.index
        if index == self._recorded_index:
            return
        changes = self._state.changes_after(self._recorded_index)
        self._recorded_index = index
        for change in changes or ():
            if isinstance(change, messages.InstanceChanged):
                self._record_instance(change.instance)

    def record_submission(self, command: states.SubmitDocument) -> None:
        """Record a submission, whatever its verdict."""
        self._recorder.add(
            traces.Submission(
                self._recorder.now(),
                command.submission,
                command.base_revision,
                command.document,
            )
        )

    def record_notice(self, notice: planning.Notice, in_s: float) -> None:
        """Record a platform notice, one line for each failure domain."""
        now = self._recorder.now()
        domains = [
            (traces.Domain.RACK, f'{data_centre}/{rack}')
            for data_centre, rack in notice.racks
        ]
        domains.extend(
            (traces.Domain.INSTANCE, name) for name in notice.instances
        )
        for domain, name in domains:
            self._recorder.add(
                traces.Maintenance(
                    now,
                    domain,
                    name,
                    now + in_s,
                    notice.until - notice.down_at,
                )
            )

    def close(self) -> None:
        self._recorder.close()

    def _record_instance(self, record: fleet.InstanceRecord) -> None:
        now = self._recorder.now()
        if self._incarnations_by_id.get(record.id) != record.incarnation:
            self._incarnations_by_id[record.id] = record.incarnation
            self._recorder.add(
                traces.Announced(
                    now,
                    record.id,
                    record.incarnation,
                    record.data_centre,
                    record.rack,
                    record.resources,
                    record.slots,
                    record.connections,
                )
            )
        self._recorder.add(traces.InstanceChange(now, record))

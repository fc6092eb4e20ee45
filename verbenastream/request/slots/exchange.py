"""Schedule of the slot messages between an entry and the slot owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.request import actions
from verbenastream.request.slots import holder as holders
from verbenastream.request.slots import messages
from verbenastream.request.slots import owner as owners

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenastream import ids

# Urgent changes within this time are combined in one report.
_URGENT_INTERVAL_S = 0.002
_CHANGE_INTERVAL_S = 0.05
# Grants are valid for 2 s, so a grant survives the loss of one report.
# Reporting twice as often would cost an idle entry 12 KB/s more.
_HEARTBEAT_INTERVAL_S = 0.9
# Bound on the rounds of messages between the entry and its own owner.
_MAX_LOCAL_ROUNDS = 8


class Exchange:
    """Sends the reports and grants that are due.

    Messages between the entry's own holder and owner are applied at once and
    cause no action.
    """

    def __init__(
        self,
        entry: ids.EntryId,
        holder: holders.GrantHolder,
        owner: owners.SlotOwner,
        collect_demands: Callable[
            [ids.EntryId, float], tuple[messages.Demand, ...]
        ],
        accept_grants: Callable[[ids.EntryId, messages.Grants, float], None],
    ) -> None:
        self._entry = entry
        self._holder = holder
        self._owner = owner
        self._collect_demands = collect_demands
        self._accept_grants = accept_grants

    def receive(
        self, sender: ids.EntryId, message: object, now: float
    ) -> None:
        """Apply a message of another entry: a report or grants."""
        match message:
            case messages.Report():
                self._owner.receive(sender, message, now)
            case messages.Grants():
                self._accept_grants(sender, message, now)

    def run(self, now: float) -> list[actions.Action]:
        """Return the messages to other entries that are due now."""
        self._owner.sweep(now)
        outgoing: list[actions.Action] = []
        for _ in range(_MAX_LOCAL_ROUNDS):
            applied_locally = self._send_reports(outgoing, now)
            for entry, grants in self._owner.flush(now):
                if entry == self._entry:
                    applied_locally = True
                    self._accept_grants(entry, grants, now)
                else:
                    outgoing.append(actions.SendToPeer(entry, grants))
            if not applied_locally:
                break
        return outgoing

    def _send_reports(
        self, outgoing: list[actions.Action], now: float
    ) -> bool:
        """Add the reports that are due; returns whether one was local."""
        applied_locally = False
        for owner, channel in self._holder.channels_by_owner.items():
            if now < self._report_due_at(owner, channel):
                continue
            report = self._holder.report(
                owner, self._collect_demands(owner, now), now
            )
            if owner == self._entry:
                applied_locally = True
                self._owner.receive(owner, report, now)
            else:
                outgoing.append(actions.SendToPeer(owner, report))
        return applied_locally

    def _report_due_at(
        self, owner: ids.EntryId, channel: holders.Channel
    ) -> float:
        if channel.urgent:
            interval = 0.0 if owner == self._entry else _URGENT_INTERVAL_S
        elif channel.changed:
            interval = _CHANGE_INTERVAL_S
        else:
            interval = _HEARTBEAT_INTERVAL_S
        return channel.sent_at + interval

    def next_report_due(self) -> float | None:
        """Return when the next report is due, in seconds, or None."""
        earliest = None
        for owner, channel in self._holder.channels_by_owner.items():
            due = self._report_due_at(owner, channel)
            if earliest is None or due < earliest:
                earliest = due
        return earliest

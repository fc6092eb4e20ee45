"""Exchange of slot messages between this entry, its owners and itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.request import actions
from verbenastream.request.slots import holder as holders
from verbenastream.request.slots import messages
from verbenastream.request.slots import owner as owners

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenastream import ids

# Urgent changes that follow each other closely travel in one report.
_URGENT_GAP_S = 0.002
_CHANGED_GAP_S = 0.05
# Grants live for 2 s, so one report may be lost before one expires. Reports
# twice as often cost an idle entry 12 KB/s more.
_HEARTBEAT_S = 0.9
_MAX_LOCAL_ROUNDS = 8


class Exchange:
    """Decides which reports and answers are due.

    Messages of the entry to itself are applied at once and cause no action.
    """

    def __init__(
        self,
        entry: ids.EntryId,
        holder: holders.GrantHolder,
        owner: owners.SlotOwner,
        demands: Callable[[ids.EntryId, float], tuple[messages.Demand, ...]],
        accept: Callable[[ids.EntryId, messages.Grants, float], None],
    ) -> None:
        self._entry = entry
        self._holder = holder
        self._owner = owner
        self._demands = demands
        self._accept = accept

    def receive(
        self, sender: ids.EntryId, message: object, now: float
    ) -> None:
        """Apply a report or a message with grants."""
        match message:
            case messages.Report():
                self._owner.receive(sender, message, now)
            case messages.Grants():
                self._accept(sender, message, now)

    def run(self, now: float) -> list[actions.Action]:
        """Return the messages that are due now."""
        self._owner.sweep(now)
        sent: list[actions.Action] = []
        for _ in range(_MAX_LOCAL_ROUNDS):
            moved = self._report(sent, now)
            for entry, grants in self._owner.flush(now):
                if entry == self._entry:
                    moved = True
                    self._accept(entry, grants, now)
                else:
                    sent.append(actions.SendPeer(entry, grants))
            if not moved:
                break
        return sent

    def _report(self, sent: list[actions.Action], now: float) -> bool:
        moved = False
        for owner, channel in self._holder.channels_by_owner.items():
            if now < self._due(owner, channel):
                continue
            report = self._holder.report(owner, self._demands(owner, now), now)
            if owner == self._entry:
                moved = True
                self._owner.receive(owner, report, now)
            else:
                sent.append(actions.SendPeer(owner, report))
        return moved

    def _due(self, owner: ids.EntryId, channel: holders.Channel) -> float:
        if channel.urgent:
            gap = 0.0 if owner == self._entry else _URGENT_GAP_S
        elif channel.changed:
            gap = _CHANGED_GAP_S
        else:
            gap = _HEARTBEAT_S
        return channel.sent_at + gap

    def next_due(self) -> float | None:
        """Return when the next report is due, in seconds, or None."""
        earliest = None
        for owner, channel in self._holder.channels_by_owner.items():
            due = self._due(owner, channel)
            if earliest is None or due < earliest:
                earliest = due
        return earliest

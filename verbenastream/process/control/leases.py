"""Leases of entries and what they have acknowledged, as the leader knows."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

from verbenastream import ids
from verbenastream.process.membership import messages
from verbenastream.process.state import commands

# The clocks of an entry and of the leader may each drift by 1%.
DRIFT = 1.02


@dataclasses.dataclass(slots=True)
class _Renewal:
    incarnation: ids.Incarnation
    received_at: float
    acknowledged: ids.LogIndex


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Which registered entries apply an index.

    ``lagging`` holds the entries with a live lease that do not; ``absent``
    those whose lease is over. In force means that nobody lags and that a
    majority of the registered entries acknowledged.
    """

    in_force: bool
    acknowledged: tuple[ids.EntryId, ...]
    lagging: tuple[ids.EntryId, ...]
    absent: tuple[ids.EntryId, ...]


class LeaseBook:
    """Renewals since this process leads; all times are monotonic seconds.

    The previous leader may have given a lease up to the moment when this one
    took over, so no lease counts as over before a full lease has passed. It
    gave leases only to entries that the log has as live; the others need no
    wait.
    """

    def __init__(self, lease_s: float) -> None:
        self._guard_s = lease_s * DRIFT
        self._leads_since = 0.0
        self._live_at_start: frozenset[ids.EntryId] = frozenset()
        self._renewals_by_id: dict[ids.EntryId, _Renewal] = {}

    def start(
        self, now: float, entries: Iterable[messages.EntryRecord]
    ) -> None:
        """Begin a term with the entries that the log has at that time."""
        self._leads_since = now
        self._live_at_start = frozenset(
            entry.id for entry in entries if entry.live
        )
        self._renewals_by_id.clear()

    def renewed(
        self,
        entry: messages.EntryRecord,
        acknowledged: ids.LogIndex,
        now: float,
    ) -> None:
        """Record a renewal that arrived at ``now``.

        The lease that the reply gives counts from the time when the entry
        sent the request, so it ends before ``now`` plus the lease.
        """
        found = self._renewals_by_id.get(entry.id)
        if found is not None and found.incarnation == entry.incarnation:
            found.received_at = max(found.received_at, now)
            found.acknowledged = max(found.acknowledged, acknowledged)
        elif found is None or found.incarnation < entry.incarnation:
            self._renewals_by_id[entry.id] = _Renewal(
                entry.incarnation, now, acknowledged
            )

    def may_hold_lease(self, entry: messages.EntryRecord, now: float) -> bool:
        """Whether any start of the entry may still hold a lease."""
        if (
            entry.id in self._live_at_start
            and now < self._leads_since + self._guard_s
        ):
            return True
        found = self._renewals_by_id.get(entry.id)
        return found is not None and now < found.received_at + self._guard_s

    def silent_s(self, entry: ids.EntryId, now: float) -> float:
        """Return the seconds since the last renewal under this leader."""
        found = self._renewals_by_id.get(entry)
        return now - (
            self._leads_since if found is None else found.received_at
        )

    def acknowledged(self, entry: messages.EntryRecord) -> ids.LogIndex:
        found = self._renewals_by_id.get(entry.id)
        if found is None or found.incarnation != entry.incarnation:
            return ids.LogIndex(0)
        return found.acknowledged

    def expired(
        self, entries: Iterable[messages.EntryRecord], now: float
    ) -> tuple[commands.EntryRef, ...]:
        """Return the live entries whose lease is certainly over."""
        return tuple(
            commands.EntryRef(entry.id, entry.incarnation)
            for entry in entries
            if entry.live and not self.may_hold_lease(entry, now)
        )

    def acknowledgement(
        self,
        index: ids.LogIndex,
        entries: Iterable[messages.EntryRecord],
        now: float,
    ) -> Acknowledgement:
        """Return whether ``index`` is in force at the registered entries."""
        acknowledged = []
        lagging = []
        absent = []
        for entry in entries:
            if not self.may_hold_lease(entry, now):
                absent.append(entry.id)
            elif self.acknowledged(entry) >= index:
                acknowledged.append(entry.id)
            else:
                lagging.append(entry.id)
        total = len(acknowledged) + len(lagging) + len(absent)
        return Acknowledgement(
            in_force=not lagging and 2 * len(acknowledged) > total,
            acknowledged=tuple(acknowledged),
            lagging=tuple(lagging),
            absent=tuple(absent),
        )

"""Leases and acknowledged log indexes of entries, known to the leader."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

from verbenastream import ids
from verbenastream.process.membership import messages
from verbenastream.process.state import commands

# The clocks of an entry and of the leader may each drift by 1%.
_CLOCK_DRIFT_FACTOR = 1.02


@dataclasses.dataclass(slots=True)
class _Renewal:
    """The last renewal of an entry; ``acknowledged`` is its log index."""

    incarnation: ids.Incarnation
    received_at: float
    acknowledged: ids.LogIndex


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Which registered entries have applied the log up to an index.

    ``lagging`` are the entries that may hold a lease and have not applied it,
    ``absent`` those whose lease has expired. The index is ``in_force`` if no
    entry is lagging and a majority of the registered entries acknowledged it.
    """

    in_force: bool
    acknowledged: tuple[ids.EntryId, ...]
    lagging: tuple[ids.EntryId, ...]
    absent: tuple[ids.EntryId, ...]


class LeaseTable:
    """The last renewal of each entry since this process became leader.

    All times are in seconds of the monotonic clock. The previous leader may
    have granted leases until this one took over, so no lease counts as expired
    before a full lease has passed. It granted leases only to entries that are
    live in the log, so the others need no such wait.
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_with_drift_s = lease_s * _CLOCK_DRIFT_FACTOR
        self._term_started_at = 0.0
        self._live_at_start: frozenset[ids.EntryId] = frozenset()
        self._renewals_by_id: dict[ids.EntryId, _Renewal] = {}

    def start(
        self, now: float, entries: Iterable[messages.EntryRecord]
    ) -> None:
        """Begin a term of leadership with the entries in the log."""
        self._term_started_at = now
        self._live_at_start = frozenset(
            entry.id for entry in entries if entry.live
        )
        self._renewals_by_id.clear()

    def record_renewal(
        self,
        entry: messages.EntryRecord,
        acknowledged: ids.LogIndex,
        now: float,
    ) -> None:
        """Record a renewal that arrived at ``now``.

        The lease that the reply grants counts from the time when the entry
        sent the request, so it ends before ``now`` plus the lease.
        """
        renewal = self._renewals_by_id.get(entry.id)
        if renewal is not None and renewal.incarnation == entry.incarnation:
            renewal.received_at = max(renewal.received_at, now)
            renewal.acknowledged = max(renewal.acknowledged, acknowledged)
        elif renewal is None or renewal.incarnation < entry.incarnation:
            self._renewals_by_id[entry.id] = _Renewal(
                entry.incarnation, now, acknowledged
            )

    def may_hold_lease(self, entry: messages.EntryRecord, now: float) -> bool:
        """Whether any incarnation of the entry may still hold a lease."""
        if (
            entry.id in self._live_at_start
            and now < self._term_started_at + self._lease_with_drift_s
        ):
            return True
        renewal = self._renewals_by_id.get(entry.id)
        return (
            renewal is not None
            and now < renewal.received_at + self._lease_with_drift_s
        )

    def seconds_since_renewal(self, entry: ids.EntryId, now: float) -> float:
        """Return the seconds since the last renewal under this leader."""
        renewal = self._renewals_by_id.get(entry)
        return now - (
            self._term_started_at if renewal is None else renewal.received_at
        )

    def acknowledged_index(self, entry: messages.EntryRecord) -> ids.LogIndex:
        """Return the index that this incarnation acknowledged, 0 if none."""
        renewal = self._renewals_by_id.get(entry.id)
        if renewal is None or renewal.incarnation != entry.incarnation:
            return ids.LogIndex(0)
        return renewal.acknowledged

    def expired(
        self, entries: Iterable[messages.EntryRecord], now: float
    ) -> tuple[commands.EntryRef, ...]:
        """Return the live entries whose lease has certainly expired."""
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
        """Return which registered entries have acknowledged ``index``."""
        acknowledged = []
        lagging = []
        absent = []
        for entry in entries:
            if not self.may_hold_lease(entry, now):
                absent.append(entry.id)
            elif self.acknowledged_index(entry) >= index:
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

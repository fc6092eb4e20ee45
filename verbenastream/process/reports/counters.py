"""Counts of good and bad requests that each entry keeps since its start."""

from __future__ import annotations

import bisect
import collections
import enum

import msgspec

from verbenastream import ids

# Upper bounds in seconds of the buckets for the wait of short work; a factor
# of two between bounds keeps a quantile within a factor of two and a report
# under 200 bytes per service.
WAIT_BOUNDS_S = tuple(0.001 * 2**power for power in range(16))

# At 33 services and two seconds this is 3 KB/s per entry at most; an entry
# that is killed takes the counts of this time with it.
_SEND_INTERVAL_S = 2.0
# Control commits totals once per minute. An entry repeats what changed in the
# last two and a half minutes, so a leader that took over within a minute
# still learns everything that the previous one had not committed.
_REPEAT_S = 150.0


class Cause(enum.Enum):
    """What spent a part of the budget."""

    UNPLANNED = 'unplanned'
    MAINTENANCE = 'maintenance'
    MOVE = 'move'
    OVERLOAD = 'overload'


class BadCount(msgspec.Struct, frozen=True, omit_defaults=True):
    """Bad requests with one cause; ``instance`` if one target caused them."""

    cause: Cause
    count: int
    instance: ids.InstanceId | None = None


class ServiceTotals(msgspec.Struct, frozen=True, omit_defaults=True):
    """Requests of one service; ``short_waits`` counts by WAIT_BOUNDS_S."""

    service: ids.ServiceId
    good: int
    bad: tuple[BadCount, ...] = ()
    short_waits: tuple[int, ...] = ()

    @property
    def bad_count(self) -> int:
        return sum(bad.count for bad in self.bad)


class EntryTotals(msgspec.Struct, frozen=True):
    """Totals of one entry since its start.

    Totals instead of differences make a lost, late or repeated message
    harmless: the receiver subtracts what it has already counted.
    """

    entry: ids.EntryId
    incarnation: ids.Incarnation
    services: tuple[ServiceTotals, ...]


class _Service:
    def __init__(self) -> None:
        self.good = 0
        self.bad: collections.Counter[tuple[Cause, ids.InstanceId | None]] = (
            collections.Counter()
        )
        self.waits = [0] * (len(WAIT_BOUNDS_S) + 1)
        self.changed_at = 0.0

    def totals(self, service: ids.ServiceId) -> ServiceTotals:
        return ServiceTotals(
            service,
            self.good,
            tuple(
                BadCount(cause, count, instance)
                for (cause, instance), count in self.bad.items()
            ),
            tuple(self.waits) if any(self.waits) else (),
        )


class BurnCounters:
    """Counts the requests of one entry; times are monotonic seconds."""

    def __init__(
        self, entry: ids.EntryId, incarnation: ids.Incarnation
    ) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._services_by_id: dict[ids.ServiceId, _Service] = {}
        self._sent_at = float('-inf')

    def good(self, service: ids.ServiceId, now: float) -> None:
        self._changed(service, now).good += 1

    def bad(
        self,
        service: ids.ServiceId,
        cause: Cause,
        now: float,
        instance: ids.InstanceId | None = None,
    ) -> None:
        self._changed(service, now).bad[cause, instance] += 1

    def short_wait(
        self, service: ids.ServiceId, seconds: float, now: float
    ) -> None:
        """Count how long a request of the short lane waited for a slot."""
        bucket = bisect.bisect_left(WAIT_BOUNDS_S, seconds)
        self._changed(service, now).waits[bucket] += 1

    def due(self, now: float, at_once: bool = False) -> EntryTotals | None:
        """Return the totals to send now, or None between two reports."""
        if not at_once and now - self._sent_at < _SEND_INTERVAL_S:
            return None
        self._sent_at = now
        recent = tuple(
            found.totals(service)
            for service, found in self._services_by_id.items()
            if now - found.changed_at <= _REPEAT_S
        )
        if not recent:
            return None
        return EntryTotals(self._entry, self._incarnation, recent)

    def _changed(self, service: ids.ServiceId, now: float) -> _Service:
        found = self._services_by_id.get(service)
        if found is None:
            found = _Service()
            self._services_by_id[service] = found
        found.changed_at = now
        return found

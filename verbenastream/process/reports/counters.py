"""Counts the good and bad requests of an entry since its start."""

from __future__ import annotations

import bisect
import collections
import enum

import msgspec

from verbenastream import ids

# Upper bounds of the buckets for waits of short requests. Doubling bounds keep
# a quantile within a factor of two and a report under 200 bytes per service.
WAIT_BOUNDS_S = tuple(0.001 * 2**power for power in range(16))

# With 33 services this sends at most 3 KB/s per entry. An entry that is killed
# loses the counts since its last report.
_SEND_INTERVAL_S = 2.0
# Control commits totals once per minute. An entry repeats what changed in the
# last two and a half minutes, so a leader that takes over within a minute
# still receives everything that the previous one had not committed.
_REPEAT_PERIOD_S = 150.0


class Cause(enum.Enum):
    """Why a request was bad."""

    UNPLANNED = 'unplanned'
    MAINTENANCE = 'maintenance'
    MOVE = 'move'
    OVERLOAD = 'overload'


class BadCount(msgspec.Struct, frozen=True, omit_defaults=True):
    """Bad requests with one cause, of one ``instance`` if it caused them."""

    cause: Cause
    count: int
    instance: ids.InstanceId | None = None


class ServiceTotals(msgspec.Struct, frozen=True, omit_defaults=True):
    """Request counts of one service.

    ``short_waits`` has one count for each bucket of WAIT_BOUNDS_S and a last
    one for longer waits.
    """

    service: ids.ServiceId
    good: int
    bad: tuple[BadCount, ...] = ()
    short_waits: tuple[int, ...] = ()

    @property
    def bad_count(self) -> int:
        """Bad requests of all causes."""
        return sum(bad.count for bad in self.bad)


class EntryTotals(msgspec.Struct, frozen=True):
    """Totals of one entry since its start.

    Totals instead of differences make a lost, late or repeated message
    harmless: the receiver subtracts what it has already counted.
    """

    entry: ids.EntryId
    incarnation: ids.Incarnation
    services: tuple[ServiceTotals, ...]


class _ServiceCounts:
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
        self._counts_by_service: dict[ids.ServiceId, _ServiceCounts] = {}
        self._sent_at = float('-inf')

    def count_good(self, service: ids.ServiceId, now: float) -> None:
        """Count a good request."""
        self._mark_changed(service, now).good += 1

    def count_bad(
        self,
        service: ids.ServiceId,
        cause: Cause,
        now: float,
        instance: ids.InstanceId | None = None,
    ) -> None:
        """Count a bad request, with the instance that caused it if known."""
        self._mark_changed(service, now).bad[cause, instance] += 1

    def record_short_wait(
        self, service: ids.ServiceId, seconds: float, now: float
    ) -> None:
        """Record how long a request of the short lane waited for a slot."""
        bucket = bisect.bisect_left(WAIT_BOUNDS_S, seconds)
        self._mark_changed(service, now).waits[bucket] += 1

    def totals_to_send(
        self, now: float, at_once: bool = False
    ) -> EntryTotals | None:
        """Return the totals to send now, None between two reports.

        ``at_once`` ignores the interval between reports.
        """
        if not at_once and now - self._sent_at < _SEND_INTERVAL_S:
            return None
        self._sent_at = now
        recent = tuple(
            counts.totals(service)
            for service, counts in self._counts_by_service.items()
            if now - counts.changed_at <= _REPEAT_PERIOD_S
        )
        if not recent:
            return None
        return EntryTotals(self._entry, self._incarnation, recent)

    def _mark_changed(
        self, service: ids.ServiceId, now: float
    ) -> _ServiceCounts:
        counts = self._counts_by_service.get(service)
        if counts is None:
            counts = _ServiceCounts()
            self._counts_by_service[service] = counts
        counts.changed_at = now
        return counts

"""Request counts of all entries over 28 days, part of the replicated state."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from verbenastream import ids
from verbenastream.process.reports import counters
from verbenastream import wire

if TYPE_CHECKING:
    from collections.abc import Iterable

MINUTE_S = 60.0
HOUR_S = 3_600.0
# Windows up to 6 h are read from minute buckets, 3 d and 28 d from hour
# buckets. With 33 services this keeps 34,000 buckets instead of 1.3 million.
_MINUTE_BUCKETS_KEPT = 6 * 60
_HOUR_BUCKETS_KEPT = 28 * 24
# The counted totals of an entry are kept as long as the same incarnation may
# return, for instance after a long partition; otherwise they would be counted
# again.
_SOURCE_RETENTION_S = 28 * 24 * HOUR_S


class Bucket(msgspec.Struct):
    """Requests of one service between ``at`` and ``at + width_s``."""

    at: float
    width_s: float
    good: int = 0
    bad: dict[str, int] = {}
    short_waits: list[int] = []

    def add(self, totals: counters.ServiceTotals) -> None:
        """Add the counts of ``totals``."""
        self.good += totals.good
        for bad in totals.bad:
            key = bad_key(bad.cause, bad.instance)
            self.bad[key] = self.bad.get(key, 0) + bad.count
        if totals.short_waits:
            missing = len(totals.short_waits) - len(self.short_waits)
            self.short_waits.extend([0] * missing)
            for position, count in enumerate(totals.short_waits):
                self.short_waits[position] += count


def bad_key(cause: counters.Cause, instance: str | None) -> str:
    """Return the key of ``Bucket.bad`` for a cause and an instance."""
    return f'{cause.value}/{instance or ""}'


def parse_bad_key(key: str) -> tuple[counters.Cause, str | None]:
    """Return the cause and the instance of a key of ``Bucket.bad``."""
    cause, _, instance = key.partition('/')
    return counters.Cause(cause), instance or None


class _CountedTotals(msgspec.Struct):
    """Totals of one incarnation of an entry that are already counted."""

    incarnation: ids.Incarnation
    seen_at: float
    totals_by_service: dict[str, counters.ServiceTotals] = {}


class _HistoryState(msgspec.Struct):
    started_at: float | None = None
    sources_by_entry: dict[str, _CountedTotals] = {}
    minutes_by_service: dict[str, list[Bucket]] = {}
    hours_by_service: dict[str, list[Bucket]] = {}


class BurnHistory:
    """Merges the entries' totals; the same input gives the same state.

    ``at`` is the control leader's wall clock, taken from the command, so a
    clock jump on an entry cannot move requests to another day.
    """

    def __init__(self) -> None:
        self._state = _HistoryState()

    @property
    def started_at(self) -> float | None:
        """Unix time of the first counts, None before them."""
        return self._state.started_at

    def merge(
        self, reports: Iterable[counters.EntryTotals], at: float
    ) -> None:
        """Add the new counts of ``reports``; repeated totals add nothing."""
        if self._state.started_at is None:
            self._state.started_at = at
        for report in reports:
            self._merge_entry(report, at)
        self._drop_old_sources(at)

    def buckets(
        self, service: ids.ServiceId, since: float, hours: bool
    ) -> list[Bucket]:
        """Return the buckets that end after ``since``, oldest first."""
        buckets_by_service = self._state.minutes_by_service
        if hours:
            buckets_by_service = self._state.hours_by_service
        return [
            bucket
            for bucket in buckets_by_service.get(service, ())
            if bucket.at + bucket.width_s > since
        ]

    def services(self) -> list[ids.ServiceId]:
        """Return the services that have counts, sorted by name."""
        return [
            ids.ServiceId(name)
            for name in sorted(self._state.hours_by_service)
        ]

    def encode(self) -> bytes:
        """Return the whole history for a snapshot."""
        return wire.encode(self._state)

    @classmethod
    def decode(cls, data: bytes) -> BurnHistory:
        """Return the history that ``encode`` returned."""
        history = cls()
        history._state = wire.decode(data, _HistoryState)
        return history

    def _merge_entry(self, report: counters.EntryTotals, at: float) -> None:
        source = self._state.sources_by_entry.get(report.entry)
        if source is not None and source.incarnation > report.incarnation:
            return
        if source is None or source.incarnation < report.incarnation:
            source = _CountedTotals(report.incarnation, at)
            self._state.sources_by_entry[report.entry] = source
        source.seen_at = at
        for totals in report.services:
            counted = source.totals_by_service.get(totals.service)
            new = _difference(totals, counted)
            if new is None:
                continue
            source.totals_by_service[totals.service] = totals
            for buckets_by_service, width_s, max_buckets in (
                (
                    self._state.minutes_by_service,
                    MINUTE_S,
                    _MINUTE_BUCKETS_KEPT,
                ),
                (self._state.hours_by_service, HOUR_S, _HOUR_BUCKETS_KEPT),
            ):
                buckets = buckets_by_service.setdefault(totals.service, [])
                _bucket_at(buckets, at, width_s).add(new)
                _drop_old_buckets(buckets, at - max_buckets * width_s)

    def _drop_old_sources(self, at: float) -> None:
        sources = self._state.sources_by_entry
        for entry, source in list(sources.items()):
            if at - source.seen_at > _SOURCE_RETENTION_S:
                del sources[entry]


def _bucket_at(buckets: list[Bucket], at: float, width_s: float) -> Bucket:
    start = at - at % width_s
    # A leader whose clock is behind its predecessor's adds to the newest
    # bucket, which keeps the buckets sorted.
    if buckets and buckets[-1].at >= start:
        return buckets[-1]
    bucket = Bucket(start, width_s)
    buckets.append(bucket)
    return bucket


def _drop_old_buckets(buckets: list[Bucket], before: float) -> None:
    while buckets and buckets[0].at + buckets[0].width_s < before:
        buckets.pop(0)


def _difference(
    totals: counters.ServiceTotals, counted: counters.ServiceTotals | None
) -> counters.ServiceTotals | None:
    """Return what ``totals`` adds to ``counted``; None if it adds nothing.

    A delayed message with older totals adds nothing.
    """
    if counted is None:
        return totals
    if totals.good < counted.good or totals.bad_count < counted.bad_count:
        return None
    before = collections.Counter(
        {(bad.cause, bad.instance): bad.count for bad in counted.bad}
    )
    bad = tuple(
        counters.BadCount(total.cause, added, total.instance)
        for total in totals.bad
        if (added := total.count - before[total.cause, total.instance]) > 0
    )
    good = totals.good - counted.good
    waits = _subtract_waits(totals.short_waits, counted.short_waits)
    if not good and not bad and not any(waits):
        return None
    return counters.ServiceTotals(totals.service, good, bad, waits)


def _subtract_waits(
    after: tuple[int, ...], before: tuple[int, ...]
) -> tuple[int, ...]:
    if not before:
        return after
    return tuple(
        max(0, new - old) for new, old in zip(after, before, strict=False)
    )

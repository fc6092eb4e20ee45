"""Counts of all entries over 28 days, as part of the replicated state."""

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
# Minutes serve the windows up to 6 h; 3 d and 28 d are read from hours. At
# 33 services this keeps 34,000 buckets instead of 1.3 million.
_MINUTES_KEPT = 6 * 60
_HOURS_KEPT = 28 * 24
# What was counted of an entry is kept while the same incarnation may come
# back, for instance after a long partition; otherwise its totals would be
# counted again.
_FORGET_S = 28 * 24 * HOUR_S


class Bucket(msgspec.Struct):
    """Requests of one service between ``at`` and ``at + width_s``."""

    at: float
    width_s: float
    good: int = 0
    bad: dict[str, int] = {}
    short_waits: list[int] = []

    def add(self, totals: counters.ServiceTotals) -> None:
        self.good += totals.good
        for bad in totals.bad:
            name = bad_name(bad.cause, bad.instance)
            self.bad[name] = self.bad.get(name, 0) + bad.count
        if totals.short_waits:
            missing = len(totals.short_waits) - len(self.short_waits)
            self.short_waits.extend([0] * missing)
            for position, count in enumerate(totals.short_waits):
                self.short_waits[position] += count


def bad_name(cause: counters.Cause, instance: str | None) -> str:
    return f'{cause.value}/{instance or ""}'


def split_bad_name(name: str) -> tuple[counters.Cause, str | None]:
    cause, _, instance = name.partition('/')
    return counters.Cause(cause), instance or None


class _Source(msgspec.Struct):
    """What was already counted of one incarnation of an entry."""

    incarnation: ids.Incarnation
    seen_at: float
    totals_by_service: dict[str, counters.ServiceTotals] = {}


class _State(msgspec.Struct):
    started_at: float | None = None
    sources_by_entry: dict[str, _Source] = {}
    minutes_by_service: dict[str, list[Bucket]] = {}
    hours_by_service: dict[str, list[Bucket]] = {}


class BurnHistory:
    """Merges the entries' totals; the same input gives the same state.

    ``at`` is the control leader's wall clock, carried in the command, so that
    a jump of an entry's clock moves no request to another day.
    """

    def __init__(self) -> None:
        self._state = _State()

    @property
    def started_at(self) -> float | None:
        return self._state.started_at

    def merge(
        self, reports: Iterable[counters.EntryTotals], at: float
    ) -> None:
        """Count what is new in ``reports``; repeats change nothing."""
        if self._state.started_at is None:
            self._state.started_at = at
        for report in reports:
            self._merge_entry(report, at)
        self._forget(at)

    def buckets(
        self, service: ids.ServiceId, since: float, hours: bool
    ) -> list[Bucket]:
        """Return the buckets that end after ``since``, oldest first."""
        kept = self._state.minutes_by_service
        if hours:
            kept = self._state.hours_by_service
        return [
            bucket
            for bucket in kept.get(service, ())
            if bucket.at + bucket.width_s > since
        ]

    def services(self) -> list[ids.ServiceId]:
        return [
            ids.ServiceId(name)
            for name in sorted(self._state.hours_by_service)
        ]

    def encode(self) -> bytes:
        """Return the whole history for a snapshot."""
        return wire.encode(self._state)

    @classmethod
    def decode(cls, data: bytes) -> BurnHistory:
        history = cls()
        history._state = wire.decode(data, _State)
        return history

    def _merge_entry(self, report: counters.EntryTotals, at: float) -> None:
        source = self._state.sources_by_entry.get(report.entry)
        if source is not None and source.incarnation > report.incarnation:
            return
        if source is None or source.incarnation < report.incarnation:
            source = _Source(report.incarnation, at)
            self._state.sources_by_entry[report.entry] = source
        source.seen_at = at
        for totals in report.services:
            known = source.totals_by_service.get(totals.service)
            new = _difference(totals, known)
            if new is None:
                continue
            source.totals_by_service[totals.service] = totals
            for buckets_by_service, width_s, kept in (
                (self._state.minutes_by_service, MINUTE_S, _MINUTES_KEPT),
                (self._state.hours_by_service, HOUR_S, _HOURS_KEPT),
            ):
                buckets = buckets_by_service.setdefault(totals.service, [])
                _bucket_at(buckets, at, width_s).add(new)
                _drop_old(buckets, at - kept * width_s)

    def _forget(self, at: float) -> None:
        sources = self._state.sources_by_entry
        for entry, source in list(sources.items()):
            if at - source.seen_at > _FORGET_S:
                del sources[entry]


def _bucket_at(buckets: list[Bucket], at: float, width_s: float) -> Bucket:
    start = at - at % width_s
    # A leader whose clock is behind its predecessor's adds to the newest
    # bucket, so the order stays.
    if buckets and buckets[-1].at >= start:
        return buckets[-1]
    bucket = Bucket(start, width_s)
    buckets.append(bucket)
    return bucket


def _drop_old(buckets: list[Bucket], before: float) -> None:
    while buckets and buckets[0].at + buckets[0].width_s < before:
        buckets.pop(0)


def _difference(
    totals: counters.ServiceTotals, known: counters.ServiceTotals | None
) -> counters.ServiceTotals | None:
    """Return what ``totals`` adds to ``known``; None if it adds nothing.

    A late message that is older than the known totals adds nothing.
    """
    if known is None:
        return totals
    if totals.good < known.good or totals.bad_count < known.bad_count:
        return None
    before = collections.Counter(
        {(bad.cause, bad.instance): bad.count for bad in known.bad}
    )
    bad = tuple(
        counters.BadCount(found.cause, added, found.instance)
        for found in totals.bad
        if (added := found.count - before[found.cause, found.instance]) > 0
    )
    good = totals.good - known.good
    waits = _subtract(totals.short_waits, known.short_waits)
    if not good and not bad and not any(waits):
        return None
    return counters.ServiceTotals(totals.service, good, bad, waits)


def _subtract(
    after: tuple[int, ...], before: tuple[int, ...]
) -> tuple[int, ...]:
    if not before:
        return after
    return tuple(
        max(0, new - old) for new, old in zip(after, before, strict=False)
    )

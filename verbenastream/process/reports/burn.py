"""Availability budgets: what is spent, how fast, and by what.

The budget of a service is the number of bad requests that its committed
availability allows over 28 days. ``BurnCalculator`` is a pure function of the
recorded counts and events; the same input gives the same report, from live
processes and from a trace.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.reports import counters
from verbenastream.process.reports import history
from verbenastream.process.reports import html
from verbenastream.process.reports import report as reports
from verbenastream.process.reports import text

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

__all__ = [
    'BurnCalculator',
    'render_html',
    'render_json',
    'render_text',
]

render_html = html.render_html
render_json = text.render_json
render_text = text.render_text

BUDGET_WINDOW_S = 28 * 86_400.0
_HOUR_S = 3_600.0
_WINDOWS_S = {
    '5 min': 300.0,
    '1 h': _HOUR_S,
    '6 h': 6 * _HOUR_S,
    '3 d': 72 * _HOUR_S,
}
# Shorter windows jump with single failures, longer ones answer too late.
_FORECAST_WINDOW = '6 h'
# A request that fails just before or after an event is still its effect:
# presence is lost a moment before control commits the loss.
_EVENT_MARGIN_S = 60.0
_MAX_EVENTS_NAMED = 10

_CAUSE_BY_KIND = {
    reports.EventKind.MAINTENANCE: counters.Cause.MAINTENANCE,
    reports.EventKind.MOVE: counters.Cause.MOVE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Commitment:
    """The committed availability of one service, a share of requests."""

    service: ids.ServiceId
    availability: float


class BurnCalculator:
    """Computes a report from counts and events.

    ::

        calculator = BurnCalculator(recorded, events)
        report = calculator.report(commitments, fleet, now)
    """

    def __init__(
        self,
        recorded: history.BurnHistory,
        events: Sequence[reports.FleetEvent],
    ) -> None:
        self._history = recorded
        self._events = sorted(events, key=lambda event: event.at)

    def report(
        self,
        commitments: Sequence[Commitment],
        fleet: reports.FleetFigures,
        now: float,
    ) -> reports.BurnReport:
        """Return the report at wall clock ``now`` in seconds."""
        started = self._history.started_at
        recorded_s = 0.0 if started is None else max(0.0, now - started)
        return reports.BurnReport(
            generated_at=now,
            recorded_s=recorded_s,
            services=tuple(
                self._service(commitment, recorded_s, now)
                for commitment in commitments
            ),
            fleet=fleet,
        )

    def _service(
        self, commitment: Commitment, recorded_s: float, now: float
    ) -> reports.ServiceBurn:
        service = commitment.service
        buckets = self._history.buckets(
            service, now - BUDGET_WINDOW_S, hours=True
        )
        good = sum(bucket.good for bucket in buckets)
        bad = sum(sum(bucket.bad.values()) for bucket in buckets)
        budget = _budget(commitment, good + bad, recorded_s)
        windows = self._windows(commitment, now)
        return reports.ServiceBurn(
            service=service,
            availability=commitment.availability,
            good=good,
            bad=bad,
            budget_requests=budget,
            spent=_share(bad, budget),
            windows=windows,
            exhausted_in_s=self._forecast(commitment, budget - bad, now),
            causes=self._causes(service, bad, now),
            short_wait_p50_s=_wait_quantile(buckets, 0.5),
            short_wait_p99_s=_wait_quantile(buckets, 0.99),
            moves=sum(
                event.kind is reports.EventKind.MOVE
                and service in event.services
                for event in self._events
            ),
            hours=tuple(_hour(bucket) for bucket in buckets),
        )

    def _windows(
        self, commitment: Commitment, now: float
    ) -> tuple[reports.WindowBurn, ...]:
        found = []
        for name, seconds in _WINDOWS_S.items():
            good, bad = self._counts(commitment.service, seconds, now)
            allowed = 1.0 - commitment.availability
            share = bad / (good + bad) if good + bad else 0.0
            found.append(
                reports.WindowBurn(
                    name, seconds, good, bad, _share(share, allowed)
                )
            )
        return tuple(found)

    def _counts(
        self, service: ids.ServiceId, seconds: float, now: float
    ) -> tuple[int, int]:
        buckets = self._history.buckets(
            service, now - seconds, hours=seconds > 6 * _HOUR_S
        )
        good = sum(bucket.good for bucket in buckets)
        return good, sum(sum(bucket.bad.values()) for bucket in buckets)

    def _forecast(
        self, commitment: Commitment, left: float, now: float
    ) -> float | None:
        """Return seconds until the budget is spent; None if it is not."""
        if left <= 0.0:
            return 0.0
        seconds = _WINDOWS_S[_FORECAST_WINDOW]
        _, bad = self._counts(commitment.service, seconds, now)
        started = self._history.started_at
        if not bad or started is None:
            return None
        per_second = bad / min(seconds, max(now - started, 60.0))
        return left / per_second

    def _causes(
        self, service: ids.ServiceId, total: int, now: float
    ) -> tuple[reports.CauseSpent, ...]:
        """Split the bad requests by cause and name the events.

        Minutes are matched with events while they are kept, hours after
        that.
        """
        counts: collections.Counter[counters.Cause] = collections.Counter()
        names: dict[counters.Cause, dict[str, None]] = {}
        minutes = self._history.buckets(
            service, now - BUDGET_WINDOW_S, hours=False
        )
        oldest_minute = minutes[0].at if minutes else now
        # The hour in which the kept minutes begin is only partly theirs, so
        # it is read whole and those minutes are left out.
        first_hour = oldest_minute - oldest_minute % _HOUR_S
        if oldest_minute > first_hour:
            first_hour += _HOUR_S
        hours = self._history.buckets(
            service, now - BUDGET_WINDOW_S, hours=True
        )
        kept = [hour for hour in hours if hour.at < first_hour]
        kept += [minute for minute in minutes if minute.at >= first_hour]
        for bucket in kept:
            for name, count in bucket.bad.items():
                cause, instance = history.split_bad_name(name)
                event = self._event_for(service, cause, instance, bucket)
                if event is not None:
                    cause = _CAUSE_BY_KIND.get(event.kind, cause)
                    names.setdefault(cause, {})[event.label()] = None
                counts[cause] += count
        return tuple(
            reports.CauseSpent(
                cause.value,
                counts[cause],
                counts[cause] / total if total else 0.0,
                tuple(names.get(cause, {}))[:_MAX_EVENTS_NAMED],
            )
            for cause in counters.Cause
        )

    def _event_for(
        self,
        service: ids.ServiceId,
        cause: counters.Cause,
        instance: str | None,
        bucket: history.Bucket,
    ) -> reports.FleetEvent | None:
        """Return the event that explains bad requests of a bucket.

        An event of the same instance wins; one of the service explains only
        requests that name no instance. Overload is explained by an event
        only if that event is an overload.
        """
        end = bucket.at + bucket.width_s + _EVENT_MARGIN_S
        found = None
        for event in self._events:
            if event.at > end or service not in event.services:
                continue
            if event.ended_at() < bucket.at - _EVENT_MARGIN_S:
                continue
            overload = event.kind is reports.EventKind.OVERLOAD
            if overload != (cause is counters.Cause.OVERLOAD):
                continue
            if instance is not None and instance in event.instances:
                return event
            if instance is None:
                found = found or event
        return found


def commitments_of(
    availability_by_service: Mapping[ids.ServiceId, float],
) -> list[Commitment]:
    """Return the commitments in the order of the services' names."""
    return [
        Commitment(service, availability)
        for service, availability in sorted(availability_by_service.items())
    ]


def _budget(commitment: Commitment, requests: int, recorded_s: float) -> float:
    """Return how many bad requests 28 days allow.

    A shorter record is extended at its mean rate to 28 days; otherwise the
    first failure of a new deployment would look like a spent budget.
    """
    allowed = (1.0 - commitment.availability) * requests
    if 0.0 < recorded_s < BUDGET_WINDOW_S:
        allowed *= BUDGET_WINDOW_S / max(recorded_s, 60.0)
    return allowed


def _share(part: float, whole: float) -> float | None:
    """Return ``part / whole``; None for a part of nothing.

    A commitment of 100% has no budget, so nothing may be spent of it.
    """
    if whole <= 1e-12:
        return None if part else 0.0
    return part / whole


def _hour(bucket: history.Bucket) -> reports.HourCount:
    by_cause: collections.Counter[str] = collections.Counter()
    for name, count in bucket.bad.items():
        by_cause[history.split_bad_name(name)[0].value] += count
    return reports.HourCount(bucket.at, bucket.good, dict(by_cause))


def _wait_quantile(
    buckets: Sequence[history.Bucket], quantile: float
) -> float | None:
    """Return the upper bound of the bucket that holds the quantile.

    Waits beyond the last bound are given as that bound.
    """
    counts = [0] * (len(counters.WAIT_BOUNDS_S) + 1)
    for bucket in buckets:
        for position, count in enumerate(bucket.short_waits):
            counts[position] += count
    wanted = quantile * sum(counts)
    if not wanted:
        return None
    seen = 0
    for bound, count in zip(counters.WAIT_BOUNDS_S, counts, strict=False):
        seen += count
        if seen >= wanted:
            return bound
    return counters.WAIT_BOUNDS_S[-1]

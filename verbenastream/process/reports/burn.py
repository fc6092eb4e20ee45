"""Computes how much of each availability budget is spent, and why.

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
# Shorter windows overreact to single failures, longer ones react too late.
_FORECAST_WINDOW = '6 h'
# Requests that fail shortly before or after an event are attributed to it:
# presence is lost a moment before control commits the loss.
_EVENT_MARGIN_S = 60.0
_MAX_EVENTS_PER_CAUSE = 10

_CAUSE_BY_KIND = {
    reports.EventKind.MAINTENANCE: counters.Cause.MAINTENANCE,
    reports.EventKind.MOVE: counters.Cause.MOVE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Commitment:
    """The committed availability of one service as a share of requests."""

    service: ids.ServiceId
    availability: float


class BurnCalculator:
    """Computes burn reports from recorded counts and fleet events.

    ::

        calculator = BurnCalculator(history, events)
        report = calculator.report(commitments, fleet, now)
    """

    def __init__(
        self,
        burn_history: history.BurnHistory,
        events: Sequence[reports.FleetEvent],
    ) -> None:
        self._history = burn_history
        self._events = sorted(events, key=lambda event: event.at)

    def report(
        self,
        commitments: Sequence[Commitment],
        fleet: reports.FleetFigures,
        now: float,
    ) -> reports.BurnReport:
        """Return the report at Unix time ``now``."""
        started = self._history.started_at
        recorded_s = 0.0 if started is None else max(0.0, now - started)
        return reports.BurnReport(
            generated_at=now,
            recorded_s=recorded_s,
            services=tuple(
                self._service_burn(commitment, recorded_s, now)
                for commitment in commitments
            ),
            fleet=fleet,
        )

    def _service_burn(
        self, commitment: Commitment, recorded_s: float, now: float
    ) -> reports.ServiceBurn:
        service = commitment.service
        buckets = self._history.buckets(
            service, now - BUDGET_WINDOW_S, hours=True
        )
        good = sum(bucket.good for bucket in buckets)
        bad = sum(sum(bucket.bad.values()) for bucket in buckets)
        budget = _allowed_bad_requests(commitment, good + bad, recorded_s)
        windows = self._window_burns(commitment, now)
        return reports.ServiceBurn(
            service=service,
            availability=commitment.availability,
            good=good,
            bad=bad,
            budget_requests=budget,
            spent=_ratio(bad, budget),
            windows=windows,
            exhausted_in_s=self._seconds_until_spent(
                commitment, budget - bad, now
            ),
            causes=self._spent_by_cause(service, bad, now),
            short_wait_p50_s=_wait_quantile(buckets, 0.5),
            short_wait_p99_s=_wait_quantile(buckets, 0.99),
            moves=sum(
                event.kind is reports.EventKind.MOVE
                and service in event.services
                for event in self._events
            ),
            hours=tuple(_hour_count(bucket) for bucket in buckets),
        )

    def _window_burns(
        self, commitment: Commitment, now: float
    ) -> tuple[reports.WindowBurn, ...]:
        window_burns = []
        for name, seconds in _WINDOWS_S.items():
            good, bad = self._window_counts(commitment.service, seconds, now)
            allowed = 1.0 - commitment.availability
            share = bad / (good + bad) if good + bad else 0.0
            window_burns.append(
                reports.WindowBurn(
                    name, seconds, good, bad, _ratio(share, allowed)
                )
            )
        return tuple(window_burns)

    def _window_counts(
        self, service: ids.ServiceId, seconds: float, now: float
    ) -> tuple[int, int]:
        buckets = self._history.buckets(
            service, now - seconds, hours=seconds > 6 * _HOUR_S
        )
        good = sum(bucket.good for bucket in buckets)
        return good, sum(sum(bucket.bad.values()) for bucket in buckets)

    def _seconds_until_spent(
        self, commitment: Commitment, remaining: float, now: float
    ) -> float | None:
        """Return the seconds until the budget is spent.

        None if the rate of the forecast window spends nothing.
        """
        if remaining <= 0.0:
            return 0.0
        seconds = _WINDOWS_S[_FORECAST_WINDOW]
        _, bad = self._window_counts(commitment.service, seconds, now)
        started = self._history.started_at
        if not bad or started is None:
            return None
        per_second = bad / min(seconds, max(now - started, 60.0))
        return remaining / per_second

    def _spent_by_cause(
        self, service: ids.ServiceId, total: int, now: float
    ) -> tuple[reports.CauseSpent, ...]:
        """Split the bad requests by cause and name the events behind them.

        Events are matched with minute buckets where these are still kept
        and with hour buckets before that.
        """
        counts: collections.Counter[counters.Cause] = collections.Counter()
        labels_by_cause: dict[counters.Cause, dict[str, None]] = {}
        minutes = self._history.buckets(
            service, now - BUDGET_WINDOW_S, hours=False
        )
        oldest_minute = minutes[0].at if minutes else now
        # The kept minutes cover their first hour only in part, so that hour
        # is read from its hour bucket and its minutes are skipped.
        first_hour = oldest_minute - oldest_minute % _HOUR_S
        if oldest_minute > first_hour:
            first_hour += _HOUR_S
        hours = self._history.buckets(
            service, now - BUDGET_WINDOW_S, hours=True
        )
        selected = [hour for hour in hours if hour.at < first_hour]
        selected += [minute for minute in minutes if minute.at >= first_hour]
        for bucket in selected:
            for name, count in bucket.bad.items():
                cause, instance = history.parse_bad_key(name)
                event = self._explaining_event(
                    service, cause, instance, bucket
                )
                if event is not None:
                    cause = _CAUSE_BY_KIND.get(event.kind, cause)
                    labels_by_cause.setdefault(cause, {})[event.label()] = None
                counts[cause] += count
        return tuple(
            reports.CauseSpent(
                cause.value,
                counts[cause],
                counts[cause] / total if total else 0.0,
                tuple(labels_by_cause.get(cause, {}))[:_MAX_EVENTS_PER_CAUSE],
            )
            for cause in counters.Cause
        )

    def _explaining_event(
        self,
        service: ids.ServiceId,
        cause: counters.Cause,
        instance: str | None,
        bucket: history.Bucket,
    ) -> reports.FleetEvent | None:
        """Return the event that explains the bad requests of a bucket.

        Bad requests of an instance are explained only by an event of that
        instance, others by the first event of the service. Overload is
        explained only by overload events, which explain nothing else.
        """
        end = bucket.at + bucket.width_s + _EVENT_MARGIN_S
        service_event = None
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
                service_event = service_event or event
        return service_event


def commitments_of(
    availability_by_service: Mapping[ids.ServiceId, float],
) -> list[Commitment]:
    """Return the commitments sorted by service name."""
    return [
        Commitment(service, availability)
        for service, availability in sorted(availability_by_service.items())
    ]


def _allowed_bad_requests(
    commitment: Commitment, requests: int, recorded_s: float
) -> float:
    """Return the number of bad requests that are allowed in 28 days.

    A shorter record is extrapolated to 28 days at its mean rate; otherwise
    the first failure of a new deployment would seem to spend its budget.
    """
    allowed = (1.0 - commitment.availability) * requests
    if 0.0 < recorded_s < BUDGET_WINDOW_S:
        allowed *= BUDGET_WINDOW_S / max(recorded_s, 60.0)
    return allowed


def _ratio(part: float, whole: float) -> float | None:
    """Return ``part / whole``; None if only ``whole`` is zero.

    A commitment of 100% has no budget, so its spent share is undefined.
    """
    if whole <= 1e-12:
        return None if part else 0.0
    return part / whole


def _hour_count(bucket: history.Bucket) -> reports.HourCount:
    by_cause: collections.Counter[str] = collections.Counter()
    for name, count in bucket.bad.items():
        by_cause[history.parse_bad_key(name)[0].value] += count
    return reports.HourCount(bucket.at, bucket.good, dict(by_cause))


def _wait_quantile(
    buckets: Sequence[history.Bucket], quantile: float
) -> float | None:
    """Return the upper bound of the bucket that contains the quantile.

    Returns the last bound if the quantile is above it, None without waits.
    """
    counts = [0] * (len(counters.WAIT_BOUNDS_S) + 1)
    for bucket in buckets:
        for position, count in enumerate(bucket.short_waits):
            counts[position] += count
    target_rank = quantile * sum(counts)
    if not target_rank:
        return None
    cumulative_count = 0
    for bound, count in zip(counters.WAIT_BOUNDS_S, counts, strict=False):
        cumulative_count += count
        if cumulative_count >= target_rank:
            return bound
    return counters.WAIT_BOUNDS_S[-1]

"""Weekly maintenance windows of a document."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from verbenastream.version.documents import schema

if TYPE_CHECKING:
    from collections.abc import Sequence

HOUR_S = 3_600
WEEK_HOURS = 168
# 1 January 1970 was a Thursday.
_EPOCH_WEEKDAY = 3
_DAYS = list(schema.Weekday)


@functools.lru_cache(maxsize=1024)
def open_hours(windows: tuple[schema.MaintenanceWindow, ...]) -> list[bool]:
    """Return, for each hour of the week, whether a window is open.

    The first hour starts on Monday at 00:00 UTC. A window may extend past
    midnight.
    """
    hours = [False] * WEEK_HOURS
    for window in windows:
        for day in window.days:
            first = _DAYS.index(day) * 24 + window.start_hour
            for offset in range(window.hours):
                hours[(first + offset) % WEEK_HOURS] = True
    return hours


def remaining_s(policy: schema.MaintenancePolicy, now: float) -> float:
    """Return how long the window stays open, or 0.0 if it is closed.

    The time is at most a week, also if the windows are always open.
    """
    hours = open_hours(policy.windows)
    position = _week_hour(now)
    count = _run_length(hours, position, True)
    if not count:
        return 0.0
    return count * HOUR_S - now % HOUR_S


def opens_in_s(policy: schema.MaintenancePolicy, now: float) -> float | None:
    """Return the time until a window opens.

    It is 0.0 if a window is open and None if the document has no window.
    """
    hours = open_hours(policy.windows)
    if not any(hours):
        return None
    count = _run_length(hours, _week_hour(now), False)
    return count * HOUR_S - now % HOUR_S if count else 0.0


def open_s_per_week(policy: schema.MaintenancePolicy) -> int:
    return sum(open_hours(policy.windows)) * HOUR_S


def _week_hour(now: float) -> int:
    return (int(now // HOUR_S) + _EPOCH_WEEKDAY * 24) % WEEK_HOURS


def _run_length(hours: Sequence[bool], position: int, value: bool) -> int:
    count = 0
    while count < WEEK_HOURS:
        if hours[(position + count) % WEEK_HOURS] is not value:
            break
        count += 1
    return count

"""Collects the entries' totals on the control leader between commits.

The leader commits new totals once per minute. Committed counts are on every
replica and survive the loss of any process. Other counts are with the leader
within seconds, and entries repeat recent totals to a new leader.
"""

from __future__ import annotations

from verbenastream import ids
from verbenastream.process.reports import counters

_COMMIT_INTERVAL_S = 60.0


class BurnCollector:
    """Keeps the newest totals of each entry start until they are committed."""

    def __init__(self) -> None:
        # Keyed by entry and incarnation: after a crash, the last totals of
        # the previous start are committed before those of the next one.
        self._totals_by_start: dict[
            tuple[ids.EntryId, ids.Incarnation],
            dict[ids.ServiceId, counters.ServiceTotals],
        ] = {}
        # Commits the first totals at once, as the history starts with them.
        self._committed_at = float('-inf')

    def store_totals(self, totals: counters.EntryTotals) -> None:
        """Store the totals that arrived with a lease renewal."""
        start = totals.entry, totals.incarnation
        totals_by_service = self._totals_by_start.setdefault(start, {})
        totals_by_service.update(
            (service_totals.service, service_totals)
            for service_totals in totals.services
        )

    def take_uncommitted(
        self, now: float, at_once: bool = False
    ) -> tuple[counters.EntryTotals, ...]:
        """Return and forget the totals to commit; empty between two commits.

        ``at_once`` ignores the interval, so that a report includes all that
        the leader has received.
        """
        if not at_once and now - self._committed_at < _COMMIT_INTERVAL_S:
            return ()
        uncommitted = tuple(
            counters.EntryTotals(entry, incarnation, tuple(services.values()))
            for (entry, incarnation), services in sorted(
                self._totals_by_start.items()
            )
        )
        if uncommitted:
            self._committed_at = now
        self._totals_by_start.clear()
        return uncommitted

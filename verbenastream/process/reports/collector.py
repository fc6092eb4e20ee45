"""The control leader's collection of the entries' totals between commits.

The leader commits what is new once per minute. After that the loss of any one
process loses nothing: an entry's totals are with the leader within seconds,
the committed counts are on every replica, and entries repeat recent totals to
a new leader.
"""

from __future__ import annotations

from verbenastream import ids
from verbenastream.process.reports import counters

_COMMIT_INTERVAL_S = 60.0


class BurnCollector:
    """The newest totals of each start of an entry since the last commit."""

    def __init__(self) -> None:
        # By start of an entry: after a crash, the last totals of the previous
        # start are committed before those of the next one.
        self._totals_by_start: dict[
            tuple[ids.EntryId, ids.Incarnation],
            dict[ids.ServiceId, counters.ServiceTotals],
        ] = {}
        # The first totals are committed at once: the record begins with them.
        self._committed_at = float('-inf')

    def renewed(self, totals: counters.EntryTotals) -> None:
        """Keep the totals that came with a renewal."""
        start = totals.entry, totals.incarnation
        kept = self._totals_by_start.setdefault(start, {})
        kept.update((found.service, found) for found in totals.services)

    def due(
        self, now: float, at_once: bool = False
    ) -> tuple[counters.EntryTotals, ...]:
        """Return what to commit now, empty between two commits.

        With ``at_once`` the interval is ignored, so that a report shows what
        the leader knows.
        """
        if not at_once and now - self._committed_at < _COMMIT_INTERVAL_S:
            return ()
        found = tuple(
            counters.EntryTotals(entry, incarnation, tuple(services.values()))
            for (entry, incarnation), services in sorted(
                self._totals_by_start.items()
            )
        )
        if found:
            self._committed_at = now
        self._totals_by_start.clear()
        return found

"""Burn counts and fleet events as one part of the replicated state.

The control leader collects the totals that entries send with their renewals
and commits what is new once per minute. After that the loss of any one
process loses nothing: an entry's totals are with the leader within seconds,
the committed counts are on every replica, and entries repeat recent totals to
a new leader.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from verbenastream import ids
from verbenastream.process.reports import burn
from verbenastream.process.reports import counters
from verbenastream.process.reports import fleet_events
from verbenastream.process.reports import history
from verbenastream.process.reports import report as reports

if TYPE_CHECKING:
    from collections.abc import Mapping

    from verbenastream.version import documents

_COMMIT_INTERVAL_S = 60.0


class BookImage(msgspec.Struct, frozen=True):
    """What a snapshot of the replicated state holds of the book."""

    history: bytes
    events: bytes


class BurnBook:
    """The replicated part; changed only by applied commands."""

    def __init__(self) -> None:
        self.history = history.BurnHistory()
        self.events = fleet_events.FleetEvents()

    def image(self) -> BookImage:
        return BookImage(self.history.encode(), self.events.encode())

    @classmethod
    def restore(cls, image: BookImage | None) -> BurnBook:
        """Return the book of a snapshot; empty if it is from before 0.1."""
        book = cls()
        if image is not None:
            book.history = history.BurnHistory.decode(image.history)
            book.events = fleet_events.FleetEvents.decode(image.events)
        return book

    def report(
        self,
        documents_by_service: Mapping[ids.ServiceId, documents.Document],
        fleet: reports.FleetFigures,
        now: float,
    ) -> reports.BurnReport:
        """Return the report of the committed counts; ``now`` is log time."""
        calculator = burn.BurnCalculator(self.history, self.events.all())
        availability = {
            service: document.availability
            for service, document in documents_by_service.items()
        }
        return calculator.report(
            burn.commitments_of(availability),
            msgspec.structs.replace(fleet, moves=self.events.moves),
            now,
        )


class BurnCollector:
    """The leader's part: the newest totals of each entry since a commit."""

    def __init__(self) -> None:
        # By start of an entry: after a crash, the last totals of the previous
        # start are committed before those of the next one.
        self._totals_by_start: dict[
            tuple[ids.EntryId, ids.Incarnation],
            dict[ids.ServiceId, counters.ServiceTotals],
        ] = {}
        self._committed_at: float | None = None

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
        if self._committed_at is None:
            self._committed_at = now
        if not at_once and now - self._committed_at < _COMMIT_INTERVAL_S:
            return ()
        self._committed_at = now
        found = tuple(
            counters.EntryTotals(entry, incarnation, tuple(services.values()))
            for (entry, incarnation), services in sorted(
                self._totals_by_start.items()
            )
        )
        self._totals_by_start.clear()
        return found

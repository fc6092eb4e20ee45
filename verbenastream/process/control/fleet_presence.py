"""Presence of instances, as the entries report it to the leader."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from verbenastream import ids
from verbenastream.process import membership
from verbenastream.process.membership import observed
from verbenastream.version import fleet
from verbenastream.version import planning

# Grants end within 2 s and reports take up to 1 s: a running count of zero
# counts only if it was announced after no entry could start work any more.
_DRAIN_SETTLE_S = 3.0


class _Seen(enum.Enum):
    PRESENT = 'present'
    SUSPECTED = 'suspected'
    GONE = 'gone'
    UNHEARD = 'unheard'


_AWAY = frozenset(
    (fleet.InstanceState.LOST, fleet.InstanceState.IN_MAINTENANCE)
)
_HEARD = frozenset((_Seen.PRESENT, _Seen.SUSPECTED))


@dataclasses.dataclass(slots=True)
class _Reporter:
    """What one start of an entry has said.

    ``passed_on`` are targets of other data centres that it heard.
    """

    incarnation: ids.Incarnation
    data_centre: ids.DataCentreId
    complete: bool = False
    passed_on: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    seen_by_instance: dict[ids.InstanceId, tuple[_Seen, int]] = (
        dataclasses.field(default_factory=dict)
    )

    def digest(self) -> str:
        return observed.digest(
            (instance, incarnation, seen is _Seen.SUSPECTED)
            for instance, (seen, incarnation) in self.seen_by_instance.items()
            if seen in _HEARD
        )


class FleetPresence:
    """Kept in memory by the leader; a new one asks for complete reports."""

    def __init__(self) -> None:
        self._reporters_by_entry: dict[ids.EntryId, _Reporter] = {}
        self._announcements_by_id: dict[
            ids.InstanceId, tuple[membership.Announcement, float]
        ] = {}
        self._draining_since: dict[ids.InstanceId, float] = {}
        self._gone_in_maintenance: set[ids.InstanceId] = set()

    def start(self) -> None:
        """Forget what was reported during an earlier term."""
        self._reporters_by_entry.clear()
        self._announcements_by_id.clear()
        self._draining_since.clear()
        self._gone_in_maintenance.clear()

    def forget(self, instances: Iterable[ids.InstanceId]) -> None:
        """Drop instances that were removed from the state."""
        for instance in instances:
            self._announcements_by_id.pop(instance, None)

    def receive(self, report: membership.PresenceReport, now: float) -> bool:
        """Take a report; True if a complete one is needed."""
        reporter = self._reporters_by_entry.get(report.entry)
        if reporter is None or reporter.incarnation < report.incarnation:
            reporter = _Reporter(report.incarnation, report.data_centre)
            self._reporters_by_entry[report.entry] = reporter
        elif reporter.incarnation > report.incarnation:
            return False
        if report.complete:
            reporter.complete = True
            reporter.seen_by_instance.clear()
            reporter.passed_on.clear()
        for presence in report.present:
            self._take(reporter, presence, now)
        for instance in report.unheard:
            reporter.seen_by_instance[instance] = (_Seen.UNHEARD, 0)
        for instance in report.gone:
            reporter.seen_by_instance[instance] = (_Seen.GONE, 0)
            reporter.passed_on.discard(instance)
        if not reporter.complete:
            return True
        return bool(report.digest) and report.digest != reporter.digest()

    def unregistered(
        self, records_by_id: Mapping[ids.InstanceId, fleet.InstanceRecord]
    ) -> tuple[membership.Announcement, ...]:
        """Return announcements of new instances and of new starts."""
        found = []
        for instance, (announcement, _) in self._announcements_by_id.items():
            record = records_by_id.get(instance)
            if record is None or record.incarnation < announcement.incarnation:
                found.append(announcement)
        return tuple(found)

    def pictures(
        self,
        records_by_id: Mapping[ids.InstanceId, fleet.InstanceRecord],
        entries: Iterable[membership.EntryRecord],
    ) -> dict[ids.DataCentreId, planning.PresencePicture]:
        """Return what each data centre misses, by its live entries.

        An instance is missing only if its judges say so: the entries of its
        own data centre, or all others when that has no live entry.
        """
        reporters = self._live_reporters(entries)
        missing_by_centre: dict[ids.DataCentreId, set[ids.InstanceId]] = {
            reporter.data_centre: set() for reporter in reporters
        }
        centres = frozenset(missing_by_centre)
        candidates = {
            instance
            for reporter in reporters
            for instance, (seen, _) in reporter.seen_by_instance.items()
            if seen is _Seen.GONE
        }
        for instance in candidates:
            record = records_by_id.get(instance)
            if record is None or self._is_heard(record, reporters, centres):
                continue
            for reporter in reporters:
                if instance in reporter.seen_by_instance:
                    missing_by_centre[reporter.data_centre].add(instance)
        return {
            centre: planning.PresencePicture(frozenset(missing))
            for centre, missing in missing_by_centre.items()
        }

    def returned(
        self,
        records_by_id: Mapping[ids.InstanceId, fleet.InstanceRecord],
        entries: Iterable[membership.EntryRecord],
    ) -> frozenset[ids.InstanceId]:
        """Return lost or maintained instances that are present again.

        One in maintenance must have been missing first: until it goes down
        it still announces itself.
        """
        reporters = self._live_reporters(entries)
        centres = frozenset(reporter.data_centre for reporter in reporters)
        found = set()
        for instance, record in records_by_id.items():
            if record.state not in _AWAY:
                self._gone_in_maintenance.discard(instance)
                continue
            heard = self._is_heard(record, reporters, centres)
            if not heard:
                self._gone_in_maintenance.add(instance)
            elif (
                record.state is fleet.InstanceState.LOST
                or instance in self._gone_in_maintenance
            ):
                found.add(instance)
        return frozenset(found)

    def _is_heard(
        self,
        record: fleet.InstanceRecord,
        reporters: list[_Reporter],
        centres: frozenset[ids.DataCentreId],
    ) -> bool:
        if record.data_centre not in centres:
            return any(record.id in found.passed_on for found in reporters)
        return any(
            found.data_centre == record.data_centre
            and record.id in found.seen_by_instance
            and found.seen_by_instance[record.id][0] in _HEARD
            for found in reporters
        )

    def drained(
        self,
        records_by_id: Mapping[ids.InstanceId, fleet.InstanceRecord],
        now: float,
    ) -> frozenset[ids.InstanceId]:
        """Return draining instances that announce that nothing runs."""
        draining = {
            instance
            for instance, record in records_by_id.items()
            if record.state is fleet.InstanceState.DRAINING
        }
        for instance in list(self._draining_since):
            if instance not in draining:
                del self._draining_since[instance]
        found = set()
        for instance in draining:
            since = self._draining_since.setdefault(instance, now)
            known = self._announcements_by_id.get(instance)
            if known is None:
                continue
            announcement, announced_at = known
            if (
                announcement.running == 0
                and announced_at >= since + _DRAIN_SETTLE_S
            ):
                found.add(instance)
        return frozenset(found)

    def _take(
        self,
        reporter: _Reporter,
        presence: membership.Presence,
        now: float,
    ) -> None:
        announcement = presence.announcement
        announced_at = now - presence.age_s
        known = self._announcements_by_id.get(announcement.id)
        if known is None or (announcement.incarnation, announced_at) >= (
            known[0].incarnation,
            known[1],
        ):
            self._announcements_by_id[announcement.id] = (
                announcement,
                announced_at,
            )
        if announcement.data_centre != reporter.data_centre:
            if not presence.suspected:
                reporter.passed_on.add(announcement.id)
            return
        seen = _Seen.SUSPECTED if presence.suspected else _Seen.PRESENT
        reporter.seen_by_instance[announcement.id] = (
            seen,
            announcement.incarnation,
        )

    def _live_reporters(
        self, entries: Iterable[membership.EntryRecord]
    ) -> list[_Reporter]:
        found = []
        for entry in entries:
            reporter = self._reporters_by_entry.get(entry.id)
            if (
                entry.live
                and reporter is not None
                and reporter.complete
                and reporter.incarnation == entry.incarnation
            ):
                found.append(reporter)
        return found

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
# A restarted entry has heard of every present target after one announcement
# interval and the time until removal.
_REPORTER_SETTLE_S = 4.0


class _Seen(enum.Enum):
    PRESENT = 'present'
    SUSPECTED = 'suspected'
    GONE = 'gone'
    UNHEARD = 'unheard'


_AWAY = frozenset(
    (fleet.InstanceState.LOST, fleet.InstanceState.IN_MAINTENANCE)
)
_HEARD = frozenset((_Seen.PRESENT, _Seen.SUSPECTED))


@dataclasses.dataclass(slots=True, eq=False)
class _Reporter:
    """What one start of an entry has said.

    ``passed_on`` are targets of other data centres that it heard;
    ``complete_at`` is the time of its first complete report.
    """

    incarnation: ids.Incarnation
    data_centre: ids.DataCentreId
    complete_at: float | None = None
    passed_on: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    seen_by_instance: dict[ids.InstanceId, tuple[_Seen, int]] = (
        dataclasses.field(default_factory=dict)
    )

    def settled(self, now: float) -> bool:
        """Whether what it does not name is really absent."""
        return (
            self.complete_at is not None
            and now - self.complete_at >= _REPORTER_SETTLE_S
        )

    def hears(self, record: fleet.InstanceRecord) -> bool:
        if record.data_centre != self.data_centre:
            return record.id in self.passed_on
        seen = self.seen_by_instance.get(record.id)
        return seen is not None and seen[0] in _HEARD

    def misses(self, record: fleet.InstanceRecord, is_judge: bool) -> bool:
        """Whether it says that the instance is not there.

        An entry elsewhere says so only of what it was asked to confirm.
        """
        if is_judge:
            return not self.hears(record)
        seen = self.seen_by_instance.get(record.id)
        return seen is not None and seen[0] not in _HEARD

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
        self._gone_since_taken: set[ids.InstanceId] = set()

    def start(self) -> None:
        """Forget what was reported during an earlier term."""
        self._reporters_by_entry.clear()
        self._announcements_by_id.clear()
        self._draining_since.clear()
        self._gone_since_taken.clear()

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
            if reporter.complete_at is None:
                reporter.complete_at = now
            reporter.seen_by_instance.clear()
            reporter.passed_on.clear()
        for presence in report.present:
            self._take(reporter, presence, now)
        for instance in report.unheard:
            reporter.seen_by_instance[instance] = (_Seen.UNHEARD, 0)
        for instance in report.gone:
            reporter.seen_by_instance[instance] = (_Seen.GONE, 0)
            reporter.passed_on.discard(instance)
            known = self._announcements_by_id.get(instance)
            if known and known[0].data_centre == reporter.data_centre:
                self._gone_since_taken.add(instance)
        if reporter.complete_at is None:
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
        now: float,
    ) -> dict[ids.DataCentreId, planning.PresencePicture]:
        """Return what each data centre misses, by its live entries.

        An instance is missing only if all its judges say so: the entries of
        its own data centre, or all others when that has no live entry.
        """
        reporters = self._reporters(entries)
        missing_by_centre: dict[ids.DataCentreId, set[ids.InstanceId]] = {
            reporter.data_centre: set()
            for reporter in reporters
            if reporter.settled(now)
        }
        judges_by_centre = _judges(reporters)
        for record in records_by_id.values():
            judges = judges_by_centre.get(record.data_centre, reporters)
            if not judges or not all(
                judge.settled(now) and not judge.hears(record)
                for judge in judges
            ):
                continue
            for reporter in reporters:
                is_judge = reporter in judges
                if reporter.settled(now) and reporter.misses(record, is_judge):
                    missing_by_centre[reporter.data_centre].add(record.id)
        return {
            centre: planning.PresencePicture(frozenset(missing))
            for centre, missing in missing_by_centre.items()
        }

    def returned(
        self,
        records_by_id: Mapping[ids.InstanceId, fleet.InstanceRecord],
        entries: Iterable[membership.EntryRecord],
        now: float,
    ) -> frozenset[ids.InstanceId]:
        """Return lost or maintained instances that are present again.

        One in maintenance must have been missing first: until it goes down
        it still announces itself.
        """
        reporters = self._reporters(entries)
        judges_by_centre = _judges(reporters)
        found = set()
        for instance, record in records_by_id.items():
            if record.state not in _AWAY:
                self._gone_since_taken.discard(instance)
                continue
            judges = judges_by_centre.get(record.data_centre, reporters)
            if not any(judge.hears(record) for judge in judges):
                if judges and all(judge.settled(now) for judge in judges):
                    self._gone_since_taken.add(instance)
            elif (
                record.state is fleet.InstanceState.LOST
                or instance in self._gone_since_taken
            ):
                found.add(instance)
        return frozenset(found)

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

    def _reporters(
        self, entries: Iterable[membership.EntryRecord]
    ) -> list[_Reporter]:
        """Return one reporter for each live entry, an empty one at first."""
        found = []
        for entry in entries:
            if not entry.live:
                continue
            reporter = self._reporters_by_entry.get(entry.id)
            if reporter is None or reporter.incarnation != entry.incarnation:
                reporter = _Reporter(entry.incarnation, entry.data_centre)
            found.append(reporter)
        return found


def _judges(
    reporters: Iterable[_Reporter],
) -> dict[ids.DataCentreId, list[_Reporter]]:
    """Return the reporters by the data centre that they judge."""
    found: dict[ids.DataCentreId, list[_Reporter]] = {}
    for reporter in reporters:
        found.setdefault(reporter.data_centre, []).append(reporter)
    return found

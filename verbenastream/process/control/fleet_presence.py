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

# Grants end within 2 s and reports take up to 1 s. A running count of zero
# means that a drain is complete only if it was announced later than that, when
# no entry can start work on the instance any more.
_DRAIN_CONFIRM_DELAY_S = 3.0
# A restarted entry has heard every present target after one announcement
# interval and the time until removal.
_REPORTER_WARM_UP_S = 4.0


class _Sighting(enum.Enum):
    """What an entry last reported about an instance."""

    PRESENT = 'present'
    SUSPECTED = 'suspected'
    GONE = 'gone'
    UNHEARD = 'unheard'


_ABSENT_STATES = frozenset(
    (fleet.InstanceState.LOST, fleet.InstanceState.IN_MAINTENANCE)
)
_HEARD_SIGHTINGS = frozenset((_Sighting.PRESENT, _Sighting.SUSPECTED))


@dataclasses.dataclass(slots=True, eq=False)
class _Reporter:
    """What one incarnation of an entry has reported.

    ``heard_elsewhere`` are the targets of other data centres that it heard,
    ``complete_at`` is the time of its first complete report.
    """

    incarnation: ids.Incarnation
    data_centre: ids.DataCentreId
    complete_at: float | None = None
    heard_elsewhere: set[ids.InstanceId] = dataclasses.field(
        default_factory=set
    )
    sightings_by_instance: dict[ids.InstanceId, tuple[_Sighting, int]] = (
        dataclasses.field(default_factory=dict)
    )

    def is_warmed_up(self, now: float) -> bool:
        """Whether an instance that it does not report is really absent."""
        return (
            self.complete_at is not None
            and now - self.complete_at >= _REPORTER_WARM_UP_S
        )

    def hears(self, record: fleet.InstanceRecord) -> bool:
        """Whether it last reported the instance as present or suspected."""
        if record.data_centre != self.data_centre:
            return record.id in self.heard_elsewhere
        sighting = self.sightings_by_instance.get(record.id)
        return sighting is not None and sighting[0] in _HEARD_SIGHTINGS

    def reports_missing(
        self, record: fleet.InstanceRecord, is_observer: bool
    ) -> bool:
        """Whether it reports that the instance is absent.

        An observer does so by not hearing the instance. Other entries report
        it only for instances that they were asked to confirm.
        """
        if is_observer:
            return not self.hears(record)
        sighting = self.sightings_by_instance.get(record.id)
        return sighting is not None and sighting[0] not in _HEARD_SIGHTINGS

    def digest(self) -> str:
        return observed.digest(
            (instance, incarnation, sighting is _Sighting.SUSPECTED)
            for instance, (
                sighting,
                incarnation,
            ) in self.sightings_by_instance.items()
            if sighting in _HEARD_SIGHTINGS
        )


class FleetPresence:
    """The presence reports of all entries.

    The leader keeps them in memory only; a new leader asks for complete
    reports. The observers of an instance are the live entries of its data
    centre, or all live entries if its data centre has none.
    """

    def __init__(self) -> None:
        self._reporters_by_entry: dict[ids.EntryId, _Reporter] = {}
        self._announcements_by_id: dict[
            ids.InstanceId, tuple[membership.Announcement, float]
        ] = {}
        self._draining_since: dict[ids.InstanceId, float] = {}
        self._confirmed_absent: set[ids.InstanceId] = set()

    def start(self) -> None:
        """Discard what was reported during an earlier term."""
        self._reporters_by_entry.clear()
        self._announcements_by_id.clear()
        self._draining_since.clear()
        self._confirmed_absent.clear()

    def remove(self, instances: Iterable[ids.InstanceId]) -> None:
        """Remove instances that were removed from the state."""
        for instance in instances:
            self._announcements_by_id.pop(instance, None)

    def receive(self, report: membership.PresenceReport, now: float) -> bool:
        """Apply a report; return whether a complete one is needed."""
        reporter = self._reporters_by_entry.get(report.entry)
        if reporter is None or reporter.incarnation < report.incarnation:
            reporter = _Reporter(report.incarnation, report.data_centre)
            self._reporters_by_entry[report.entry] = reporter
        elif reporter.incarnation > report.incarnation:
            return False
        if report.complete:
            if reporter.complete_at is None:
                reporter.complete_at = now
            reporter.sightings_by_instance.clear()
            reporter.heard_elsewhere.clear()
        for presence in report.present:
            self._apply_presence(reporter, presence, now)
        for instance in report.unheard:
            reporter.sightings_by_instance[instance] = (_Sighting.UNHEARD, 0)
        for instance in report.gone:
            reporter.sightings_by_instance[instance] = (_Sighting.GONE, 0)
            reporter.heard_elsewhere.discard(instance)
            latest = self._announcements_by_id.get(instance)
            if latest and latest[0].data_centre == reporter.data_centre:
                self._confirmed_absent.add(instance)
        if reporter.complete_at is None:
            return True
        return bool(report.digest) and report.digest != reporter.digest()

    def unregistered_announcements(
        self, records_by_id: Mapping[ids.InstanceId, fleet.InstanceRecord]
    ) -> tuple[membership.Announcement, ...]:
        """Return the announcements of new and of restarted instances."""
        announcements = []
        for instance, (announcement, _) in self._announcements_by_id.items():
            record = records_by_id.get(instance)
            if record is None or record.incarnation < announcement.incarnation:
                announcements.append(announcement)
        return tuple(announcements)

    def presence_by_data_centre(
        self,
        records_by_id: Mapping[ids.InstanceId, fleet.InstanceRecord],
        entries: Iterable[membership.EntryRecord],
        now: float,
    ) -> dict[ids.DataCentreId, planning.DataCentrePresence]:
        """Return which instances the live entries of each data centre miss.

        An instance is missing only if none of its observers hears it.
        """
        reporters = self._live_reporters(entries)
        missing_by_data_centre: dict[ids.DataCentreId, set[ids.InstanceId]] = {
            reporter.data_centre: set()
            for reporter in reporters
            if reporter.is_warmed_up(now)
        }
        observers_by_data_centre = _observers_by_data_centre(reporters)
        for record in records_by_id.values():
            observers = observers_by_data_centre.get(
                record.data_centre, reporters
            )
            if not observers or not all(
                observer.is_warmed_up(now) and not observer.hears(record)
                for observer in observers
            ):
                continue
            for reporter in reporters:
                is_observer = reporter in observers
                if reporter.is_warmed_up(now) and reporter.reports_missing(
                    record, is_observer
                ):
                    missing_by_data_centre[reporter.data_centre].add(record.id)
        return {
            data_centre: planning.DataCentrePresence(frozenset(missing))
            for data_centre, missing in missing_by_data_centre.items()
        }

    def returned_instances(
        self,
        records_by_id: Mapping[ids.InstanceId, fleet.InstanceRecord],
        entries: Iterable[membership.EntryRecord],
        now: float,
    ) -> frozenset[ids.InstanceId]:
        """Return lost or maintained instances that are present again.

        An instance in maintenance must have been absent first, because it
        keeps announcing itself until it goes down.
        """
        reporters = self._live_reporters(entries)
        observers_by_data_centre = _observers_by_data_centre(reporters)
        returned = set()
        for instance, record in records_by_id.items():
            if record.state not in _ABSENT_STATES:
                self._confirmed_absent.discard(instance)
                continue
            observers = observers_by_data_centre.get(
                record.data_centre, reporters
            )
            if not any(observer.hears(record) for observer in observers):
                if observers and all(
                    observer.is_warmed_up(now) for observer in observers
                ):
                    self._confirmed_absent.add(instance)
            elif (
                record.state is fleet.InstanceState.LOST
                or instance in self._confirmed_absent
            ):
                returned.add(instance)
        return frozenset(returned)

    def drained_instances(
        self,
        records_by_id: Mapping[ids.InstanceId, fleet.InstanceRecord],
        now: float,
    ) -> frozenset[ids.InstanceId]:
        """Return draining instances that announce that nothing is running."""
        draining = {
            instance
            for instance, record in records_by_id.items()
            if record.state is fleet.InstanceState.DRAINING
        }
        for instance in list(self._draining_since):
            if instance not in draining:
                del self._draining_since[instance]
        drained = set()
        for instance in draining:
            draining_since = self._draining_since.setdefault(instance, now)
            latest = self._announcements_by_id.get(instance)
            if latest is None:
                continue
            announcement, announced_at = latest
            if (
                announcement.running == 0
                and announced_at >= draining_since + _DRAIN_CONFIRM_DELAY_S
            ):
                drained.add(instance)
        return frozenset(drained)

    def _apply_presence(
        self,
        reporter: _Reporter,
        presence: membership.Presence,
        now: float,
    ) -> None:
        announcement = presence.announcement
        announced_at = now - presence.age_s
        latest = self._announcements_by_id.get(announcement.id)
        if latest is None or (announcement.incarnation, announced_at) >= (
            latest[0].incarnation,
            latest[1],
        ):
            self._announcements_by_id[announcement.id] = (
                announcement,
                announced_at,
            )
        if announcement.data_centre != reporter.data_centre:
            if not presence.suspected:
                reporter.heard_elsewhere.add(announcement.id)
            return
        sighting = (
            _Sighting.SUSPECTED if presence.suspected else _Sighting.PRESENT
        )
        reporter.sightings_by_instance[announcement.id] = (
            sighting,
            announcement.incarnation,
        )

    def _live_reporters(
        self, entries: Iterable[membership.EntryRecord]
    ) -> list[_Reporter]:
        """Return a reporter for each live entry, empty before its reports."""
        live_reporters = []
        for entry in entries:
            if not entry.live:
                continue
            reporter = self._reporters_by_entry.get(entry.id)
            if reporter is None or reporter.incarnation != entry.incarnation:
                reporter = _Reporter(entry.incarnation, entry.data_centre)
            live_reporters.append(reporter)
        return live_reporters


def _observers_by_data_centre(
    reporters: Iterable[_Reporter],
) -> dict[ids.DataCentreId, list[_Reporter]]:
    """Return the reporters of each data centre, which observe its targets."""
    reporters_by_data_centre: dict[ids.DataCentreId, list[_Reporter]] = {}
    for reporter in reporters:
        reporters_by_data_centre.setdefault(reporter.data_centre, []).append(
            reporter
        )
    return reporters_by_data_centre

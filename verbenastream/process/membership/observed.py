"""What one entry holds about targets and about other entries."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import zlib

from verbenastream import ids
from verbenastream.process.membership import damping
from verbenastream.process.membership import messages

# A target announces every second; one lost announcement is no suspicion,
# and two lost ones with their network delay remove it.
SUSPECT_AFTER_S = 1.5
REMOVE_AFTER_S = 2.5
# An entry whose reports stay away this long no longer counts.
PEER_TIMEOUT_S = 5.0
# Above this share lost at once, the observer may itself be cut off.
_CORRELATED_SHARE = 1 / 3
_TOMBSTONE_S = 600.0
_NEVER = float('-inf')


@dataclasses.dataclass(slots=True)
class Opinion:
    """What an entry of the target's data centre says about it."""

    incarnation: ids.Incarnation
    suspected: bool


@dataclasses.dataclass(slots=True)
class Observed:
    """One target.

    ``heard_at`` counts announcements that reached any entry of the data
    centre, ``heard_directly_at`` only those that reached this entry.
    ``silent`` is the last judgement on its age, ``suspected`` includes the
    damping. ``reported_suspected`` and ``reported_running`` are what the
    others were told last.
    """

    announcement: messages.Announcement
    heard_at: float
    heard_directly_at: float = _NEVER
    silent: bool = False
    suspected: bool = False
    reported_suspected: bool | None = None
    reported_running: int = 0
    confirmed_lost: bool = False
    opinions_by_entry: dict[ids.EntryId, Opinion] = dataclasses.field(
        default_factory=dict
    )

    @property
    def all_suspect(self) -> bool:
        """Whether no entry of the target's data centre hears it."""
        return all(
            opinion.suspected for opinion in self.opinions_by_entry.values()
        )


@dataclasses.dataclass(slots=True)
class Peer:
    """Another entry; ``heard_at`` is the time of its last report."""

    data_centre: ids.DataCentreId
    incarnation: ids.Incarnation
    heard_at: float


def digest(rows: Iterable[tuple[str, int, bool]]) -> str:
    """Return a digest of (id, incarnation, suspected) rows.

    CRC32 suffices: a difference that it misses is found by the next change.
    """
    text = ','.join(
        f'{name}/{incarnation}/{suspected:d}'
        for name, incarnation, suspected in sorted(rows)
    )
    return f'{zlib.crc32(text.encode()):08x}'


class Store:
    """All targets and peers of one entry, judged by their age.

    ``changed`` is set when a target appears, changes or goes. ``news`` are
    targets whose state may differ from what was reported, so that a tick
    costs nothing for the others.
    """

    def __init__(self, data_centre: ids.DataCentreId) -> None:
        self.data_centre = data_centre
        self.targets_by_id: dict[ids.InstanceId, Observed] = {}
        self.peers_by_id: dict[ids.EntryId, Peer] = {}
        self.changed = False
        self.news: set[ids.InstanceId] = set()
        self._ids_by_centre: dict[ids.DataCentreId, set[ids.InstanceId]] = {}
        self._live_before: frozenset[ids.EntryId] = frozenset()
        self._removed_by_id: dict[
            ids.InstanceId, tuple[ids.Incarnation, float]
        ] = {}
        self._damping = damping.Damping()
        # Which targets an entry has an opinion on, so that the digest of one
        # entry needs no scan of all targets.
        self.instances_by_reporter: dict[ids.EntryId, set[ids.InstanceId]] = {}
        self._live_centres: frozenset[ids.DataCentreId] = frozenset()
        self._live_centres_at = _NEVER

    def receive_from(self, entry: ids.EntryId, peer: Peer) -> None:
        """Note that a report of ``entry`` arrived."""
        self.peers_by_id[entry] = peer
        self._live_centres_at = _NEVER

    def set_opinion(
        self, found: Observed, entry: ids.EntryId, opinion: Opinion
    ) -> None:
        found.opinions_by_entry[entry] = opinion
        self.instances_by_reporter.setdefault(entry, set()).add(
            found.announcement.id
        )

    def drop_opinion(self, found: Observed, entry: ids.EntryId) -> None:
        if found.opinions_by_entry.pop(entry, None) is not None:
            self.instances_by_reporter[entry].discard(found.announcement.id)

    def hear(
        self,
        announcement: messages.Announcement,
        heard_at: float,
        now: float,
    ) -> Observed:
        """Take an announcement that reached this or another entry."""
        found = self.targets_by_id.get(announcement.id)
        if found is None:
            found = Observed(announcement, heard_at)
            self.targets_by_id[announcement.id] = found
            self._file(found)
            if self._removed_by_id.pop(announcement.id, None) is not None:
                self._damping.recovered(announcement.id, now)
            self.changed = True
        elif heard_at >= found.heard_at:
            self.changed |= found.announcement != announcement
            if found.announcement.data_centre != announcement.data_centre:
                self._unfile(found)
                found.announcement = announcement
                self._file(found)
            found.announcement = announcement
            found.heard_at = heard_at
        if self.is_home(found, now):
            self._judge(found, now)
        return found

    def known_incarnation(self, instance: ids.InstanceId) -> ids.Incarnation:
        found = self.targets_by_id.get(instance)
        if found is not None:
            return found.announcement.incarnation
        removed = self._removed_by_id.get(instance)
        return ids.Incarnation(0) if removed is None else removed[0]

    def is_home(self, found: Observed, now: float) -> bool:
        """Whether this entry judges the target.

        A target whose data centre has no live entry is judged by all.
        """
        home = found.announcement.data_centre
        return home == self.data_centre or not self.has_entries(home, now)

    def has_entries(self, home: ids.DataCentreId, now: float) -> bool:
        """Whether an entry of that data centre was heard of recently."""
        if now != self._live_centres_at:
            self._live_centres_at = now
            self._live_centres = frozenset(
                peer.data_centre
                for peer in self.peers_by_id.values()
                if now - peer.heard_at <= PEER_TIMEOUT_S
            )
        return home in self._live_centres

    def set_suspected(self, found: Observed, value: bool) -> None:
        if found.suspected != value:
            found.suspected = value
            self.changed = True
            self.news.add(found.announcement.id)

    def remove(self, instance: ids.InstanceId, now: float) -> None:
        found = self.targets_by_id.pop(instance)
        self._unfile(found)
        for entry in list(found.opinions_by_entry):
            self.drop_opinion(found, entry)
        self._removed_by_id[instance] = (found.announcement.incarnation, now)
        self.changed = True

    def judge_all(self, now: float) -> list[ids.InstanceId]:
        """Suspect and remove by age; return the removed targets.

        When more than a third of the judged targets are silent at once, they
        stay suspected until an entry of another data centre confirms that it
        does not hear them either: this entry may be the one cut off.
        """
        self._follow_entries(now)
        home = [
            self.targets_by_id[instance]
            for centre, instances in self._ids_by_centre.items()
            if centre == self.data_centre or not self.has_entries(centre, now)
            for instance in instances
        ]
        for found in home:
            self._judge(found, now)
        silent = [found for found in home if found.silent]
        correlated = len(silent) > len(home) * _CORRELATED_SHARE
        removed = [
            found.announcement.id
            for found in silent
            if now - found.heard_at > REMOVE_AFTER_S
            and (found.confirmed_lost or not correlated)
        ]
        for instance in removed:
            self.remove(instance, now)
        return removed

    def forget_old(self, now: float) -> None:
        self._damping.forget_old(now)
        for instance, (_, removed_at) in list(self._removed_by_id.items()):
            if now - removed_at > _TOMBSTONE_S:
                del self._removed_by_id[instance]
        for entry, peer in list(self.peers_by_id.items()):
            if now - peer.heard_at > _TOMBSTONE_S:
                del self.peers_by_id[entry]
                self.instances_by_reporter.pop(entry, None)

    def _judge(self, found: Observed, now: float) -> None:
        """Suspect a target by its age and its history."""
        instance = found.announcement.id
        silent = now - found.heard_at > SUSPECT_AFTER_S
        if found.silent and not silent:
            self._damping.recovered(instance, now)
        found.silent = silent
        if not silent:
            found.confirmed_lost = False
        self.set_suspected(
            found, silent or self._damping.is_held(instance, now)
        )

    def _follow_entries(self, now: float) -> None:
        """Drop the opinions of entries that are no longer heard of.

        Opinions change suspicion when they arrive, so the targets need a
        look only when the set of live entries has changed.
        """
        live = frozenset(
            entry
            for entry, peer in self.peers_by_id.items()
            if now - peer.heard_at <= PEER_TIMEOUT_S
        )
        if live == self._live_before:
            return
        self._live_before = live
        for instance, found in self.targets_by_id.items():
            for entry in list(found.opinions_by_entry):
                if entry not in live:
                    self.drop_opinion(found, entry)
            if self.is_home(found, now):
                self.news.add(instance)
            else:
                self.set_suspected(found, found.all_suspect)

    def _file(self, found: Observed) -> None:
        announcement = found.announcement
        self._ids_by_centre.setdefault(announcement.data_centre, set()).add(
            announcement.id
        )
        self.news.add(announcement.id)

    def _unfile(self, found: Observed) -> None:
        announcement = found.announcement
        self._ids_by_centre[announcement.data_centre].discard(announcement.id)

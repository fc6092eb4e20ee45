"""The targets and other entries that one entry observes."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import zlib

from verbenastream import ids
from verbenastream.process.membership import damping
from verbenastream.process.membership import messages

# A target announces itself every second. It is suspected after one lost
# announcement and removed after two, with half a second for network delay.
SUSPECT_AFTER_S = 1.5
REMOVE_AFTER_S = 2.5
# An entry that has sent no report for this long no longer counts as live.
PEER_TIMEOUT_S = 5.0
# If more than this share is lost at once, the observer itself may be cut off.
_CORRELATED_LOSS_SHARE = 1 / 3
_TOMBSTONE_RETENTION_S = 600.0
_NEVER = float('-inf')


@dataclasses.dataclass(slots=True)
class Observation:
    """What an entry of the target's data centre reports about it."""

    incarnation: ids.Incarnation
    suspected: bool


@dataclasses.dataclass(slots=True)
class ObservedTarget:
    """The state of one target as this entry observes it.

    ``heard_at`` is the time of the last announcement that reached any entry
    of the data centre, ``heard_directly_at`` of the last one that reached this
    entry. ``silent`` means that the last announcement is too old;
    ``suspected`` also includes the flap damping. ``reported_suspected`` and
    ``reported_running`` are the values last reported to other entries.
    ``confirmed_lost`` is set if another data centre does not hear the target
    either.
    """

    announcement: messages.Announcement
    heard_at: float
    heard_directly_at: float = _NEVER
    silent: bool = False
    suspected: bool = False
    reported_suspected: bool | None = None
    reported_running: int = 0
    confirmed_lost: bool = False
    observations_by_entry: dict[ids.EntryId, Observation] = dataclasses.field(
        default_factory=dict
    )

    @property
    def suspected_by_all(self) -> bool:
        """Whether no entry of the target's data centre hears it."""
        return all(
            observation.suspected
            for observation in self.observations_by_entry.values()
        )


@dataclasses.dataclass(slots=True)
class Peer:
    """Another entry; ``heard_at`` is the time of its last report."""

    data_centre: ids.DataCentreId
    incarnation: ids.Incarnation
    heard_at: float


def digest(observations: Iterable[tuple[str, int, bool]]) -> str:
    """Return a digest of (id, incarnation, suspected) tuples.

    CRC32 suffices: the next change reveals a difference that it misses.
    """
    text = ','.join(
        f'{name}/{incarnation}/{suspected:d}'
        for name, incarnation, suspected in sorted(observations)
    )
    return f'{zlib.crc32(text.encode()):08x}'


class TargetStore:
    """The targets and peers known to one entry, and which are suspected.

    ``changed`` is set when a target appears, changes or is removed.
    ``unreported`` holds the targets whose state may differ from what was
    reported, so that a tick does not have to check all targets.
    """

    def __init__(self, data_centre: ids.DataCentreId) -> None:
        self.data_centre = data_centre
        self.targets_by_id: dict[ids.InstanceId, ObservedTarget] = {}
        self.peers_by_id: dict[ids.EntryId, Peer] = {}
        self.changed = False
        self.unreported: set[ids.InstanceId] = set()
        self._ids_by_data_centre: dict[
            ids.DataCentreId, set[ids.InstanceId]
        ] = {}
        self._last_live_entries: frozenset[ids.EntryId] = frozenset()
        self._tombstones_by_id: dict[
            ids.InstanceId, tuple[ids.Incarnation, float]
        ] = {}
        self._flap_damping = damping.FlapDamping()
        # The targets that each entry has an observation of, so that the digest
        # of an entry needs no scan of all targets.
        self.instances_by_reporter: dict[ids.EntryId, set[ids.InstanceId]] = {}
        self._live_data_centres: frozenset[ids.DataCentreId] = frozenset()
        self._live_data_centres_at = _NEVER

    def update_peer(self, entry: ids.EntryId, peer: Peer) -> None:
        """Record that a report of ``entry`` arrived."""
        self.peers_by_id[entry] = peer
        self._live_data_centres_at = _NEVER

    def set_observation(
        self,
        target: ObservedTarget,
        entry: ids.EntryId,
        observation: Observation,
    ) -> None:
        target.observations_by_entry[entry] = observation
        self.instances_by_reporter.setdefault(entry, set()).add(
            target.announcement.id
        )

    def remove_observation(
        self, target: ObservedTarget, entry: ids.EntryId
    ) -> None:
        if target.observations_by_entry.pop(entry, None) is not None:
            self.instances_by_reporter[entry].discard(target.announcement.id)

    def apply_announcement(
        self,
        announcement: messages.Announcement,
        heard_at: float,
        now: float,
    ) -> ObservedTarget:
        """Apply an announcement that reached this or another entry."""
        target = self.targets_by_id.get(announcement.id)
        if target is None:
            target = ObservedTarget(announcement, heard_at)
            self.targets_by_id[announcement.id] = target
            self._add_to_index(target)
            if self._tombstones_by_id.pop(announcement.id, None) is not None:
                self._flap_damping.record_recovery(announcement.id, now)
            self.changed = True
        elif heard_at >= target.heard_at:
            self.changed |= target.announcement != announcement
            if target.announcement.data_centre != announcement.data_centre:
                self._remove_from_index(target)
                target.announcement = announcement
                self._add_to_index(target)
            target.announcement = announcement
            target.heard_at = heard_at
        if self.is_responsible_for(target, now):
            self._update_suspicion(target, now)
        return target

    def known_incarnation(self, instance: ids.InstanceId) -> ids.Incarnation:
        """Return the latest known incarnation, also of a removed target."""
        target = self.targets_by_id.get(instance)
        if target is not None:
            return target.announcement.incarnation
        tombstone = self._tombstones_by_id.get(instance)
        return ids.Incarnation(0) if tombstone is None else tombstone[0]

    def is_responsible_for(self, target: ObservedTarget, now: float) -> bool:
        """Whether this entry decides if the target is suspected.

        The entries of the target's data centre do, or all entries if its data
        centre has no live entry.
        """
        data_centre = target.announcement.data_centre
        return data_centre == self.data_centre or not self.has_live_entry(
            data_centre, now
        )

    def has_live_entry(
        self, data_centre: ids.DataCentreId, now: float
    ) -> bool:
        """Whether an entry of that data centre reported recently."""
        if now != self._live_data_centres_at:
            self._live_data_centres_at = now
            self._live_data_centres = frozenset(
                peer.data_centre
                for peer in self.peers_by_id.values()
                if now - peer.heard_at <= PEER_TIMEOUT_S
            )
        return data_centre in self._live_data_centres

    def set_suspected(self, target: ObservedTarget, value: bool) -> None:
        if target.suspected != value:
            target.suspected = value
            self.changed = True
            self.unreported.add(target.announcement.id)

    def remove(self, instance: ids.InstanceId, now: float) -> None:
        target = self.targets_by_id.pop(instance)
        self._remove_from_index(target)
        for entry in list(target.observations_by_entry):
            self.remove_observation(target, entry)
        self._tombstones_by_id[instance] = (
            target.announcement.incarnation,
            now,
        )
        self.changed = True

    def update_suspicions(self, now: float) -> list[ids.InstanceId]:
        """Suspect or remove silent targets; return the removed ones.

        Only the targets that this entry is responsible for are checked. If
        more than a third of them are silent at once, they stay suspected until
        an entry of another data centre confirms that it does not hear them
        either, because this entry itself may be cut off.
        """
        self._drop_stale_observations(now)
        responsible_targets = [
            self.targets_by_id[instance]
            for data_centre, instances in self._ids_by_data_centre.items()
            if data_centre == self.data_centre
            or not self.has_live_entry(data_centre, now)
            for instance in instances
        ]
        for target in responsible_targets:
            self._update_suspicion(target, now)
        silent = [target for target in responsible_targets if target.silent]
        correlated = (
            len(silent) > len(responsible_targets) * _CORRELATED_LOSS_SHARE
        )
        removed = [
            target.announcement.id
            for target in silent
            if now - target.heard_at > REMOVE_AFTER_S
            and (target.confirmed_lost or not correlated)
        ]
        for instance in removed:
            self.remove(instance, now)
        return removed

    def remove_expired(self, now: float) -> None:
        """Remove tombstones, peers and flap histories that have expired."""
        self._flap_damping.remove_expired(now)
        for instance, (_, removed_at) in list(self._tombstones_by_id.items()):
            if now - removed_at > _TOMBSTONE_RETENTION_S:
                del self._tombstones_by_id[instance]
        for entry, peer in list(self.peers_by_id.items()):
            if now - peer.heard_at > _TOMBSTONE_RETENTION_S:
                del self.peers_by_id[entry]
                self.instances_by_reporter.pop(entry, None)

    def _update_suspicion(self, target: ObservedTarget, now: float) -> None:
        """Suspect a target that is silent or has been flapping."""
        instance = target.announcement.id
        silent = now - target.heard_at > SUSPECT_AFTER_S
        if target.silent and not silent:
            self._flap_damping.record_recovery(instance, now)
        target.silent = silent
        if not silent:
            target.confirmed_lost = False
        self.set_suspected(
            target, silent or self._flap_damping.is_held(instance, now)
        )

    def _drop_stale_observations(self, now: float) -> None:
        """Remove the observations of entries that are no longer live.

        An observation updates the suspicion when it arrives, so the targets
        are checked only when the set of live entries has changed.
        """
        live = frozenset(
            entry
            for entry, peer in self.peers_by_id.items()
            if now - peer.heard_at <= PEER_TIMEOUT_S
        )
        if live == self._last_live_entries:
            return
        self._last_live_entries = live
        for instance, target in self.targets_by_id.items():
            for entry in list(target.observations_by_entry):
                if entry not in live:
                    self.remove_observation(target, entry)
            if self.is_responsible_for(target, now):
                self.unreported.add(instance)
            else:
                self.set_suspected(target, target.suspected_by_all)

    def _add_to_index(self, target: ObservedTarget) -> None:
        announcement = target.announcement
        self._ids_by_data_centre.setdefault(
            announcement.data_centre, set()
        ).add(announcement.id)
        self.unreported.add(announcement.id)

    def _remove_from_index(self, target: ObservedTarget) -> None:
        announcement = target.announcement
        self._ids_by_data_centre[announcement.data_centre].discard(
            announcement.id
        )

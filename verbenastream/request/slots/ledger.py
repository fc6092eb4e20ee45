"""Accounting of the slots of one target by its owner."""

from __future__ import annotations

import collections
import dataclasses
import math

from verbenastream import ids
from verbenastream.request import events
from verbenastream.version import fleet

# A grant is valid for 2 s at its holder. The owner waits a little longer,
# because clocks may drift apart by 1% and the holder's timer may be late.
GRANT_LIFETIME_S = 2.0
OWNER_MARGIN_S = 0.1
# An announcement may miss work that was sent less than this before it: the
# request may still have been in transit to the target.
MAX_TRANSIT_S = 0.25
# A present target announces once per second. Its last count is at most this
# old: with an older one the target would be suspected.
ANNOUNCEMENT_LIFETIME_S = 2.5
_PEAK_PERIOD_S = 1.0
# A pause costs as much capacity as one unconfirmed slot does in ten seconds,
# so a target is paused only for a use that stays unconfirmed for a while.
_PAUSE_DELAY_S = 3.0
_MAX_PAUSE_S = 3.0
_MIN_PAUSE_INTERVAL_S = 20.0


@dataclasses.dataclass(slots=True)
class Grant:
    """A slot that an entry may use.

    ``message_sequence`` is the sequence number of the message that carried
    the grant to the entry.
    """

    number: int
    instance: ids.InstanceId
    entry: ids.EntryId
    in_long_lane: bool
    message_sequence: int
    expires_at: float
    running_class: str = ''
    started_at: float = 0.0
    revoked: bool = False
    # Arrival time of the last report that lists the grant.
    confirmed_at: float = -math.inf


@dataclasses.dataclass(slots=True)
class UnconfirmedUse:
    """A slot whose work may still run, though no entry reports it.

    ``entry`` and ``term`` name the process whose next report tells whether
    the slot is in use, if that report acknowledges the message
    (``message_sequence``) that carried the grant. Without an entry only the
    target's own count of running work can show that the slot is free.
    """

    since: float
    entry: ids.EntryId | None = None
    term: int = 0
    message_sequence: int = 0


@dataclasses.dataclass(slots=True)
class TargetLedger:
    """Occupied slots of one target.

    A slot is occupied by a grant, by work that runs under a grant of an
    earlier owner (``prior_owner_uses_by_entry``), or by a use whose end is
    not confirmed (``unconfirmed_uses``).
    """

    record: fleet.InstanceRecord
    announced_running: int = 0
    announced_at: float = 0.0
    leaving: bool = False
    suspected: bool = False
    grants_by_number: dict[int, Grant] = dataclasses.field(
        default_factory=dict
    )
    prior_owner_uses_by_entry: dict[ids.EntryId, int] = dataclasses.field(
        default_factory=dict
    )
    unconfirmed_uses: list[UnconfirmedUse] = dataclasses.field(
        default_factory=list
    )
    # Set while this owner is new and does not know all running work. With a
    # ``learning_epoch``, learning ends early once all entries have reported
    # under that epoch.
    learning_since: float | None = None
    learning_epoch: ids.Epoch | None = None
    # Set while the target gets no new work, so that its count of running
    # work shows which unconfirmed uses have ended.
    paused_since: float | None = None
    next_pause_at: float = 0.0
    _prior_owner_uses: int = 0
    _prior_owner_reported_at_by_entry: dict[ids.EntryId, float] = (
        dataclasses.field(default_factory=dict)
    )
    _peak: int = 0
    _previous_peak: int = 0
    _peak_since: float = 0.0
    _ended_uses: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=1024)
    )

    @classmethod
    def from_target(
        cls, target: events.TargetInfo, now: float
    ) -> TargetLedger:
        """Return the ledger of a target that this entry did not own."""
        ledger = cls(record=target.record, learning_since=now)
        ledger.apply_announcement(target, now)
        return ledger

    @property
    def occupied_slots(self) -> int:
        """Number of slots that run work or may start it at any moment."""
        used = (
            len(self.grants_by_number)
            + self._prior_owner_uses
            + len(self.unconfirmed_uses)
        )
        if self.learning_since is not None:
            return max(used, self.record.slots)
        return used

    @property
    def free_slots(self) -> int:
        """Number of slots to grant; none if leaving, suspected or paused."""
        if self.leaving or self.suspected or self.paused_since is not None:
            return 0
        return self.record.slots - self.occupied_slots

    def set_prior_owner_uses(
        self, entry: ids.EntryId, count: int, now: float = -math.inf
    ) -> None:
        """Set how much work ``entry`` runs under grants of earlier owners.

        ``now`` is the arrival time of the entry's report. Without it the
        work counts as occupied, but not as confirmed to run.
        """
        self._prior_owner_reported_at_by_entry[entry] = now
        self._prior_owner_uses += count - self.prior_owner_uses_by_entry.get(
            entry, 0
        )
        if count:
            self.prior_owner_uses_by_entry[entry] = count
        else:
            self.prior_owner_uses_by_entry.pop(entry, None)

    def record_ended_use(self, start: float, end: float) -> None:
        """Record an ended use, which may explain an older announcement."""
        if self.unconfirmed_uses:
            self._ended_uses.append((start, end))

    def resolve_by_report(
        self, entry: ids.EntryId, term: int, received_sequence: int
    ) -> None:
        """Drop the unconfirmed uses that a report of the process covers."""
        self.unconfirmed_uses = [
            use
            for use in self.unconfirmed_uses
            if use.entry != entry
            or use.term != term
            or use.message_sequence > received_sequence
        ]

    def apply_announcement(
        self, target: events.TargetInfo, now: float
    ) -> None:
        """Apply the target's own count of running work."""
        self.record = target.record
        self.leaving = target.leaving
        self.suspected = target.suspected
        self.announced_running = target.running_count
        self.announced_at = now - target.age_s
        self.update_peak(now)
        peak = max(self._peak, self._previous_peak)
        if self.learning_since is None and self.announced_running > peak:
            # The target runs more than this owner accounted for.
            for _ in range(self.announced_running - peak):
                self.unconfirmed_uses.append(UnconfirmedUse(now))
            self.update_peak(now)
        self.apply_evidence(now)

    def apply_evidence(self, now: float) -> None:
        """End learning and unconfirmed uses as the announcement permits."""
        if self.suspected or not (
            self.unconfirmed_uses or self.learning_since is not None
        ):
            return
        proof_time = max(self.announced_at, now - ANNOUNCEMENT_LIFETIME_S)
        if self.learning_since is not None:
            self._end_learning(proof_time)
        if self.unconfirmed_uses:
            self._resolve_unconfirmed_uses(proof_time)

    def update_pause(self, now: float, may_pause: bool) -> bool:
        """Begin or end a pause without new work; returns whether paused.

        With a steady flow of short work, the target's count never falls
        below the number of slots in use, and an unconfirmed use would never
        be resolved. A pause of about a second resolves it.
        """
        if self.paused_since is not None:
            if (
                not self.unconfirmed_uses
                or now - self.paused_since > _MAX_PAUSE_S
            ):
                self.paused_since = None
                self.next_pause_at = now + _MIN_PAUSE_INTERVAL_S
        elif (
            may_pause
            and self.unconfirmed_uses
            and now >= self.next_pause_at
            and now - self.unconfirmed_uses[0].since > _PAUSE_DELAY_S
        ):
            self.paused_since = now
        return self.paused_since is not None

    def update_peak(self, now: float) -> None:
        """Update the peak of occupied slots in the last one to two periods.

        An announcement is up to a second old, so it is compared with the
        slots occupied at that time rather than with those occupied now.
        """
        if now - self._peak_since > _PEAK_PERIOD_S:
            outdated = now - self._peak_since > 2 * _PEAK_PERIOD_S
            self._previous_peak = (
                self.occupied_slots if outdated else self._peak
            )
            self._peak = self.occupied_slots
            self._peak_since = now
        self._peak = max(self._peak, self.occupied_slots)

    def _end_learning(self, proof_time: float) -> None:
        assert self.learning_since is not None
        grants_expired_at = (
            self.learning_since + GRANT_LIFETIME_S + OWNER_MARGIN_S
        )
        if proof_time < grants_expired_at + MAX_TRANSIT_S:
            return
        self.learning_since = None
        unreported = self.announced_running - self._count_confirmed_uses(
            proof_time
        )
        for _ in range(max(0, unreported)):
            self.unconfirmed_uses.append(UnconfirmedUse(grants_expired_at))

    def finish_learning(self, now: float) -> None:
        """End learning, because every possible holder has reported.

        Work that the target runs beyond their reports stays unconfirmed:
        entries do not report work that they abandoned and the target still
        runs.
        """
        self.learning_since = None
        unreported = self.announced_running - self._count_confirmed_uses(
            self.announced_at
        )
        for _ in range(max(0, unreported)):
            self.unconfirmed_uses.append(UnconfirmedUse(now))

    def _resolve_unconfirmed_uses(self, proof_time: float) -> None:
        resolvable = [
            use
            for use in self.unconfirmed_uses
            if use.since + MAX_TRANSIT_S <= proof_time
        ]
        if not resolvable:
            return
        max_unreported = max(
            0, self.announced_running - self._count_confirmed_uses(proof_time)
        )
        if max_unreported >= len(resolvable):
            return
        # The count does not tell which uses have ended, so the report of one
        # process must not resolve a kept use any more.
        kept = [UnconfirmedUse(use.since) for use in resolvable]
        resolvable_ids = set(map(id, resolvable))
        self.unconfirmed_uses = kept[:max_unreported] + [
            use
            for use in self.unconfirmed_uses
            if id(use) not in resolvable_ids
        ]
        if not self.unconfirmed_uses:
            self._ended_uses.clear()

    def _count_confirmed_uses(self, moment: float) -> int:
        """Count the uses that certainly ran at ``moment``.

        Work that was last reported before ``moment`` may have ended since,
        for instance if its entry is disconnected. Counting it would hide
        other running work.
        """
        margin_s = 0.02
        min_confirmed_at = moment + MAX_TRANSIT_S
        count = sum(
            uses
            for entry, uses in self.prior_owner_uses_by_entry.items()
            if self._prior_owner_reported_at_by_entry[entry]
            >= min_confirmed_at
        )
        for grant in self.grants_by_number.values():
            if (
                grant.running_class
                and grant.started_at <= moment - margin_s
                and grant.confirmed_at >= min_confirmed_at
            ):
                count += 1
        for start, end in self._ended_uses:
            if start <= moment - margin_s and end >= moment + margin_s:
                count += 1
        return count

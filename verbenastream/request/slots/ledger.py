"""Account of the slots of one target, kept by its owner."""

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
# An announcement says nothing about work that was sent within this time
# before it: the bytes may still have been on the way to the target.
TRANSIT_S = 0.25
# A present target announces once per second; without a newer event its last
# count is at most this old, or the target would be suspected.
ANNOUNCEMENT_LIFETIME_S = 2.5
_PEAK_PERIOD_S = 1.0
# A pause costs as much as a slot in doubt for ten seconds.
_DOUBT_PATIENCE_S = 3.0
_QUIET_LIMIT_S = 3.0
_QUIET_PERIOD_S = 20.0


@dataclasses.dataclass(slots=True)
class Grant:
    """A slot that an entry may use; ``message`` is the grant's carrier."""

    number: int
    instance: ids.InstanceId
    entry: ids.EntryId
    long: bool
    message: int
    expires: float
    running: str = ''
    started: float = 0.0
    revoked: bool = False
    # When the last report that lists the grant arrived.
    confirmed_at: float = -math.inf


@dataclasses.dataclass(slots=True)
class Doubt:
    """A slot whose work may still run, though nobody reports it.

    ``entry`` and ``term`` name the process whose next report settles the
    doubt, if that report knows the message (``message``) that carried the
    grant. Without an entry only the target's own count settles it.
    """

    since: float
    entry: ids.EntryId | None = None
    term: int = 0
    message: int = 0


@dataclasses.dataclass(slots=True)
class TargetLedger:
    """Slots of one target: granted, reported under others, in doubt.

    ``foreign_by_entry`` counts work that entries report but that runs under
    grants which this owner did not issue.
    """

    record: fleet.InstanceRecord
    running: int = 0
    announced_at: float = 0.0
    leaving: bool = False
    suspected: bool = False
    grants_by_number: dict[int, Grant] = dataclasses.field(
        default_factory=dict
    )
    foreign_by_entry: dict[ids.EntryId, int] = dataclasses.field(
        default_factory=dict
    )
    doubts: list[Doubt] = dataclasses.field(default_factory=list)
    # Learning: this owner is new and does not know all running work.
    # Under ``learning_epoch``, the reports of all entries complete it.
    learning_since: float | None = None
    learning_epoch: ids.Epoch | None = None
    # Gets no new work, so that its count shows what is in doubt.
    quiet_since: float | None = None
    quiet_until: float = 0.0
    _foreign: int = 0
    _foreign_at_by_entry: dict[ids.EntryId, float] = dataclasses.field(
        default_factory=dict
    )
    _peak: int = 0
    _earlier_peak: int = 0
    _peak_since: float = 0.0
    _uses: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=1024)
    )

    @classmethod
    def from_target(
        cls, target: events.TargetInfo, now: float
    ) -> TargetLedger:
        """Start the account of a target that this entry did not own."""
        ledger = cls(record=target.record, learning_since=now)
        ledger.announce(target, now)
        return ledger

    @property
    def occupied(self) -> int:
        """Slots that may run work now or at any moment."""
        used = len(self.grants_by_number) + self._foreign + len(self.doubts)
        if self.learning_since is not None:
            return max(used, self.record.slots)
        return used

    @property
    def free(self) -> int:
        """Slots that may be granted; none while leaving or suspected."""
        if self.leaving or self.suspected or self.quiet_since is not None:
            return 0
        return self.record.slots - self.occupied

    def set_foreign(
        self, entry: ids.EntryId, count: int, now: float = -math.inf
    ) -> None:
        """Record how much work of earlier owners ``entry`` still runs.

        ``now`` is when its report arrived; without one nothing is certain.
        """
        self._foreign_at_by_entry[entry] = now
        self._foreign += count - self.foreign_by_entry.get(entry, 0)
        if count:
            self.foreign_by_entry[entry] = count
        else:
            self.foreign_by_entry.pop(entry, None)

    def add_use(self, start: float, end: float) -> None:
        """Record an ended use, as evidence for ``_settle_doubts``."""
        if self.doubts:
            self._uses.append((start, end))

    def settle_entry(
        self, entry: ids.EntryId, term: int, received: int
    ) -> None:
        """Drop the doubts that a report of the same process settles."""
        self.doubts = [
            doubt
            for doubt in self.doubts
            if doubt.entry != entry
            or doubt.term != term
            or doubt.message > received
        ]

    def announce(self, target: events.TargetInfo, now: float) -> None:
        """Take the target's own count into account."""
        self.record = target.record
        self.leaving = target.leaving
        self.suspected = target.suspected
        self.running = target.running
        self.announced_at = now - target.age_s
        self.note_peak(now)
        peak = max(self._peak, self._earlier_peak)
        if self.learning_since is None and self.running > peak:
            # The target runs more than this owner ever had out.
            for _ in range(self.running - peak):
                self.doubts.append(Doubt(now))
            self.note_peak(now)
        self.check(now)

    def check(self, now: float) -> None:
        """Settle what the last announcement proves."""
        if self.suspected or not (
            self.doubts or self.learning_since is not None
        ):
            return
        proof_time = max(self.announced_at, now - ANNOUNCEMENT_LIFETIME_S)
        if self.learning_since is not None:
            self._end_learning(proof_time)
        if self.doubts:
            self._settle_doubts(proof_time)

    def update_quiet(self, now: float, may_start: bool) -> bool:
        """Begin or end a pause without new work; returns whether paused.

        With a steady flow of short work, the target's count never falls
        below the number of slots in use, and a doubt would never be settled.
        A pause of about a second settles it.
        """
        if self.quiet_since is not None:
            if not self.doubts or now - self.quiet_since > _QUIET_LIMIT_S:
                self.quiet_since = None
                self.quiet_until = now + _QUIET_PERIOD_S
        elif (
            may_start
            and self.doubts
            and now >= self.quiet_until
            and now - self.doubts[0].since > _DOUBT_PATIENCE_S
        ):
            self.quiet_since = now
        return self.quiet_since is not None

    def note_peak(self, now: float) -> None:
        """Keep the highest occupation of the last one to two periods.

        An announcement is up to a second old, so it is compared with what
        was out at that time rather than with what is out now.
        """
        if now - self._peak_since > _PEAK_PERIOD_S:
            stale = now - self._peak_since > 2 * _PEAK_PERIOD_S
            self._earlier_peak = self.occupied if stale else self._peak
            self._peak = self.occupied
            self._peak_since = now
        self._peak = max(self._peak, self.occupied)

    def _end_learning(self, proof_time: float) -> None:
        assert self.learning_since is not None
        quiet_since = self.learning_since + GRANT_LIFETIME_S + OWNER_MARGIN_S
        if proof_time < quiet_since + TRANSIT_S:
            return
        self.learning_since = None
        unknown = self.running - self._certain(proof_time)
        for _ in range(max(0, unknown)):
            self.doubts.append(Doubt(quiet_since))

    def finish_learning(self, now: float) -> None:
        """End learning, because every possible holder has reported.

        What the target runs beyond their reports stays in doubt: entries do
        not report work that they gave up and the target still runs.
        """
        self.learning_since = None
        unknown = self.running - self._certain(self.announced_at)
        for _ in range(max(0, unknown)):
            self.doubts.append(Doubt(now))

    def _settle_doubts(self, proof_time: float) -> None:
        old = [
            doubt
            for doubt in self.doubts
            if doubt.since + TRANSIT_S <= proof_time
        ]
        if not old:
            return
        at_most = max(0, self.running - self._certain(proof_time))
        if at_most >= len(old):
            return
        kept = set(map(id, old[at_most:]))
        self.doubts = [doubt for doubt in self.doubts if id(doubt) not in kept]
        if not self.doubts:
            self._uses.clear()

    def _certain(self, moment: float) -> int:
        """Count the uses that certainly ran at ``moment``.

        Work that was last reported before ``moment`` may have ended since, as
        with an entry that is cut off; counting it would hide other work.
        """
        margin = 0.02
        confirmed = moment + TRANSIT_S
        count = sum(
            running
            for entry, running in self.foreign_by_entry.items()
            if self._foreign_at_by_entry[entry] >= confirmed
        )
        for grant in self.grants_by_number.values():
            if (
                grant.running
                and grant.started <= moment - margin
                and grant.confirmed_at >= confirmed
            ):
                count += 1
        for start, end in self._uses:
            if start <= moment - margin and end >= moment + margin:
                count += 1
        return count

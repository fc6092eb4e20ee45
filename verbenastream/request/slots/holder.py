"""Slot grants that one entry holds, and its reports to the owners."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.request.slots import ledger
from verbenastream.request.slots import messages
from verbenastream.version.documents import schema

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

# Sent times of reports kept per owner. An answer to an older report would
# give an expired grant.
_SENT_TIMES = 256
# Ended uses kept for an owner that does not answer.
_MAX_ENDED = 4096
# Work that was given up less than this before a change of the owner is
# reported to the new owner: the target's last count may be older than it.
_UNCOUNTED_S = ledger.ANNOUNCEMENT_LIFETIME_S + ledger.TRANSIT_S
_SILENCE_S = 0.1


@dataclasses.dataclass(slots=True)
class HeldGrant:
    """A grant at its holder; ``request`` is set while work runs under it."""

    number: int
    instance: ids.InstanceId
    long: bool
    expires: float
    owner: ids.EntryId | None
    owner_term: int
    request: ids.RequestId | None = None
    running: str = ''
    started: float = 0.0
    revoked: bool = False
    # Stays the same when a new owner takes over the running work.
    key: tuple[ids.EntryId | None, int, int] = (None, 0, 0)


@dataclasses.dataclass(slots=True)
class _Use:
    serial: int
    instance: ids.InstanceId
    good: bool | None
    certain: bool
    start: float
    end: float


@dataclasses.dataclass(slots=True)
class Channel:
    """The conversation with one owner."""

    owner: ids.EntryId
    owner_term: int = 0
    sequence: int = 0
    answered: int = 0
    received: int = 0
    sent_at: float = -1.0
    last_serial: int = 0
    sent_times: collections.OrderedDict[int, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    uses: collections.deque[_Use] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_ENDED)
    )
    serial_by_sequence: dict[int, int] = dataclasses.field(
        default_factory=dict
    )
    # Something changed since the last report; urgent if work waits on it.
    changed: bool = False
    urgent: bool = False


class GrantHolder:
    """Keeps the grants of one entry by target.

    The holder is conservative: a grant is valid for its lifetime from the
    moment the report was sent that the owner answered, on the entry's own
    clock, so no comparison of clocks between entries is needed.
    """

    def __init__(
        self,
        entry: ids.EntryId,
        term: int,
        data_centre: str,
        release_own: Callable[[int], None],
    ) -> None:
        self._release_own = release_own
        self._entry = entry
        self._term = term
        self._data_centre = data_centre
        self.epoch = ids.Epoch(0)
        self._entries: tuple[ids.EntryId, ...] = ()
        self._epoch_since = 0.0
        self._previous: tuple[ids.Epoch, float, tuple[ids.EntryId, ...]] = (
            ids.Epoch(0),
            0.0,
            (),
        )
        self.channels_by_owner: dict[ids.EntryId, Channel] = {}
        self._grants_by_instance: dict[
            ids.InstanceId,
            dict[tuple[ids.EntryId | None, int, int], HeldGrant],
        ] = {}
        self._given_up: collections.deque[_Use] = collections.deque(
            maxlen=_MAX_ENDED
        )

    def channel(self, owner: ids.EntryId) -> Channel:
        """Return the conversation with ``owner``, a new one if need be."""
        found = self.channels_by_owner.get(owner)
        if found is None:
            found = Channel(owner)
            self.channels_by_owner[owner] = found
        return found

    def grants(self, instance: ids.InstanceId) -> Iterable[HeldGrant]:
        """Return the grants held for a target."""
        return self._grants_by_instance.get(instance, {}).values()

    def set_entries(
        self,
        epoch: ids.Epoch,
        entries: tuple[ids.EntryId, ...],
        now: float,
    ) -> None:
        """Enter ``epoch``; the caller then drops the grants of old owners."""
        self._previous = (self.epoch, now - self._epoch_since, self._entries)
        self._epoch_since = now
        self.epoch = epoch
        self._entries = entries

    def change_owner(
        self,
        instance: ids.InstanceId,
        owner: ids.EntryId | None,
        now: float,
    ) -> None:
        """Drop idle grants of another owner; running work is reported on.

        So is work that was given up lately and may still run at the target.
        """
        kept = self._grants_by_instance.get(instance, {})
        for key, grant in list(kept.items()):
            if grant.owner == owner:
                continue
            if grant.request is None:
                grant.revoked = True
                del kept[key]
            else:
                grant.owner = owner
                grant.number = 0
                grant.revoked = True
        if owner is not None:
            self._report_given_up(instance, self.channel(owner), now)
            self.touch(owner, urgent=True)

    def _report_given_up(
        self, instance: ids.InstanceId, channel: Channel, now: float
    ) -> None:
        while self._given_up and now - self._given_up[0].end > _UNCOUNTED_S:
            self._given_up.popleft()
        for use in self._given_up:
            if use.instance == instance:
                channel.last_serial += 1
                # The earlier owner has counted the failure already.
                channel.uses.append(
                    dataclasses.replace(
                        use, serial=channel.last_serial, good=None
                    )
                )

    def accept(
        self,
        owner: ids.EntryId,
        message: messages.Grants,
        now: float,
    ) -> list[HeldGrant]:
        """Apply grants and renewals; returns the new grants.

        A message is ignored if it is older than one already applied, answers
        a report of another incarnation of this entry, or belongs to another
        epoch.
        """
        channel = self.channel(owner)
        if message.entry_term != self._term or message.epoch != self.epoch:
            return []
        if message.owner_term < channel.owner_term:
            return []
        if message.owner_term > channel.owner_term:
            channel.owner_term = message.owner_term
            channel.received = 0
        if message.sequence <= channel.received:
            return []
        channel.received = message.sequence
        sent = channel.sent_times.get(message.answers)
        if sent is None:
            return []
        self._acknowledge(channel, message.answers)
        expires = sent + ledger.GRANT_LIFETIME_S
        self._renew(owner, message, expires)
        if expires <= now:
            return []
        return [
            self._add(owner, message.owner_term, new, expires)
            for new in message.granted
        ]

    def _acknowledge(self, channel: Channel, sequence: int) -> None:
        channel.answered = max(channel.answered, sequence)
        for old in [n for n in channel.sent_times if n < sequence]:
            del channel.sent_times[old]
        serial = channel.serial_by_sequence.get(sequence, 0)
        while channel.uses and channel.uses[0].serial <= serial:
            channel.uses.popleft()
        for old in [n for n in channel.serial_by_sequence if n <= sequence]:
            del channel.serial_by_sequence[old]

    def _renew(
        self, owner: ids.EntryId, message: messages.Grants, expires: float
    ) -> None:
        revoked = set(message.revoked)
        recalled = []
        for grants in self._grants_by_instance.values():
            for grant in grants.values():
                if grant.owner != owner or not grant.number:
                    continue
                if grant.owner_term != message.owner_term:
                    continue
                grant.expires = max(grant.expires, expires)
                if grant.number in revoked:
                    grant.revoked = True
                    if grant.request is None:
                        recalled.append(grant)
        for grant in recalled:
            self.release(grant)

    def _add(
        self,
        owner: ids.EntryId,
        term: int,
        new: messages.NewGrant,
        expires: float,
    ) -> HeldGrant:
        grant = HeldGrant(
            new.number,
            new.instance,
            new.long,
            expires,
            owner,
            term,
            key=(owner, term, new.number),
        )
        grants = self._grants_by_instance.setdefault(new.instance, {})
        grants[grant.key] = grant
        return grant

    def start(
        self,
        grant: HeldGrant,
        request: ids.RequestId,
        running: str,
        now: float,
    ) -> None:
        """Note that a request runs under ``grant`` from now on."""
        grant.request = request
        grant.running = running
        grant.started = now
        if grant.owner is not None:
            self.touch(grant.owner, urgent=False)

    def finish(
        self,
        grant: HeldGrant,
        good: bool | None,
        certain: bool,
        now: float,
    ) -> bool:
        """End the work under a grant; returns whether it can be reused."""
        grant.request = None
        grant.running = ''
        if grant.owner is not None:
            channel = self.channel(grant.owner)
            channel.last_serial += 1
            use = _Use(
                channel.last_serial,
                grant.instance,
                good,
                certain,
                grant.started,
                now,
            )
            channel.uses.append(use)
            if not certain:
                self._given_up.append(use)
            self.touch(grant.owner, urgent=not (good and certain))
        if not certain or grant.revoked or grant.expires <= now:
            self.release(grant, certain)
            return False
        return True

    def reclassify(self, grant: HeldGrant, running: str) -> None:
        """Report running work under another class."""
        grant.running = running
        grant.long = running == schema.WorkClass.LONG.value
        if grant.owner is not None:
            self.touch(grant.owner, urgent=False)

    def is_silent(self, owner: ids.EntryId | None, now: float) -> bool:
        """Whether the owner has left a report unanswered for a while.

        Slots that are returned to such an owner are lost until a new owner
        has learned, so they are better kept until they expire.
        """
        channel = self.channels_by_owner.get(owner) if owner else None
        if channel is None:
            return False
        sent = channel.sent_times.get(channel.answered + 1)
        return sent is not None and now - sent > _SILENCE_S

    def leave_long_lane(self, grant: HeldGrant) -> None:
        """Use the slot for short work; the owner may then grant a long one."""
        grant.long = False
        if grant.owner is not None:
            self.touch(grant.owner, urgent=True)

    def release(self, grant: HeldGrant, certain: bool = True) -> None:
        """Give a grant back; the next report no longer lists it.

        A grant of this process's own owner is free at once, unless the work
        may still run: then the report tells the owner about both together.
        """
        grants = self._grants_by_instance.get(grant.instance, {})
        if grants.get(grant.key) is not grant:
            return
        del grants[grant.key]
        grant.revoked = True
        if not grants:
            self._grants_by_instance.pop(grant.instance, None)
        if (
            grant.owner == self._entry
            and grant.number
            and grant.owner_term == self._term
            and certain
        ):
            self._release_own(grant.number)
            self.touch(grant.owner, urgent=False)
            return
        if grant.owner is not None:
            self.touch(grant.owner, urgent=True)

    def touch(self, owner: ids.EntryId, urgent: bool) -> None:
        """Note a change for ``owner``; urgent if work waits on the report."""
        channel = self.channel(owner)
        channel.changed = True
        channel.urgent = channel.urgent or urgent

    def report(
        self,
        owner: ids.EntryId,
        demands: tuple[messages.Demand, ...],
        now: float,
    ) -> messages.Report:
        """Return the report that is due to ``owner``."""
        channel = self.channel(owner)
        channel.sequence += 1
        channel.sent_at = now
        channel.changed = False
        channel.urgent = False
        channel.sent_times[channel.sequence] = now
        if len(channel.sent_times) > _SENT_TIMES:
            channel.sent_times.popitem(last=False)
        channel.serial_by_sequence[channel.sequence] = channel.last_serial
        if len(channel.serial_by_sequence) > _SENT_TIMES:
            del channel.serial_by_sequence[min(channel.serial_by_sequence)]
        epoch, age, entries = self._previous
        return messages.Report(
            epoch=self.epoch,
            term=self._term,
            sequence=channel.sequence,
            received=channel.received,
            owner_term=channel.owner_term,
            data_centre=self._data_centre,
            previous_epoch=epoch,
            previous_age_s=age,
            previous_entries=entries,
            held=tuple(self._held(owner, now)),
            demands=demands,
            ended=tuple(_ended(use, now) for use in channel.uses),
        )

    def _held(self, owner: ids.EntryId, now: float) -> Iterable[messages.Held]:
        for instance, grants in self._grants_by_instance.items():
            for grant in grants.values():
                if grant.owner != owner:
                    continue
                if grant.request is None and grant.expires <= now:
                    continue
                yield messages.Held(
                    grant.number,
                    instance,
                    grant.running,
                    now - grant.started if grant.request else 0.0,
                    grant.owner_term,
                    grant.long,
                )


def _ended(use: _Use, now: float) -> messages.Ended:
    return messages.Ended(
        use.serial,
        use.instance,
        use.good,
        use.certain,
        now - use.start,
        now - use.end,
    )

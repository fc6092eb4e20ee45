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

# Number of reports whose sending time is kept per owner. The answer to an
# older one would only carry expired grants.
_MAX_SENT_TIMES = 256
# Bound on the unacknowledged ended uses that are kept for an owner.
_MAX_ENDED_USES = 4096
# Work abandoned less than this before a change of owner is reported to the
# new owner: the target's last count may predate it.
_ABANDONED_USE_LIFETIME_S = (
    ledger.ANNOUNCEMENT_LIFETIME_S + ledger.MAX_TRANSIT_S
)
_UNRESPONSIVE_AFTER_S = 0.1


@dataclasses.dataclass(slots=True)
class HeldGrant:
    """A grant at its holder; ``request`` is the request that uses it."""

    number: int
    instance: ids.InstanceId
    in_long_lane: bool
    expires_at: float
    owner: ids.EntryId | None
    owner_term: int
    request: ids.RequestId | None = None
    running_class: str = ''
    started_at: float = 0.0
    revoked: bool = False
    # (owner, owner's term, number) at the time of the grant. It stays the
    # same when a new owner takes over the running work.
    key: tuple[ids.EntryId | None, int, int] = (None, 0, 0)


@dataclasses.dataclass(slots=True)
class _EndedUse:
    serial: int
    instance: ids.InstanceId
    succeeded: bool | None
    end_confirmed: bool
    started_at: float
    ended_at: float


@dataclasses.dataclass(slots=True)
class Channel:
    """State of the reports to one owner and of its answers."""

    owner: ids.EntryId
    owner_term: int = 0
    sequence: int = 0
    answered_sequence: int = 0
    received_sequence: int = 0
    sent_at: float = -1.0
    last_use_serial: int = 0
    sent_times: collections.OrderedDict[int, float] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    ended_uses: collections.deque[_EndedUse] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_ENDED_USES)
    )
    serial_by_sequence: dict[int, int] = dataclasses.field(
        default_factory=dict
    )
    # Whether something changed since the last report, and whether work
    # waits for the owner to learn of it.
    changed: bool = False
    urgent: bool = False


class GrantHolder:
    """Keeps the grants of one entry by target.

    The lifetime of a grant starts when the entry sent the report that the
    owner answered. It is measured on the entry's own clock, so clocks of
    different entries need not agree.
    """

    def __init__(
        self,
        entry: ids.EntryId,
        term: int,
        data_centre: str,
        release_local: Callable[[int], None],
    ) -> None:
        self._release_local = release_local
        self._entry = entry
        self._term = term
        self._data_centre = data_centre
        self.epoch = ids.Epoch(0)
        self._entries: tuple[ids.EntryId, ...] = ()
        self._epoch_entered_at = 0.0
        self._previous_entry_set: tuple[
            ids.Epoch, float, tuple[ids.EntryId, ...]
        ] = (
            ids.Epoch(0),
            0.0,
            (),
        )
        self.channels_by_owner: dict[ids.EntryId, Channel] = {}
        self._grants_by_instance: dict[
            ids.InstanceId,
            dict[tuple[ids.EntryId | None, int, int], HeldGrant],
        ] = {}
        self._abandoned_uses: collections.deque[_EndedUse] = collections.deque(
            maxlen=_MAX_ENDED_USES
        )

    def channel(self, owner: ids.EntryId) -> Channel:
        """Return the channel to ``owner``; creates it if it is missing."""
        channel = self.channels_by_owner.get(owner)
        if channel is None:
            channel = Channel(owner)
            self.channels_by_owner[owner] = channel
        return channel

    def grants(self, instance: ids.InstanceId) -> Iterable[HeldGrant]:
        """Return the grants held for a target."""
        return self._grants_by_instance.get(instance, {}).values()

    def set_entries(
        self,
        epoch: ids.Epoch,
        entries: tuple[ids.EntryId, ...],
        now: float,
    ) -> None:
        """Switch to the entry set of ``epoch``.

        ``entries`` are all that may get grants, also those that leave.
        The caller then calls ``change_owner`` for each target whose owner
        changed.
        """
        self._previous_entry_set = (
            self.epoch,
            now - self._epoch_entered_at,
            self._entries,
        )
        self._epoch_entered_at = now
        self.epoch = epoch
        self._entries = entries

    def change_owner(
        self,
        instance: ids.InstanceId,
        owner: ids.EntryId | None,
        now: float,
    ) -> None:
        """Drop idle grants of earlier owners of a target.

        The new owner gets reports of the work that runs under such grants,
        and of recently abandoned work that the target may still run.
        """
        grants = self._grants_by_instance.get(instance, {})
        for key, grant in list(grants.items()):
            if grant.owner == owner:
                continue
            if grant.request is None:
                grant.revoked = True
                del grants[key]
            else:
                grant.owner = owner
                grant.number = 0
                grant.revoked = True
        if owner is not None:
            self._report_abandoned_uses(instance, self.channel(owner), now)
            self.mark_changed(owner, urgent=True)

    def _report_abandoned_uses(
        self, instance: ids.InstanceId, channel: Channel, now: float
    ) -> None:
        while (
            self._abandoned_uses
            and now - self._abandoned_uses[0].ended_at
            > _ABANDONED_USE_LIFETIME_S
        ):
            self._abandoned_uses.popleft()
        for use in self._abandoned_uses:
            if use.instance == instance:
                channel.last_use_serial += 1
                # The earlier owner has counted the failure already.
                channel.ended_uses.append(
                    dataclasses.replace(
                        use, serial=channel.last_use_serial, succeeded=None
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
        another incarnation of this entry, or belongs to another epoch.
        """
        channel = self.channel(owner)
        if message.entry_term != self._term or message.epoch != self.epoch:
            return []
        if message.owner_term < channel.owner_term:
            return []
        if message.owner_term > channel.owner_term:
            channel.owner_term = message.owner_term
            channel.received_sequence = 0
        if message.sequence <= channel.received_sequence:
            return []
        channel.received_sequence = message.sequence
        sent_at = channel.sent_times.get(message.report_sequence)
        if sent_at is None:
            return []
        self._acknowledge(channel, message.report_sequence)
        expires_at = sent_at + ledger.GRANT_LIFETIME_S
        self._renew(owner, message, expires_at)
        if expires_at <= now:
            return []
        return [
            self._add_grant(owner, message.owner_term, new, expires_at)
            for new in message.new_grants
        ]

    def _acknowledge(self, channel: Channel, sequence: int) -> None:
        channel.answered_sequence = max(channel.answered_sequence, sequence)
        for old in [n for n in channel.sent_times if n < sequence]:
            del channel.sent_times[old]
        serial = channel.serial_by_sequence.get(sequence, 0)
        while channel.ended_uses and channel.ended_uses[0].serial <= serial:
            channel.ended_uses.popleft()
        for old in [n for n in channel.serial_by_sequence if n <= sequence]:
            del channel.serial_by_sequence[old]

    def _renew(
        self, owner: ids.EntryId, message: messages.Grants, expires_at: float
    ) -> None:
        revoked = set(message.revoked_numbers)
        recalled = []
        for grants in self._grants_by_instance.values():
            for grant in grants.values():
                if grant.owner != owner or not grant.number:
                    continue
                if grant.owner_term != message.owner_term:
                    continue
                grant.expires_at = max(grant.expires_at, expires_at)
                if grant.number in revoked:
                    grant.revoked = True
                    if grant.request is None:
                        recalled.append(grant)
        for grant in recalled:
            self.release(grant)

    def _add_grant(
        self,
        owner: ids.EntryId,
        term: int,
        new: messages.NewGrant,
        expires_at: float,
    ) -> HeldGrant:
        grant = HeldGrant(
            new.number,
            new.instance,
            new.in_long_lane,
            expires_at,
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
        running_class: str,
        now: float,
    ) -> None:
        """Record that a request runs under ``grant`` from now on."""
        grant.request = request
        grant.running_class = running_class
        grant.started_at = now
        if grant.owner is not None:
            self.mark_changed(grant.owner, urgent=False)

    def finish(
        self,
        grant: HeldGrant,
        succeeded: bool | None,
        end_confirmed: bool,
        now: float,
    ) -> bool:
        """End the work under a grant; returns whether it can be reused."""
        grant.request = None
        grant.running_class = ''
        if grant.owner is not None:
            channel = self.channel(grant.owner)
            channel.last_use_serial += 1
            use = _EndedUse(
                channel.last_use_serial,
                grant.instance,
                succeeded,
                end_confirmed,
                grant.started_at,
                now,
            )
            channel.ended_uses.append(use)
            if not end_confirmed:
                self._abandoned_uses.append(use)
            self.mark_changed(
                grant.owner, urgent=not (succeeded and end_confirmed)
            )
        if not end_confirmed or grant.revoked or grant.expires_at <= now:
            self.release(grant, end_confirmed)
            return False
        return True

    def reclassify(self, grant: HeldGrant, running_class: str) -> None:
        """Report running work under another class."""
        grant.running_class = running_class
        grant.in_long_lane = running_class == schema.WorkClass.LONG.value
        if grant.owner is not None:
            self.mark_changed(grant.owner, urgent=False)

    def is_unresponsive(self, owner: ids.EntryId | None, now: float) -> bool:
        """Whether the owner has left a report unanswered for a while.

        A slot returned to such an owner stays unused until a new owner knows
        all running work, so it is better kept until its grant expires.
        """
        channel = self.channels_by_owner.get(owner) if owner else None
        if channel is None:
            return False
        sent_at = channel.sent_times.get(channel.answered_sequence + 1)
        return sent_at is not None and now - sent_at > _UNRESPONSIVE_AFTER_S

    def leave_long_lane(self, grant: HeldGrant) -> None:
        """Use the slot for short work, so that the long lane has room."""
        grant.in_long_lane = False
        if grant.owner is not None:
            self.mark_changed(grant.owner, urgent=True)

    def release(self, grant: HeldGrant, end_confirmed: bool = True) -> None:
        """Return a grant to its owner; the next report no longer lists it.

        A grant of this process's own owner is freed at once. If the work may
        still run, it is freed by the report, which also tells the owner that
        the end is not confirmed.
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
            and end_confirmed
        ):
            self._release_local(grant.number)
            self.mark_changed(grant.owner, urgent=False)
            return
        if grant.owner is not None:
            self.mark_changed(grant.owner, urgent=True)

    def mark_changed(self, owner: ids.EntryId, urgent: bool) -> None:
        """Schedule a report to ``owner``; urgent if work waits for it."""
        channel = self.channel(owner)
        channel.changed = True
        channel.urgent = channel.urgent or urgent

    def report(
        self,
        owner: ids.EntryId,
        demands: tuple[messages.Demand, ...],
        now: float,
    ) -> messages.Report:
        """Return the next report to ``owner``, to be sent now."""
        channel = self.channel(owner)
        channel.sequence += 1
        channel.sent_at = now
        channel.changed = False
        channel.urgent = False
        channel.sent_times[channel.sequence] = now
        if len(channel.sent_times) > _MAX_SENT_TIMES:
            channel.sent_times.popitem(last=False)
        channel.serial_by_sequence[channel.sequence] = channel.last_use_serial
        if len(channel.serial_by_sequence) > _MAX_SENT_TIMES:
            del channel.serial_by_sequence[min(channel.serial_by_sequence)]
        epoch, age, entries = self._previous_entry_set
        return messages.Report(
            epoch=self.epoch,
            term=self._term,
            sequence=channel.sequence,
            received_sequence=channel.received_sequence,
            owner_term=channel.owner_term,
            data_centre=self._data_centre,
            previous_epoch=epoch,
            previous_age_s=age,
            previous_entries=entries,
            held_grants=tuple(self._grant_statuses(owner, now)),
            demands=demands,
            ended_uses=tuple(
                _ended_use_message(use, now) for use in channel.ended_uses
            ),
        )

    def _grant_statuses(
        self, owner: ids.EntryId, now: float
    ) -> Iterable[messages.GrantStatus]:
        for instance, grants in self._grants_by_instance.items():
            for grant in grants.values():
                if grant.owner != owner:
                    continue
                if grant.request is None and grant.expires_at <= now:
                    continue
                yield messages.GrantStatus(
                    grant.number,
                    instance,
                    grant.running_class,
                    now - grant.started_at if grant.request else 0.0,
                    grant.owner_term,
                    grant.in_long_lane,
                )


def _ended_use_message(use: _EndedUse, now: float) -> messages.EndedUse:
    return messages.EndedUse(
        use.serial,
        use.instance,
        use.succeeded,
        use.end_confirmed,
        now - use.started_at,
        now - use.ended_at,
    )

"""The owner of slots: grants them to entries and accounts for their use."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.request.routing import outliers
from verbenastream.request.slots import allocation
from verbenastream.request.slots import ledger
from verbenastream.request.slots import messages
from verbenastream.request.slots import pool as pools

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from verbenastream.request import events

_SWEEP_S = 0.02
# A previous entry set that was in force for longer than a grant lives
# excludes grants of still earlier sets.
_SETTLED_S = ledger.GRANT_LIFETIME_S + 2 * ledger.OWNER_MARGIN_S


@dataclasses.dataclass(slots=True)
class _EntryAccount:
    """What the owner knows of one entry that reports to it."""

    entry: ids.EntryId
    term: int
    epoch: ids.Epoch = ids.Epoch(0)
    sequence: int = 0
    received: int = 0
    message: int = 0
    serial: int = 0
    reported_at: float = 0.0
    lost: bool = False
    knows_owner: bool = False
    data_centre: str = ''
    grants_by_number: dict[int, ledger.Grant] = dataclasses.field(
        default_factory=dict
    )
    foreign: dict[ids.InstanceId, int] = dataclasses.field(
        default_factory=dict
    )
    granted: list[messages.NewGrant] = dataclasses.field(default_factory=list)
    answer_due: bool = False


class SlotOwner:
    """Owner side of one entry, for the pools that hashing assigns to it."""

    def __init__(
        self,
        term: int,
        detector: Callable[[], outliers.Detector] = outliers.Detector,
    ) -> None:
        self._term = term
        self._detector = detector
        self._epoch = ids.Epoch(0)
        self._entries: tuple[ids.EntryId, ...] = ()
        self._number = 0
        self._swept_at = -math.inf
        self._pools_by_id: dict[ids.PoolId, pools.OwnedPool] = {}
        self._pool_by_instance: dict[ids.InstanceId, pools.OwnedPool] = {}
        self._accounts_by_entry: dict[ids.EntryId, _EntryAccount] = {}
        # Entries that reported under this set while it is in doubt.
        self._confirmed_by: set[ids.EntryId] | None = None

    @property
    def pools_by_id(self) -> dict[ids.PoolId, pools.OwnedPool]:
        """The pools that this owner grants slots of."""
        return self._pools_by_id

    def set_entries(
        self, epoch: ids.Epoch, entries: tuple[ids.EntryId, ...]
    ) -> None:
        """Enter the set of entries of ``epoch``."""
        if self._epoch and epoch > self._epoch + 1:
            # Another entry may have owned these targets in a set that this
            # one never saw, so what it knows of them is out of date.
            for instance, pool in list(self._pool_by_instance.items()):
                self._give_up(instance, pool)
        self._epoch = epoch
        self._entries = entries
        self._confirmed_by = None

    def doubt_entries(self) -> None:
        """Grant nothing until the entry set is confirmed.

        An entry without a lease may have been removed from the set, and
        another entry may own its pools by the time the lease is back.
        """
        if self._confirmed_by is None:
            self._confirmed_by = set()

    def confirm_entries(self) -> None:
        """Grant again: control named the same set once more."""
        self._confirmed_by = None

    def _confirm_by(self, entry: ids.EntryId) -> None:
        """Take a report under this set as a vote that it is in force."""
        if self._confirmed_by is None:
            return
        self._confirmed_by.add(entry)
        if 2 * len(self._confirmed_by) > len(self._entries):
            self._confirmed_by = None

    def set_long_share(self, pool: ids.PoolId, share: float) -> None:
        """Set the part of a pool that long work is guaranteed."""
        found = self._pools_by_id.get(pool)
        if found is not None:
            found.long_share = share

    def set_targets(
        self,
        targets: Iterable[events.TargetInfo],
        inherited: frozenset[ids.InstanceId],
        now: float,
    ) -> None:
        """Take over the given targets; every other one is given up.

        ``inherited`` names targets that another entry owned until this
        change of the entry set, with no other change to the target.
        """
        wanted = {target.record.id: target for target in targets}
        for instance, pool in list(self._pool_by_instance.items()):
            target = wanted.get(instance)
            if target is None or target.record.pool != pool.pool:
                self._give_up(instance, pool)
        for instance, target in wanted.items():
            assert target.record.pool is not None
            pool = self._pools_by_id.setdefault(
                target.record.pool,
                pools.OwnedPool(target.record.pool, health=self._detector()),
            )
            account = pool.targets_by_id.get(instance)
            if account is None:
                account = ledger.TargetLedger.from_target(target, now)
                if instance in inherited:
                    account.learning_epoch = self._epoch
                pool.targets_by_id[instance] = account
                self._pool_by_instance[instance] = pool
                self._adopt_foreign(account)
            else:
                account.announce(target, now)
            if target.leaving or target.suspected:
                self._revoke(account)
            pool.dirty = True
        self._set_members()

    def _give_up(
        self, instance: ids.InstanceId, pool: pools.OwnedPool
    ) -> None:
        target = pool.targets_by_id[instance]
        pool.remove_target(instance)
        del self._pool_by_instance[instance]
        for grant in target.grants_by_number.values():
            account = self._accounts_by_entry.get(grant.entry)
            if account is not None:
                account.grants_by_number.pop(grant.number, None)
        if not pool.targets_by_id:
            del self._pools_by_id[pool.pool]

    def _adopt_foreign(self, target: ledger.TargetLedger) -> None:
        for account in self._accounts_by_entry.values():
            count = account.foreign.get(target.record.id, 0)
            target.set_foreign(account.entry, count)

    def _set_members(self) -> None:
        for pool in self._pools_by_id.values():
            pool.health.set_members(frozenset(pool.targets_by_id))

    def _revoke(self, target: ledger.TargetLedger) -> None:
        """Ask the holders to return the target's slots after this use."""
        for grant in target.grants_by_number.values():
            if not grant.revoked:
                grant.revoked = True
                account = self._accounts_by_entry.get(grant.entry)
                if account is not None:
                    account.answer_due = True

    def receive(
        self, entry: ids.EntryId, report: messages.Report, now: float
    ) -> None:
        """Apply the report of an entry; ``flush`` then answers it."""
        account = self._accounts_by_entry.get(entry)
        if account is None or account.term < report.term:
            if account is not None:
                self._lose(account, now)
            account = _EntryAccount(entry, report.term)
            self._accounts_by_entry[entry] = account
        elif account.term > report.term:
            return
        if report.epoch != self._epoch or report.sequence <= account.sequence:
            # A holder that has applied a later set no longer lists the work
            # it has under grants of this owner.
            return
        self._confirm_by(entry)
        account.sequence = report.sequence
        account.epoch = report.epoch
        account.reported_at = now
        account.lost = False
        account.data_centre = report.data_centre
        account.knows_owner = report.owner_term == self._term
        if account.knows_owner:
            account.received = report.received
        self._apply_held(account, report, now)
        self._apply_ended(account, report, now)
        self._apply_demands(account, report, now)
        if any(
            target.learning_since is not None
            for pool in self._pools_by_id.values()
            for target in pool.targets_by_id.values()
        ):
            self._finish_learning(report, now)
        account.answer_due = True

    def _apply_held(
        self, account: _EntryAccount, report: messages.Report, now: float
    ) -> None:
        for pool in self._pools_by_id.values():
            for target in pool.targets_by_id.values():
                if target.doubts:
                    target.settle_entry(
                        account.entry, account.term, account.received
                    )
        known = dict(account.grants_by_number)
        foreign: dict[ids.InstanceId, int] = {}
        for held in report.held:
            if held.number == 0 or held.owner_term != self._term:
                foreign[held.instance] = foreign.get(held.instance, 0) + 1
                continue
            grant = known.pop(held.number, None)
            if grant is None:
                grant = self._readopt(account, held, now)
            if grant is not None:
                pool = self._pool_by_instance[grant.instance]
                pool.update_grant(grant, held)
                grant.started = now - held.age_s
                grant.confirmed_at = now
        for grant in known.values():
            if grant.message <= account.received:
                self._forget(account, grant)
        for instance in set(account.foreign) | set(foreign):
            pool_of = self._pool_by_instance.get(instance)
            if pool_of is not None:
                pool_of.targets_by_id[instance].set_foreign(
                    account.entry, foreign.get(instance, 0), now
                )
        account.foreign = foreign

    def _readopt(
        self, account: _EntryAccount, held: messages.Held, now: float
    ) -> ledger.Grant | None:
        """Count a grant again that was written off while out of contact."""
        pool = self._pool_by_instance.get(held.instance)
        if pool is None:
            return None
        grant = ledger.Grant(
            held.number,
            held.instance,
            account.entry,
            held.long,
            account.received,
            now + ledger.GRANT_LIFETIME_S + ledger.OWNER_MARGIN_S,
        )
        pool.add_grant(grant)
        account.grants_by_number[held.number] = grant
        return grant

    def _forget(self, account: _EntryAccount, grant: ledger.Grant) -> None:
        del account.grants_by_number[grant.number]
        pool = self._pool_by_instance.get(grant.instance)
        if pool is not None:
            pool.remove_grant(grant)

    def _apply_ended(
        self, account: _EntryAccount, report: messages.Report, now: float
    ) -> None:
        for ended in report.ended:
            if ended.serial <= account.serial:
                continue
            account.serial = ended.serial
            pool = self._pool_by_instance.get(ended.instance)
            if pool is None:
                continue
            target = pool.targets_by_id[ended.instance]
            if not ended.certain:
                target.doubts.append(ledger.Doubt(now))
            target.add_use(now - ended.start_age_s, now - ended.end_age_s)
            if ended.good is not None:
                pool.health.record(ended.instance, ended.good, now)
                if not ended.good and pool.health.ejected(ended.instance):
                    self._revoke(target)

    def _apply_demands(
        self, account: _EntryAccount, report: messages.Report, now: float
    ) -> None:
        demands_by_pool = {demand.pool: demand for demand in report.demands}
        for pool in self._pools_by_id.values():
            demand = demands_by_pool.get(pool.pool)
            if demand is None:
                if pool.needs_by_entry.pop(account.entry, None) is not None:
                    pool.dirty = True
                continue
            need = allocation.Need(
                account.entry, account.data_centre, demand, now
            )
            for grant in account.grants_by_number.values():
                if grant.message > account.received and (
                    grant.instance in pool.targets_by_id
                ):
                    need.short_taken += not grant.long
                    need.long_taken += grant.long
            pool.needs_by_entry[account.entry] = need
            pool.dirty = True

    def release(self, entry: ids.EntryId, number: int) -> None:
        """Free a grant of this process's own holder without a report."""
        account = self._accounts_by_entry.get(entry)
        if account is not None:
            grant = account.grants_by_number.get(number)
            if grant is not None:
                self._forget(account, grant)

    def set_demand(
        self, entry: ids.EntryId, demand: messages.Demand, now: float
    ) -> None:
        """Update the demand of this process's own holder."""
        pool = self._pools_by_id.get(demand.pool)
        account = self._accounts_by_entry.get(entry)
        if pool is not None and account is not None:
            pool.needs_by_entry[entry] = allocation.Need(
                entry, account.data_centre, demand, now
            )
            pool.dirty = True

    def _finish_learning(self, report: messages.Report, now: float) -> None:
        """End learning early once every possible holder has reported."""
        if (
            report.previous_epoch != self._epoch - 1
            or report.previous_age_s < _SETTLED_S
        ):
            return
        for entry in {*report.previous_entries, *self._entries}:
            account = self._accounts_by_entry.get(entry)
            if (
                account is None
                or account.epoch != self._epoch
                or not account.knows_owner
            ):
                return
        for pool in self._pools_by_id.values():
            for target in pool.targets_by_id.values():
                if target.learning_epoch == self._epoch:
                    target.finish_learning(now)
                    pool.dirty = True

    def _lose(self, account: _EntryAccount, now: float) -> None:
        """Write off an entry out of contact: its work may still run.

        The holder counts a grant's lifetime from the sending of a report
        that was received here later, so its grants have expired by now.
        """
        account.lost = True
        for grant in list(account.grants_by_number.values()):
            self._forget(account, grant)
            pool = self._pool_by_instance.get(grant.instance)
            if pool is not None:
                target = pool.targets_by_id[grant.instance]
                target.doubts.append(
                    ledger.Doubt(
                        now, account.entry, account.term, grant.message
                    )
                )
        for instance, count in account.foreign.items():
            pool = self._pool_by_instance.get(instance)
            if pool is not None:
                target = pool.targets_by_id[instance]
                target.set_foreign(account.entry, 0)
                for _ in range(count):
                    target.doubts.append(
                        ledger.Doubt(now, account.entry, account.term)
                    )
        account.foreign = {}
        for pool in self._pools_by_id.values():
            pool.needs_by_entry.pop(account.entry, None)

    def sweep(self, now: float) -> None:
        """Write off silent entries and use new evidence; every 20 ms."""
        if now - self._swept_at < _SWEEP_S:
            return
        self._swept_at = now
        limit = ledger.GRANT_LIFETIME_S + ledger.OWNER_MARGIN_S
        for account in self._accounts_by_entry.values():
            if not account.lost and now - account.reported_at > limit:
                self._lose(account, now)
        for pool in self._pools_by_id.values():
            pool.update_long_limit(now)
            self._update_quiet(pool, now)
            for target in pool.targets_by_id.values():
                target.note_peak(now)
                before = target.occupied
                target.check(now)
                if target.occupied != before:
                    pool.dirty = True
            if pool.needs_by_entry:
                pool.dirty = True

    def _update_quiet(self, pool: pools.OwnedPool, now: float) -> None:
        """Pause at most one target of the pool to settle its doubts."""
        paused = any(
            target.quiet_since is not None
            for target in pool.targets_by_id.values()
        )
        for target in pool.targets_by_id.values():
            was_quiet = target.quiet_since is not None
            if not target.doubts and not was_quiet:
                continue
            if target.update_quiet(now, not paused) and not was_quiet:
                paused = True
                self._revoke(target)
            pool.dirty = True

    def flush(self, now: float) -> list[tuple[ids.EntryId, messages.Grants]]:
        """Grant free slots and return the messages that are due."""
        for pool in self._pools_by_id.values():
            if pool.dirty and self._confirmed_by is None:
                pool.dirty = False
                for entry, instance, long in pool.allocate(now):
                    self._grant(entry, instance, long, now)
                recalled = pool.idle_to_recall()
                if recalled:
                    self._recall(pool, recalled)
        sent = []
        for account in self._accounts_by_entry.values():
            if account.answer_due or account.granted:
                sent.append((account.entry, self._answer(account, now)))
        return sent

    def _recall(self, pool: pools.OwnedPool, count: int) -> None:
        """Ask holders to return idle grants, because others wait."""
        for target in pool.targets_by_id.values():
            for grant in target.grants_by_number.values():
                account = self._accounts_by_entry[grant.entry]
                if grant.running or grant.message > account.received:
                    continue
                if not grant.revoked:
                    grant.revoked = True
                    account.answer_due = True
                count -= 1
                if not count:
                    return

    def _grant(
        self,
        entry: ids.EntryId,
        instance: ids.InstanceId,
        long: bool,
        now: float,
    ) -> None:
        account = self._accounts_by_entry[entry]
        self._number += 1
        grant = ledger.Grant(
            self._number,
            instance,
            entry,
            long,
            account.message + 1,
            now + ledger.GRANT_LIFETIME_S + ledger.OWNER_MARGIN_S,
            # Work waits for the grant, so it is in use until a report
            # tells otherwise.
            running='long' if long else 'short',
            started=math.inf,
        )
        account.grants_by_number[grant.number] = grant
        self._pool_by_instance[instance].add_grant(grant)
        account.granted.append(messages.NewGrant(grant.number, instance, long))

    def _answer(self, account: _EntryAccount, now: float) -> messages.Grants:
        account.message += 1
        account.answer_due = False
        granted = tuple(account.granted)
        account.granted = []
        return messages.Grants(
            epoch=self._epoch,
            owner_term=self._term,
            sequence=account.message,
            answers=account.sequence,
            entry_term=account.term,
            granted=granted,
            revoked=tuple(
                grant.number
                for grant in account.grants_by_number.values()
                if grant.revoked
            ),
            pools=tuple(
                pool.state(len(self._entries), now)
                for pool in self._pools_by_id.values()
            ),
        )

"""Owner of slots: grants them to entries and accounts for their use."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.request.routing import outliers
from verbenastream.request.slots import account as accounts
from verbenastream.request.slots import allocation
from verbenastream.request.slots import confirmation
from verbenastream.request.slots import ledger
from verbenastream.request.slots import messages
from verbenastream.request.slots import pool as pools

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from verbenastream.request import events

_SWEEP_INTERVAL_S = 0.02
# If the previous entry set was in force for longer than a grant is valid, no
# grant from a still earlier set can be in use.
_MIN_PREVIOUS_SET_AGE_S = ledger.GRANT_LIFETIME_S + 2 * ledger.OWNER_MARGIN_S


class SlotOwner:
    """Grants the slots of the pools that hashing assigns to this entry."""

    def __init__(
        self,
        term: int,
        detector: Callable[[], outliers.Detector] = outliers.Detector,
    ) -> None:
        self._term = term
        self._detector = detector
        self._epoch = ids.Epoch(0)
        self._entries: tuple[ids.EntryId, ...] = ()
        self._last_grant_number = 0
        self._swept_at = -math.inf
        self._pools_by_id: dict[ids.PoolId, pools.OwnedPool] = {}
        self._pool_by_instance: dict[ids.InstanceId, pools.OwnedPool] = {}
        self._accounts_by_entry: dict[ids.EntryId, accounts.EntryAccount] = {}
        self._confirmation = confirmation.SetConfirmation()

    @property
    def pools_by_id(self) -> dict[ids.PoolId, pools.OwnedPool]:
        """The pools that this owner grants slots of."""
        return self._pools_by_id

    def set_entries(
        self, epoch: ids.Epoch, entries: tuple[ids.EntryId, ...]
    ) -> None:
        """Switch to the set of entries of ``epoch``."""
        if self._epoch and epoch > self._epoch + 1:
            # Another entry may have owned these targets in a set that this
            # one never received, so its ledgers are out of date.
            for instance, pool in list(self._pool_by_instance.items()):
                self._drop_target(instance, pool)
        self._epoch = epoch
        self._entries = entries
        self._confirmation.resume()

    def suspend_grants(self) -> None:
        """Grant nothing until the entry set is confirmed.

        An entry without a lease may have been removed from the set, and
        another entry may own its pools by the time the lease is back.
        """
        self._confirmation.suspend()

    def resume_grants(self) -> None:
        """Grant again, because the control leader confirmed the set."""
        self._confirmation.resume()

    def set_long_share(self, pool: ids.PoolId, share: float) -> None:
        """Set the share of a pool that is guaranteed to long work."""
        owned_pool = self._pools_by_id.get(pool)
        if owned_pool is not None:
            owned_pool.long_share = share

    def set_targets(
        self,
        targets: Iterable[events.TargetInfo],
        inherited: frozenset[ids.InstanceId],
        now: float,
    ) -> None:
        """Own exactly the given targets; drops every other one.

        ``inherited`` names targets whose owner changed only because the
        entry set changed.
        """
        targets_by_id = {target.record.id: target for target in targets}
        for instance, pool in list(self._pool_by_instance.items()):
            target = targets_by_id.get(instance)
            if target is None or target.record.pool != pool.pool:
                self._drop_target(instance, pool)
        for instance, target in targets_by_id.items():
            assert target.record.pool is not None
            pool = self._pools_by_id.setdefault(
                target.record.pool,
                pools.OwnedPool(target.record.pool, detector=self._detector()),
            )
            target_ledger = pool.targets_by_id.get(instance)
            if target_ledger is None:
                target_ledger = ledger.TargetLedger.from_target(target, now)
                if instance in inherited:
                    target_ledger.learning_epoch = self._epoch
                pool.targets_by_id[instance] = target_ledger
                self._pool_by_instance[instance] = pool
                self._restore_prior_owner_uses(target_ledger)
            else:
                target_ledger.apply_announcement(target, now)
            if target.leaving or target.suspected:
                self._revoke_grants(target_ledger)
            pool.allocation_due = True
        self._update_detectors()

    def _drop_target(
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

    def _restore_prior_owner_uses(self, target: ledger.TargetLedger) -> None:
        for account in self._accounts_by_entry.values():
            count = account.prior_owner_uses_by_instance.get(
                target.record.id, 0
            )
            target.set_prior_owner_uses(account.entry, count)

    def _update_detectors(self) -> None:
        for pool in self._pools_by_id.values():
            pool.detector.set_members(frozenset(pool.targets_by_id))

    def _revoke_grants(self, target: ledger.TargetLedger) -> None:
        """Ask the holders to return the target's slots after their use."""
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
                self._write_off_entry(account, now)
            account = accounts.EntryAccount(entry, report.term)
            self._accounts_by_entry[entry] = account
        elif account.term > report.term:
            return
        if (
            report.epoch != self._epoch
            or report.sequence <= account.report_sequence
        ):
            # A holder that has applied a later set no longer lists its work
            # under grants of this owner.
            return
        self._confirmation.record_report(entry, len(self._entries))
        account.report_sequence = report.sequence
        account.epoch = report.epoch
        account.reported_at = now
        account.written_off = False
        account.data_centre = report.data_centre
        account.knows_owner = report.owner_term == self._term
        if account.knows_owner:
            account.received_sequence = report.received_sequence
        self._apply_held_grants(account, report, now)
        self._apply_ended_uses(account, report, now)
        self._apply_demands(account, report, now)
        if any(
            target.learning_since is not None
            for pool in self._pools_by_id.values()
            for target in pool.targets_by_id.values()
        ):
            self._finish_learning_early(report, now)
        account.answer_due = True

    def _apply_held_grants(
        self,
        account: accounts.EntryAccount,
        report: messages.Report,
        now: float,
    ) -> None:
        for pool in self._pools_by_id.values():
            for target in pool.targets_by_id.values():
                if target.unconfirmed_uses:
                    target.resolve_by_report(
                        account.entry, account.term, account.received_sequence
                    )
        unlisted_grants = dict(account.grants_by_number)
        prior_owner_uses: dict[ids.InstanceId, int] = {}
        for status in report.held_grants:
            if status.number == 0 or status.owner_term != self._term:
                prior_owner_uses[status.instance] = (
                    prior_owner_uses.get(status.instance, 0) + 1
                )
                continue
            grant = unlisted_grants.pop(status.number, None)
            if grant is None:
                grant = self._restore_grant(account, status, now)
            if grant is not None:
                pool = self._pool_by_instance[grant.instance]
                pool.update_grant(grant, status)
                grant.started_at = now - status.age_s
                grant.confirmed_at = now
        for grant in unlisted_grants.values():
            if grant.message_sequence <= account.received_sequence:
                self._remove_grant(account, grant)
        for instance in set(account.prior_owner_uses_by_instance) | set(
            prior_owner_uses
        ):
            owned_pool = self._pool_by_instance.get(instance)
            if owned_pool is not None:
                owned_pool.targets_by_id[instance].set_prior_owner_uses(
                    account.entry, prior_owner_uses.get(instance, 0), now
                )
        account.prior_owner_uses_by_instance = prior_owner_uses

    def _restore_grant(
        self,
        account: accounts.EntryAccount,
        status: messages.GrantStatus,
        now: float,
    ) -> ledger.Grant | None:
        """Add a grant again that was written off while out of contact."""
        pool = self._pool_by_instance.get(status.instance)
        if pool is None:
            return None
        grant = ledger.Grant(
            status.number,
            status.instance,
            account.entry,
            status.in_long_lane,
            account.received_sequence,
            now + ledger.GRANT_LIFETIME_S + ledger.OWNER_MARGIN_S,
        )
        pool.add_grant(grant)
        account.grants_by_number[status.number] = grant
        return grant

    def _remove_grant(
        self, account: accounts.EntryAccount, grant: ledger.Grant
    ) -> None:
        del account.grants_by_number[grant.number]
        pool = self._pool_by_instance.get(grant.instance)
        if pool is not None:
            pool.remove_grant(grant)

    def _apply_ended_uses(
        self,
        account: accounts.EntryAccount,
        report: messages.Report,
        now: float,
    ) -> None:
        for use in report.ended_uses:
            if use.serial <= account.last_use_serial:
                continue
            account.last_use_serial = use.serial
            pool = self._pool_by_instance.get(use.instance)
            if pool is None:
                continue
            target = pool.targets_by_id[use.instance]
            if not use.end_confirmed:
                target.unconfirmed_uses.append(ledger.UnconfirmedUse(now))
            target.record_ended_use(now - use.start_age_s, now - use.end_age_s)
            if use.succeeded is not None:
                pool.detector.record(use.instance, use.succeeded, now)
                if not use.succeeded and pool.detector.is_ejected(
                    use.instance
                ):
                    self._revoke_grants(target)

    def _apply_demands(
        self,
        account: accounts.EntryAccount,
        report: messages.Report,
        now: float,
    ) -> None:
        demands_by_pool = {demand.pool: demand for demand in report.demands}
        for pool in self._pools_by_id.values():
            demand = demands_by_pool.get(pool.pool)
            if demand is None:
                if pool.demands_by_entry.pop(account.entry, None) is not None:
                    pool.allocation_due = True
                continue
            entry_demand = allocation.EntryDemand(
                account.entry, account.data_centre, demand, now
            )
            for grant in account.grants_by_number.values():
                if grant.message_sequence > account.received_sequence and (
                    grant.instance in pool.targets_by_id
                ):
                    entry_demand.short_granted += not grant.in_long_lane
                    entry_demand.long_granted += grant.in_long_lane
            pool.demands_by_entry[account.entry] = entry_demand
            pool.allocation_due = True

    def release(self, entry: ids.EntryId, number: int) -> None:
        """Free a grant of this process's own holder without a report."""
        account = self._accounts_by_entry.get(entry)
        if account is not None:
            grant = account.grants_by_number.get(number)
            if grant is not None:
                self._remove_grant(account, grant)

    def set_demand(
        self, entry: ids.EntryId, demand: messages.Demand, now: float
    ) -> None:
        """Update the demand of this process's own holder."""
        pool = self._pools_by_id.get(demand.pool)
        account = self._accounts_by_entry.get(entry)
        if pool is not None and account is not None:
            pool.demands_by_entry[entry] = allocation.EntryDemand(
                entry, account.data_centre, demand, now
            )
            pool.allocation_due = True

    def _finish_learning_early(
        self, report: messages.Report, now: float
    ) -> None:
        """End learning early once every possible holder has reported."""
        if (
            report.previous_epoch != self._epoch - 1
            or report.previous_age_s < _MIN_PREVIOUS_SET_AGE_S
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
                    pool.allocation_due = True

    def _write_off_entry(
        self, account: accounts.EntryAccount, now: float
    ) -> None:
        """Remove the grants of an entry that is out of contact.

        The holder counts a grant's lifetime from when it sent a report, which
        arrived here later, so its grants have expired by now. Its work may
        still run, so the slots stay occupied as unconfirmed uses.
        """
        account.written_off = True
        for grant in list(account.grants_by_number.values()):
            self._remove_grant(account, grant)
            pool = self._pool_by_instance.get(grant.instance)
            if pool is not None:
                target = pool.targets_by_id[grant.instance]
                target.unconfirmed_uses.append(
                    ledger.UnconfirmedUse(
                        now,
                        account.entry,
                        account.term,
                        grant.message_sequence,
                    )
                )
        for instance, count in account.prior_owner_uses_by_instance.items():
            pool = self._pool_by_instance.get(instance)
            if pool is not None:
                target = pool.targets_by_id[instance]
                target.set_prior_owner_uses(account.entry, 0)
                for _ in range(count):
                    target.unconfirmed_uses.append(
                        ledger.UnconfirmedUse(now, account.entry, account.term)
                    )
        account.prior_owner_uses_by_instance = {}
        for pool in self._pools_by_id.values():
            pool.demands_by_entry.pop(account.entry, None)

    def sweep(self, now: float) -> None:
        """Write off unresponsive entries and update the ledgers.

        Takes effect at most every 20 ms.
        """
        if now - self._swept_at < _SWEEP_INTERVAL_S:
            return
        self._swept_at = now
        contact_timeout_s = ledger.GRANT_LIFETIME_S + ledger.OWNER_MARGIN_S
        for account in self._accounts_by_entry.values():
            if (
                not account.written_off
                and now - account.reported_at > contact_timeout_s
            ):
                self._write_off_entry(account, now)
        for pool in self._pools_by_id.values():
            pool.update_long_limit(now)
            self._update_pauses(pool, now)
            for target in pool.targets_by_id.values():
                target.update_peak(now)
                previously_occupied = target.occupied_slots
                target.apply_evidence(now)
                if target.occupied_slots != previously_occupied:
                    pool.allocation_due = True
            if pool.demands_by_entry:
                pool.allocation_due = True

    def _update_pauses(self, pool: pools.OwnedPool, now: float) -> None:
        """Pause at most one target to resolve its unconfirmed uses."""
        paused = any(
            target.paused_since is not None
            for target in pool.targets_by_id.values()
        )
        for target in pool.targets_by_id.values():
            was_paused = target.paused_since is not None
            if not target.unconfirmed_uses and not was_paused:
                continue
            if target.update_pause(now, not paused) and not was_paused:
                paused = True
                self._revoke_grants(target)
            pool.allocation_due = True

    def flush(self, now: float) -> list[tuple[ids.EntryId, messages.Grants]]:
        """Grant free slots and return the messages that are due."""
        for pool in self._pools_by_id.values():
            if pool.allocation_due and not self._confirmation.is_awaited:
                pool.allocation_due = False
                for entry, instance, in_long_lane in pool.allocate(now):
                    self._grant(entry, instance, in_long_lane, now)
                recall_count = pool.idle_grants_to_recall()
                if recall_count:
                    self._recall(pool, recall_count)
        outgoing = []
        for account in self._accounts_by_entry.values():
            if account.answer_due or account.new_grants:
                answer = account.build_answer(
                    self._epoch,
                    self._term,
                    tuple(
                        pool.state(len(self._entries), now)
                        for pool in self._pools_by_id.values()
                    ),
                )
                outgoing.append((account.entry, answer))
        return outgoing

    def _recall(self, pool: pools.OwnedPool, count: int) -> None:
        """Ask holders to return idle grants that other entries need."""
        for target in pool.targets_by_id.values():
            for grant in target.grants_by_number.values():
                account = self._accounts_by_entry[grant.entry]
                if (
                    grant.running_class
                    or grant.message_sequence > account.received_sequence
                ):
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
        in_long_lane: bool,
        now: float,
    ) -> None:
        account = self._accounts_by_entry[entry]
        self._last_grant_number += 1
        grant = ledger.Grant(
            self._last_grant_number,
            instance,
            entry,
            in_long_lane,
            account.sent_sequence + 1,
            now + ledger.GRANT_LIFETIME_S + ledger.OWNER_MARGIN_S,
            # Work waits for the grant, so it counts as in use until a
            # report says otherwise.
            running_class='long' if in_long_lane else 'short',
            started_at=math.inf,
        )
        account.grants_by_number[grant.number] = grant
        self._pool_by_instance[instance].add_grant(grant)
        account.new_grants.append(
            messages.NewGrant(grant.number, instance, in_long_lane)
        )

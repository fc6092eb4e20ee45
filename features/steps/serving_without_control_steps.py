"""Steps for the quorum rule by which entries serve without control."""

from __future__ import annotations

import time
from unittest import mock

import behave
import hypothesis
from hypothesis import strategies

from verbenastream import ids
from verbenastream.process import clock
from verbenastream.process.entry import quorum
from verbenastream.process.entry import renewal
from verbenastream.process.membership import messages
from verbenastream.process import settings

_NOW = 100.0
_STALE_AGE_S = 5.0


def _quorum(own, members):
    rule = quorum.EntryQuorum(f'entry-{own}')
    rule.set_entries({f'entry-{number}': None for number in members})
    return rule


def _parse_leases(reports):
    """Parse reports such as ``2:no-lease@7`` and ``3:lease@8:stale``."""
    leases = {}
    for report in reports.split():
        number, _, rest = report.partition(':')
        state, _, index = rest.partition('@')
        index, _, stale = index.partition(':')
        received_at = _NOW - _STALE_AGE_S if stale else _NOW
        leases[f'entry-{number}'] = quorum.PeerLease(
            state == 'lease', int(index), received_at
        )
    return leases


@behave.given('{count:d} registered entries')
def step_registered(context, count):
    context.members = range(1, count + 1)


@behave.when('entry 1 at index {own:d} receives {reports}')
def step_receives(context, own, reports):
    rule = _quorum(1, context.members)
    context.serves = rule.may_serve(own, _parse_leases(reports), _NOW)


@behave.then('entry 1 may serve')
def step_may(context):
    assert context.serves


@behave.then('entry 1 may not serve')
def step_may_not(context):
    assert not context.serves


@behave.then(
    'for random entry sets, acknowledgements and reports an entry that serves'
    ' has every revision in force'
)
def step_random_entries(context):
    @hypothesis.settings(
        derandomize=True, database=None, max_examples=500, deadline=None
    )
    @hypothesis.given(strategies.data())
    def check(data):
        size = data.draw(strategies.integers(1, 12))
        members = range(size)
        index_by_entry = {
            number: data.draw(strategies.integers(1, 4)) for number in members
        }
        # A restarted entry reports index 0 until it has caught up.
        restarted = data.draw(
            strategies.sets(strategies.sampled_from(members))
        )
        reporting = data.draw(
            strategies.sets(strategies.sampled_from(members))
        )
        leases = {
            f'entry-{number}': quorum.PeerLease(
                False,
                0 if number in restarted else index_by_entry[number],
                _NOW,
            )
            for number in reporting - {0}
        }
        own_index = 0 if 0 in restarted else index_by_entry[0]
        serves = _quorum(0, members).may_serve(own_index, leases, _NOW)
        hypothesis.event(f'serves: {serves}')
        for index in range(1, 5):
            acknowledged = sum(
                entry_index >= index for entry_index in index_by_entry.values()
            )
            in_force = 2 * acknowledged > size
            if serves and in_force:
                assert own_index >= index

    check()


class _SuspendedClock:
    """Clock that counts the time for which its machine was suspended."""

    def __init__(self, suspended_s):
        self.suspended_s = suspended_s

    def boot_time(self):
        return time.monotonic() + self.suspended_s


class _Control:
    """Control that grants each renewal a lease of ``lease_s``."""

    def __init__(self, lease_s):
        self._lease_s = lease_s

    async def call(self, path, request, reply_type, timeout_s):
        return messages.RenewReply(self._lease_s, ids.LogIndex(1))


@behave.given('an entry whose machine was suspended for an hour')
def step_was_suspended(context):
    context.clock = _SuspendedClock(3600.0)
    patch = mock.patch.object(clock, 'boot_time', context.clock.boot_time)
    patch.start()
    context.add_cleanup(patch.stop)


@behave.when('control renews its lease for {lease_s:d} s')
def step_renew(context, lease_s):
    record = messages.EntryRecord(
        ids.EntryId('entry-1'),
        ids.Incarnation(1),
        ids.DataCentreId('mx-1'),
        '127.0.0.1',
        8000,
    )
    context.lease_keeper = renewal.LeaseKeeper(
        _Control(float(lease_s)), record, settings.EntryTimings()
    )
    context.world.run(context.lease_keeper.send_final_counts())


@behave.when('its machine is suspended for {suspended_s:d} s')
def step_suspend(context, suspended_s):
    context.clock.suspended_s += suspended_s


@behave.then('it holds a lease')
def step_holds_lease(context):
    assert context.lease_keeper.is_valid(clock.boot_time())


@behave.then('it holds no lease')
def step_holds_no_lease(context):
    assert not context.lease_keeper.is_valid(clock.boot_time())

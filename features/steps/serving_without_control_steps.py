"""Steps for the quorum rule by which entries serve without control."""

from __future__ import annotations

import behave
import hypothesis
from hypothesis import strategies

from verbenastream.process.entry import quorum

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

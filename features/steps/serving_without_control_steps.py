"""Steps for the rule by which entries serve without control."""

from __future__ import annotations

import behave
import hypothesis
from hypothesis import strategies

from verbenastream.process.entry import quorum

_NOW = 100.0
_STALE_S = 5.0


def _quorum(own, members):
    found = quorum.EntryQuorum(f'entry-{own}')
    found.set_entries({f'entry-{number}': None for number in members})
    return found


def _parse(reports):
    leases = {}
    for report in reports.split():
        number, _, rest = report.partition(':')
        state, _, index = rest.partition('@')
        index, _, stale = index.partition(':')
        received_at = _NOW - _STALE_S if stale else _NOW
        leases[f'entry-{number}'] = quorum.PeerLease(
            state == 'lease', int(index), received_at
        )
    return leases


@behave.given('{count:d} registered entries')
def step_registered(context, count):
    context.members = range(1, count + 1)


@behave.when('entry 1 at index {own:d} hears {reports}')
def step_hears(context, own, reports):
    rule = _quorum(1, context.members)
    context.serves = rule.may_serve(own, _parse(reports), _NOW)


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
def step_property(context):
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
        # A restart forgets what an entry acknowledged until it has caught up.
        restarted = data.draw(
            strategies.sets(strategies.sampled_from(members))
        )
        heard = data.draw(strategies.sets(strategies.sampled_from(members)))
        leases = {
            f'entry-{number}': quorum.PeerLease(
                False,
                0 if number in restarted else index_by_entry[number],
                _NOW,
            )
            for number in heard - {0}
        }
        own = 0 if 0 in restarted else index_by_entry[0]
        serves = _quorum(0, members).may_serve(own, leases, _NOW)
        hypothesis.event(f'serves: {serves}')
        for index in range(1, 5):
            acknowledged = sum(
                found >= index for found in index_by_entry.values()
            )
            in_force = 2 * acknowledged > size
            if serves and in_force:
                assert own >= index

    check()

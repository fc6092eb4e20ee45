"""Steps for the presence of instances as the control leader sees it."""

from __future__ import annotations

import behave
import msgspec

from verbenastream.process.control import fleet_presence
from verbenastream.process import membership
from verbenastream.version import fleet

_State = fleet.InstanceState


def _announcement(number, running=0):
    return membership.Announcement(
        id=f'worker-{number}',
        incarnation=1,
        data_centre=f'dc-{number % 2}',
        rack='rack-1',
        address='127.0.0.1',
        port=9000,
        resources=fleet.Resources(16, 64),
        running=running,
    )


def _report(entry, **fields):
    number = int(entry[-1])
    return membership.PresenceReport(entry, 1, f'dc-{number}', **fields)


def _present(*numbers, running=0):
    return tuple(
        membership.Presence(_announcement(number, running), 0.0)
        for number in numbers
    )


@behave.given(
    'a leader with 6 serving instances and entries in 2 data centres'
)
def step_leader(context):
    context.presence = fleet_presence.FleetPresence()
    context.now = 9.0
    context.entries = [
        membership.EntryRecord(
            f'entry-{number}', 1, f'dc-{number}', '127.0.0.1', 8001
        )
        for number in range(2)
    ]
    context.records = {
        f'worker-{number}': fleet.InstanceRecord(
            id=f'worker-{number}',
            data_centre=f'dc-{number % 2}',
            rack='rack-1',
            address='127.0.0.1',
            port=9000,
            resources=fleet.Resources(16, 64),
            state=_State.SERVING,
            pool='pool',
            incarnation=1,
        )
        for number in range(6)
    }


@behave.given('worker-0 is in maintenance')
def step_maintenance(context):
    _set_state(context, _State.IN_MAINTENANCE, None)


@behave.given('worker-0 is lost')
def step_lost(context):
    _set_state(context, _State.LOST, None)


@behave.given('worker-0 drains from second 10 on')
def step_drains(context):
    _set_state(context, _State.DRAINING, 'pool')
    context.now = 10.0
    assert not context.presence.drained_instances(context.records, context.now)


def _set_state(context, state, pool):
    context.records['worker-0'] = msgspec.structs.replace(
        context.records['worker-0'], state=state, pool=pool
    )


@behave.given('both entries have reported completely')
@behave.when('both entries have reported completely')
def step_complete(context):
    context.now = 9.0
    for entry, numbers in (('entry-0', (0, 2, 4)), ('entry-1', (1, 3, 5))):
        report = _report(entry, complete=True, present=_present(*numbers))
        assert not context.presence.receive(report, 1.0)


@behave.when('entry-0 reports a change only')
def step_change_only(context):
    report = _report('entry-0', gone=('worker-0',))
    context.wants_complete = context.presence.receive(report, 1.0)


@behave.then('entry-0 is asked for a complete report and nothing is missing')
def step_asked(context):
    assert context.wants_complete
    assert not _missing_by_data_centre(context)


@behave.when('entry-1 reports worker-0 unheard, which entry-0 reports present')
def step_unheard(context):
    context.presence.receive(_report('entry-1', unheard=('worker-0',)), 2.0)


@behave.when('entry-0 reports worker-0 gone')
def step_gone(context):
    context.presence.receive(_report('entry-0', gone=('worker-0',)), 3.0)


def _missing_by_data_centre(context):
    presence = context.presence.presence_by_data_centre(
        context.records, context.entries, context.now
    )
    return {
        data_centre: seen.missing
        for data_centre, seen in presence.items()
        if seen.missing
    }


@behave.then('nothing is missing')
def step_nothing_missing(context):
    assert not _missing_by_data_centre(context), _missing_by_data_centre(
        context
    )


@behave.then('worker-0 is missing in the view of both data centres')
def step_missing(context):
    expected = {name: {'worker-0'} for name in ('dc-0', 'dc-1')}
    assert _missing_by_data_centre(context) == expected, (
        _missing_by_data_centre(context)
    )


@behave.when(
    'entry-0 reports worker-0 with {running:d} running at second {now:d}'
)
def step_running(context, running, now):
    context.now = float(now)
    report = _report('entry-0', present=_present(0, running=running))
    context.presence.receive(report, context.now)


@behave.then('worker-0 is drained')
def step_drained(context):
    drained = context.presence.drained_instances(context.records, context.now)
    assert drained == {'worker-0'}, drained


@behave.then('worker-0 is not drained')
def step_not_drained(context):
    assert not context.presence.drained_instances(context.records, context.now)


@behave.then('worker-0 has returned')
def step_returned(context):
    returned = context.presence.returned_instances(
        context.records, context.entries, context.now
    )
    assert returned == {'worker-0'}, returned


@behave.then('worker-0 has not returned')
def step_not_returned(context):
    returned = context.presence.returned_instances(
        context.records, context.entries, context.now
    )
    assert not returned, returned


@behave.when('entry-0 reports completely without worker-0')
def step_absent(context):
    report = _report('entry-0', complete=True, present=_present(2, 4))
    context.presence.receive(report, 10.0)


@behave.then('at second {now:d} {count:d} instances are missing')
def step_count_missing(context, now, count):
    context.now = float(now)
    missing = set().union(*_missing_by_data_centre(context).values())
    assert len(missing) == count, missing

"""Steps for documents in the replicated state and for entry leases."""

from __future__ import annotations

import itertools
import json
import random

import behave
import msgspec

from verbenastream import errors
from verbenastream.process.control import leases
from verbenastream.process import membership
from verbenastream.process import state
from verbenastream.version import documents
from verbenastream.version import fleet
from verbenastream.version import planning
from verbenastream import wire
from verbenastream_testing import samples

_SUBMITTED_AT = 100.0


def _document(**changes):
    document = samples.document(samples.MEXICO, 'tariff-coding')
    return msgspec.structs.replace(document, **changes)


def _announcement(number, incarnation=1):
    return membership.Announcement(
        id=f'worker-{number}',
        incarnation=incarnation,
        data_centre=f'mx-{1 + number % 2}',
        rack=f'rack-{number}',
        address='127.0.0.1',
        port=9000,
        resources=fleet.Resources(16, 64),
    )


@behave.when(
    'a document with 3 invalid values and 4 contradictions is checked'
)
def step_check(context):
    value = json.loads(wire.encode(_document()))
    value['headroom'] = 2
    value['spares'] = True
    del value['team']
    value['availability'] = 1.0
    value['data_centres'] = ['mx-1', 'mx-1']
    value['maintenance']['max_unavailable'] = 99
    value['operations'] = {}
    try:
        documents.check_document(wire.encode(value), 'document')
        context.problems = []
    except errors.InvalidInputGroup as group:
        context.problems = group.problems


@behave.then('7 document problems are reported with path and remedy')
def step_problems(context):
    paths = {problem.path for problem in context.problems}
    assert len(paths) == len(context.problems) == 7, context.problems
    assert all(problem.remedy for problem in context.problems)


class _Log:
    """A state machine whose commands are applied one by one."""

    def __init__(self):
        self.machine = state.ControlState()
        self.index = 0

    def apply(self, command):
        self.index += 1
        return self.machine.apply(self.index, wire.encode(command))

    def submit(self, document, base, submission):
        return self.apply(
            state.SubmitDocument(
                document, base, submission, 0.0, _SUBMITTED_AT
            )
        )

    def fail_over(self):
        restored = state.ControlState()
        restored.restore(self.machine.snapshot())
        self.machine = restored


@behave.given('a control state with 6 instances in mx-1 and mx-2')
def step_fleet(context):
    context.log = _Log()
    announcements = tuple(_announcement(number) for number in range(6))
    context.log.apply(state.AnnounceInstances(announcements, 1.0))


@behave.when('a document asks for 9 instances in mx-1 and mx-9')
def step_too_much(context):
    document = _document(instances=9, data_centres=('mx-1', 'mx-9'))
    context.result = context.log.submit(document, 0, 's1')


@behave.then('it is rejected with 2 reasons and stays without a revision')
def step_rejected(context):
    assert context.result.verdict is state.Verdict.REJECTED, context.result
    assert len(context.result.reasons) == 2, context.result
    assert not context.log.machine.view.documents_by_service


@behave.when('2 instances are lost and a document asks for 5 instances')
def step_loss(context):
    lost = tuple(
        planning.Transition(
            f'worker-{number}',
            1,
            fleet.InstanceState.LOST,
            None,
            planning.Reason.LOST,
            0.0,
        )
        for number in range(2)
    )
    context.log.apply(state.ChangeInstances(lost, 2.0))
    document = _document(
        instances=5, headroom=0.0, data_centres=('mx-1', 'mx-2')
    )
    context.result = context.log.submit(document, 0, 's1')


@behave.then('it is accepted with a warning')
def step_warned(context):
    assert context.result.verdict is state.Verdict.ACCEPTED, context.result
    assert context.result.warnings, context.result


@behave.when('two operators submit different documents on base revision 0')
def step_race(context):
    context.results = [
        context.log.submit(
            _document(instances=count, data_centres=('mx-1', 'mx-2')),
            0,
            f's{count}',
        )
        for count in (3, 4)
    ]


@behave.then(
    'the first is revision 1 and the second a conflict with its difference'
)
def step_conflict(context):
    first, second = context.results
    assert first.verdict is state.Verdict.ACCEPTED and first.revision == 1
    assert second.verdict is state.Verdict.CONFLICT, second
    assert second.revision == 1, second
    expected = documents.Difference('$.instances', '3', '4')
    assert second.difference == (expected,), second


@behave.when('a submission is repeated after another revision and a failover')
def step_resend(context):
    data_centres = ('mx-1', 'mx-2')
    context.document = _document(instances=3, data_centres=data_centres)
    context.first = context.log.submit(context.document, 0, 's1')
    other = _document(instances=2, data_centres=data_centres)
    assert context.log.submit(other, 1, 's2').revision == 2
    context.log.fail_over()
    context.repeat = context.log.submit(context.document, 0, 's1')


@behave.then('the repeat gets the first answer and changes nothing')
def step_first_answer(context):
    assert context.repeat == context.first, context.repeat
    view = context.log.machine.view
    assert view.revisions_by_service == {'tariff-coding': 2}, view


@behave.then('its id with another document is refused')
def step_reused(context):
    changed = msgspec.structs.replace(context.document, instances=1)
    result = context.log.submit(changed, 2, 's1')
    assert result.verdict is state.Verdict.REUSED, result


@behave.when('random commands are applied with restores in between')
def step_commands(context):
    context.pairs = []
    for number in range(20):
        rng = random.Random(context.seed + number)
        original, restored = _Log(), _Log()
        for step in range(80):
            command = _random_command(rng, step)
            results = original.apply(command), restored.apply(command)
            if rng.random() < 0.1:
                restored.fail_over()
            context.pairs.append(results)
        context.pairs.append(
            (original.machine.snapshot(), restored.machine.snapshot())
        )


def _random_command(rng, step):
    now = step * 20.0
    entry = membership.EntryRecord(
        f'entry-{rng.randrange(3)}',
        rng.randrange(1, 4),
        'mx-1',
        '127.0.0.1',
        1,
    )
    match rng.randrange(5):
        case 0:
            return state.RegisterEntry(entry, now)
        case 1:
            ref = state.EntryRef(entry.id, entry.incarnation)
            return state.ExpireEntries((ref,), now, rng.random() < 0.3)
        case 2:
            instance = _announcement(rng.randrange(8), rng.randrange(1, 4))
            return state.AnnounceInstances((instance,), now)
        case 3:
            document = _document(
                instances=rng.randrange(1, 4), data_centres=('mx-1', 'mx-2')
            )
            submission = f's{rng.randrange(20)}'
            return state.SubmitDocument(
                document, rng.randrange(4), submission, now, now
            )
    change = planning.Transition(
        f'worker-{rng.randrange(8)}',
        rng.randrange(1, 6),
        rng.choice(list(fleet.InstanceState)),
        rng.choice(['tariff-coding', None]),
        rng.choice(list(planning.Reason)),
        now,
    )
    return state.ChangeInstances((change,), now)


@behave.then('both replicas give the same results and snapshots')
def step_same_results(context):
    for original, restored in context.pairs:
        assert original == restored, (original, restored)


@behave.given(
    'a lease table that starts at second 100 with 3 registered entries'
)
def step_lease_table(context):
    context.lease_table = leases.LeaseTable(2.0)
    context.entries = [
        membership.EntryRecord(f'entry-{number}', 1, 'mx-1', '127.0.0.1', 1)
        for number in (1, 2, 3)
    ]
    context.lease_table.start(100.0, context.entries)


@behave.then('no lease counts as expired before second 102')
def step_guarded_start(context):
    assert context.lease_table.expired(context.entries, 102.0) == ()
    assert len(context.lease_table.expired(context.entries, 102.1)) == 3


@behave.when('entry-1 and entry-2 acknowledge index 7 at second 101')
def step_two_acknowledge(context):
    for entry in context.entries[:2]:
        context.lease_table.record_renewal(entry, 7, 101.0)


@behave.then('index 7 is not in force at second 101 because entry-3 lags')
def step_lags(context):
    status = context.lease_table.acknowledgement(7, context.entries, 101.0)
    assert not status.in_force and status.lagging == ('entry-3',), status


@behave.then('index 7 is in force at second 102.5 without entry-3')
def step_in_force(context):
    status = context.lease_table.acknowledgement(7, context.entries, 102.5)
    assert status.in_force and status.absent == ('entry-3',), status


@behave.given('the replicated state has entry-3 as not live')
def step_not_live(context):
    context.entries[2] = msgspec.structs.replace(
        context.entries[2], live=False
    )
    context.lease_table.start(100.0, context.entries)


@behave.then('index 7 is in force at second 101 without entry-3')
def step_in_force_at_once(context):
    status = context.lease_table.acknowledgement(7, context.entries, 101.0)
    assert status.in_force and status.absent == ('entry-3',), status


@behave.when('only entry-1 acknowledges index 7 at second 104')
def step_one_acknowledges(context):
    context.lease_table.record_renewal(context.entries[0], 7, 104.0)


@behave.then('index 7 is not in force at second 104.5')
def step_no_majority(context):
    status = context.lease_table.acknowledgement(7, context.entries, 104.5)
    assert not status.in_force and len(status.absent) == 2, status


@behave.when('entries renew, pause and lose replies at random')
def step_renewals(context):
    context.histories = []
    for number in range(50):
        context.histories.append(
            _renewal_history(random.Random(context.seed + number))
        )


def _renewal_history(rng):
    """Return (index by entry, highest index in force) after each renewal."""
    lease_table = leases.LeaseTable(2.0)
    entries = [
        membership.EntryRecord(f'entry-{n}', 1, 'mx-1', '127.0.0.1', 1)
        for n in range(5)
    ]
    index_by_entry = dict.fromkeys((entry.id for entry in entries), 0)
    index, highest, now = 0, 0, 0.0
    history = []
    for _ in range(400):
        now += rng.random() * 0.3
        if rng.random() < 0.1:
            index += 1
        if rng.random() < 0.02:
            lease_table.start(now, entries)
        entry = rng.choice(entries)
        if rng.random() < 0.2:
            now += rng.random() * 3
        lease_table.record_renewal(entry, index_by_entry[entry.id], now)
        if rng.random() < 0.6:
            index_by_entry[entry.id] = index
        for value in range(highest + 1, index + 1):
            if lease_table.acknowledgement(value, entries, now).in_force:
                highest = value
        history.append((dict(index_by_entry), highest))
    return history


@behave.then('every majority of entries holds each revision that was in force')
def step_majorities(context):
    highest_in_force = 0
    for history in context.histories:
        for index_by_entry, highest in history:
            highest_in_force = max(highest_in_force, highest)
            for majority in itertools.combinations(index_by_entry.values(), 3):
                assert max(majority) >= highest, (index_by_entry, highest)
    assert highest_in_force > 10, highest_in_force

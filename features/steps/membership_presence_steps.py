"""Steps for presence, the entry view and the lifecycle of instances."""

from __future__ import annotations

import random

import behave
import hypothesis
from hypothesis import strategies

from verbenastream.process import membership
from verbenastream.process.membership import presence_events
from verbenastream.process import state
from verbenastream.version import fleet
from verbenastream.version import planning
from verbenastream import wire

_TICK_S = 0.25
_FIXED = hypothesis.settings(
    derandomize=True, max_examples=60, deadline=None, database=None
)


def announcement(number, incarnation=1, **fields):
    return membership.Announcement(
        id=f'worker-{number}',
        incarnation=incarnation,
        data_centre=f'dc-{number % 3}',
        rack=f'rack-{number % 3}',
        address='127.0.0.1',
        port=9000 + number,
        resources=fleet.Resources(16, 64),
        **fields,
    )


class _Network:
    """Entries, one in each data centre, on a clock of their own."""

    def __init__(self, rng, targets=6):
        self.now = 0.0
        self.rng = rng
        self.targets = targets
        self.silent = set()
        self.cut_off = set()
        self.loss = 0.0
        self.sent = []
        self.tables = {
            f'entry-{number}': membership.PresenceTable(
                f'entry-{number}', 1, f'dc-{number}'
            )
            for number in range(3)
        }

    def handle(self, entry, event):
        actions = self.tables[entry].handle(event, self.now)
        for action in actions:
            if isinstance(action, presence_events.SendReport):
                self.sent.append(action)
                self._deliver(entry, action)
        return actions

    def _deliver(self, sender, action):
        for entry in self.tables:
            match action.to:
                case presence_events.Everyone():
                    reached = entry != sender
                case presence_events.DataCentre(id=data_centre):
                    reached = entry != sender and entry[-1] == data_centre[-1]
                case presence_events.Entry(id=recipient):
                    reached = entry == recipient
                case _:
                    reached = False
            cut = self.cut_off & {entry, sender}
            if reached and not cut and self.rng.random() >= self.loss:
                received = presence_events.ReportReceived(action.report)
                self.handle(entry, received)

    def run(self, seconds):
        for step in range(round(seconds / _TICK_S)):
            self.now += _TICK_S
            if step % 4 == 0:
                self._announce()
            for entry in self.tables:
                self.handle(entry, presence_events.Tick())

    def _announce(self):
        reachable = sorted(self.tables.keys() - self.cut_off)
        for number in range(self.targets):
            if number not in self.silent:
                self.handle(
                    self.rng.choice(reachable),
                    presence_events.Announced(announcement(number)),
                )

    def present(self):
        return {
            entry: {
                found.announcement.id: found.suspected
                for found in table.targets()
            }
            for entry, table in self.tables.items()
        }


@behave.given('3 entries in 3 data centres that hear 6 targets')
def step_network(context):
    context.network = _Network(context.random)
    context.network.run(5)


@behave.when('worker-0 falls silent for {seconds:d} seconds')
def step_silent(context, seconds):
    context.network.silent = {0}
    context.network.run(seconds)


@behave.then('every entry suspects exactly worker-0')
def step_suspects_one(context):
    for found in context.network.present().values():
        suspected = [name for name, value in found.items() if value]
        assert suspected == ['worker-0'], found
        assert len(found) == 6, found


@behave.then('every entry has removed exactly worker-0')
def step_removed_one(context):
    for found in context.network.present().values():
        assert found == {f'worker-{n}': False for n in range(1, 6)}, found


@behave.when('worker-0 announces itself with incarnation 3 and then with 2')
def step_old_start(context):
    context.actions = []
    for incarnation in (3, 2):
        context.actions = context.network.handle(
            'entry-1',
            presence_events.Announced(announcement(0, incarnation)),
        )


@behave.then('the second announcement is refused and incarnation 3 stays')
def step_refused(context):
    refused = presence_events.AnnouncementRefused('worker-0', 3)
    assert context.actions == [refused], context.actions
    found = context.network.tables['entry-1'].targets()[0]
    assert found.announcement.incarnation == 3, found


@behave.when('worker-0 announces that it leaves')
def step_leaves(context):
    context.actions = context.network.handle(
        'entry-1', presence_events.Announced(announcement(0, leaving=True))
    )


@behave.then('the entry reports it to everyone without waiting for a tick')
def step_reported(context):
    reports = [
        action.report
        for action in context.actions
        if isinstance(action, presence_events.SendReport)
        and action.to == presence_events.Everyone()
    ]
    assert len(reports) == 1, context.actions
    assert reports[0].present[0].announcement.leaving, reports


@behave.when('entry-0 is cut off from everything for 10 seconds')
def step_cut_off(context):
    context.network.cut_off = {'entry-0'}
    context.network.run(10)


@behave.then('entry-0 suspects its own targets and has removed none of them')
def step_kept(context):
    found = context.network.present()['entry-0']
    assert found['worker-0'] and found['worker-3'], found


@behave.when('all targets of data centre 0 fall silent for 10 seconds')
def step_centre_silent(context):
    context.network.silent = {0, 3}
    context.network.run(10)


@behave.then('every entry has removed exactly the targets of data centre 0')
def step_centre_removed(context):
    expected = {f'worker-{number}': False for number in (1, 2, 4, 5)}
    for found in context.network.present().values():
        assert found == expected, found


@behave.when('worker-0 is silent for 1 seconds 4 times')
def step_flaps(context):
    for _ in range(4):
        context.network.silent = {0}
        context.network.run(1)
        context.network.silent = set()
        context.network.run(1)


@behave.then('every entry suspects worker-0 although it announces itself')
def step_held(context):
    for found in context.network.present().values():
        assert found['worker-0'], found


@behave.when('all targets announce themselves for {seconds:d} seconds')
def step_announce(context, seconds):
    context.network.sent.clear()
    context.network.run(seconds)


@behave.then('no entry suspects any target')
def step_none_suspected(context):
    for found in context.network.present().values():
        assert not any(found.values()), found


@behave.when('20 seeded schedules lose a third of all reports and then none')
def step_lossy(context):
    context.pictures = []
    for number in range(20):
        network = _Network(random.Random(context.seed + number))
        network.loss = 1 / 3
        network.run(10)
        network.silent = {network.rng.randrange(6)}
        network.run(6)
        network.loss = 0.0
        network.run(70)
        context.pictures.append((network.silent, network.present()))


@behave.then('all entries hold the same present targets after each schedule')
def step_same(context):
    for silent, pictures in context.pictures:
        expected = {
            f'worker-{number}': False
            for number in range(6)
            if number not in silent
        }
        for found in pictures.values():
            assert found == expected, (silent, pictures)


@behave.then('no report to everyone carries a target')
def step_no_targets(context):
    for action in context.network.sent:
        if action.to == presence_events.Everyone():
            assert not action.report.present, action
            assert not action.report.renewed, action


@behave.when('seeded renewal replies arrive late, twice and out of order')
def step_replies(context):
    rng = context.random
    machine = state.ControlState()
    context.views = []
    replies = []
    digests_by_index = {}
    view = membership.EntryView()
    for index in range(1, 300):
        change = state.AnnounceInstances(
            (announcement(rng.randrange(20), index),), float(index)
        )
        machine.apply(index, wire.encode(change))
        digests_by_index[index] = machine.view.digest()
        base = rng.choice([view.index, view.index, rng.randrange(index)])
        changes = machine.changes_after(base)
        replies.append(
            membership.RenewReply(
                lease_s=2.0,
                index=machine.view.index,
                changes=machine.view.changes() if changes is None else changes,
                snapshot=changes is None,
                base=base,
            )
        )
        if rng.random() < 0.03:
            # The entry starts again and gets replies to its earlier start.
            view = membership.EntryView()
        for reply in rng.choices(replies[-8:], k=2):
            before = view.index
            applied = view.apply(reply)
            digests = view.digest(), digests_by_index.get(view.index)
            context.views.append((before, view.index, applied, digests))


@behave.then('no reply lowers the index or a revision and the digests agree')
def step_digests(context):
    for before, after, applied, (held, expected) in context.views:
        assert after >= before, context.views
        assert applied or after == before, context.views
        assert after == 0 or held == expected, (before, after, applied)
    assert sum(applied for _, _, applied, _ in context.views) > 100


_S = fleet.InstanceState
_ARBITRARY = [(target, pool) for target in _S for pool in ('a', 'b', None)]


def _steps(record):
    """Return likely steps, so that random sequences get past the first."""
    match record.state:
        case _S.IDLE:
            return [(_S.SERVING, 'a'), (_S.SERVING, 'b')] * 8
        case _S.SERVING:
            return [(_S.DRAINING, record.pool)] * 16
        case _S.IN_MAINTENANCE | _S.LOST:
            return [(_S.RETURNING, None)] * 16
    return [(_S.IDLE, None)] * 16


_REASONS = [planning.Reason.COMMITMENT, planning.Reason.MAINTENANCE]


@behave.when('seeded planners send transitions with current and stale epochs')
def step_transitions(context):
    context.histories = []

    @_FIXED
    @hypothesis.given(strategies.data())
    def run(data):
        machine = state.ControlState()
        machine.apply(
            1,
            wire.encode(state.AnnounceInstances((announcement(0),), 1.0)),
        )
        history = []
        for index in range(2, 25):
            record = machine.view.instances_by_id['worker-0']
            history.append(record)
            target, pool = data.draw(
                strategies.sampled_from(_steps(record) + _ARBITRARY)
            )
            change = planning.Transition(
                instance='worker-0',
                expected_epoch=record.epoch
                - data.draw(strategies.integers(0, 1)),
                state=target,
                pool=pool,
                reason=data.draw(strategies.sampled_from(_REASONS)),
                at=0.0,
            )
            machine.apply(
                index,
                wire.encode(state.ChangeInstances((change,), float(index))),
            )
            copy = state.ControlState()
            copy.restore(machine.snapshot())
            assert copy.snapshot() == machine.snapshot()
        context.histories.append(history)

    run()


@behave.then(
    'no epoch of an instance has two pools and no move skips the drain'
)
def step_one_pool(context):
    moves = 0
    for history in context.histories:
        pools_by_epoch = {}
        for before, after in zip(history, history[1:]):
            pool = pools_by_epoch.setdefault(after.epoch, after.pool)
            assert pool == after.pool, history
            assert after.epoch >= before.epoch, history
            if before != after:
                assert after.epoch == before.epoch + 1, history
            if before.pool and after.pool:
                assert before.pool == after.pool, history
                moves += 1
            served = after.state in (
                fleet.InstanceState.SERVING,
                fleet.InstanceState.DRAINING,
            )
            assert served == (after.pool is not None), after
    assert moves > 20, moves

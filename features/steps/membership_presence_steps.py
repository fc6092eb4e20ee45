"""Steps for presence, the entry view and the lifecycle of instances."""

from __future__ import annotations

import heapq
import json
import random

import behave
import hypothesis
from hypothesis import strategies

from verbenastream.process import membership
from verbenastream.process.membership import presence_events
from verbenastream.process import settings
from verbenastream.process import state
from verbenastream.version import fleet
from verbenastream.version import planning
from verbenastream import wire

_TICK_S = 0.25
_DETERMINISTIC = hypothesis.settings(
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
    """Simulates entries, one in each data centre, on virtual time."""

    def __init__(self, rng, targets=6):
        self.now = 0.0
        self.rng = rng
        self.targets = targets
        self.silent = set()
        self.isolated = set()
        self.loss_rate = 0.0
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
            match action.recipient:
                case presence_events.AllPeersAndControl():
                    is_recipient = entry != sender
                case presence_events.DataCentre(id=data_centre):
                    is_recipient = (
                        entry != sender and entry[-1] == data_centre[-1]
                    )
                case presence_events.Entry(id=recipient):
                    is_recipient = entry == recipient
                case _:
                    is_recipient = False
            isolated = self.isolated & {entry, sender}
            if (
                is_recipient
                and not isolated
                and self.rng.random() >= self.loss_rate
            ):
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
        reachable = sorted(self.tables.keys() - self.isolated)
        for number in range(self.targets):
            if number not in self.silent:
                self.handle(
                    self.rng.choice(reachable),
                    presence_events.Announced(announcement(number)),
                )

    def present(self):
        return {
            entry: {
                target.announcement.id: target.suspected
                for target in table.targets()
            }
            for entry, table in self.tables.items()
        }


@behave.given(
    '3 entries in 3 data centres that receive announcements of 6 targets'
)
def step_network(context):
    context.network = _Network(context.random)
    context.network.run(5)


@behave.when('worker-0 sends no announcements for {seconds:d} seconds')
def step_silent(context, seconds):
    context.network.silent = {0}
    context.network.run(seconds)


@behave.then('every entry suspects exactly worker-0')
def step_suspects_one(context):
    for present in context.network.present().values():
        suspected = [name for name, value in present.items() if value]
        assert suspected == ['worker-0'], present
        assert len(present) == 6, present


@behave.then('every entry has removed exactly worker-0')
def step_removed_one(context):
    expected = {f'worker-{number}': False for number in range(1, 6)}
    for present in context.network.present().values():
        assert present == expected, present


@behave.when('worker-0 announces itself with incarnation 3 and then with 2')
def step_old_incarnation(context):
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
    target = context.network.tables['entry-1'].targets()[0]
    assert target.announcement.incarnation == 3, target


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
        and action.recipient == presence_events.AllPeersAndControl()
    ]
    assert len(reports) == 1, context.actions
    assert reports[0].present[0].announcement.leaving, reports


@behave.when('entry-0 is cut off from everything for 10 seconds')
def step_cut_off(context):
    context.network.isolated = {'entry-0'}
    context.network.run(10)


@behave.then('entry-0 suspects its own targets and has removed none of them')
def step_kept(context):
    present = context.network.present()['entry-0']
    assert present['worker-0'] and present['worker-3'], present


@behave.when(
    'all targets of data centre 0 send no announcements for 10 seconds'
)
def step_data_centre_silent(context):
    context.network.silent = {0, 3}
    context.network.run(10)


@behave.then('every entry has removed exactly the targets of data centre 0')
def step_data_centre_removed(context):
    expected = {f'worker-{number}': False for number in (1, 2, 4, 5)}
    for present in context.network.present().values():
        assert present == expected, present


@behave.when('worker-0 pauses its announcements for 1 seconds 4 times')
def step_flaps(context):
    for _ in range(4):
        context.network.silent = {0}
        context.network.run(1)
        context.network.silent = set()
        context.network.run(1)


@behave.then('every entry suspects worker-0 although it announces itself')
def step_still_suspected(context):
    for present in context.network.present().values():
        assert present['worker-0'], present


@behave.when('all targets announce themselves for {seconds:d} seconds')
def step_announce(context, seconds):
    context.network.sent.clear()
    context.network.run(seconds)


@behave.then('no entry suspects any target')
def step_none_suspected(context):
    for present in context.network.present().values():
        assert not any(present.values()), present


class _DelayedNetwork(_Network):
    """Simulates entries with unequal ticks and delayed reports."""

    def __init__(self, rng, interval_s):
        super().__init__(rng, targets=30)
        self.suspicions = 0
        self.interval_s = interval_s
        self.tables = {
            f'entry-{number}': membership.PresenceTable(
                f'entry-{number}', 1, f'dc-{number % 3}'
            )
            for number in range(12)
        }
        self.queue = []
        for entry in self.tables:
            self.schedule(rng.random() * interval_s, entry, None)
        for number in range(self.targets):
            self.schedule(rng.random(), None, number)

    def schedule(self, at, entry, event):
        heapq.heappush(self.queue, (at, self.rng.random(), entry, event))

    def _deliver(self, sender, action):
        self.suspicions += sum(
            presence.suspected for presence in action.report.present
        )
        recipient = getattr(action.recipient, 'id', '')
        for entry in self.tables:
            in_data_centre = f'dc-{int(entry[6:]) % 3}' == recipient
            to_everyone = (
                action.recipient == presence_events.AllPeersAndControl()
            )
            is_recipient = to_everyone or in_data_centre or entry == recipient
            if entry != sender and is_recipient:
                received = presence_events.ReportReceived(action.report)
                delay = self.rng.uniform(0.005, 0.04)
                self.schedule(self.now + delay, entry, received)

    def run(self, seconds):
        while self.queue[0][0] < seconds:
            self.now, _, entry, event = heapq.heappop(self.queue)
            if entry is None:
                announced = presence_events.Announced(announcement(event))
                self.handle(self.rng.choice(list(self.tables)), announced)
                interval = 1.0 + self.rng.uniform(0.0, 0.05)
                self.schedule(self.now + interval, None, event)
            elif event is None:
                self.handle(entry, presence_events.Tick())
                interval = self.interval_s + self.rng.uniform(0.0, 0.01)
                self.schedule(self.now + interval, entry, None)
            else:
                self.handle(entry, event)


@behave.when(
    '30 targets announce each second to 12 entries with unequal clocks'
)
def step_unequal_clocks(context):
    interval_s = settings.EntryTimings().presence_interval_s
    context.network = _DelayedNetwork(context.random, interval_s)
    context.network.run(5)
    context.network.suspicions = 0
    context.network.run(90)


@behave.then('no entry has reported any of them as suspected')
def step_no_suspicion(context):
    assert not context.network.suspicions, context.network.suspicions


@behave.when('20 random schedules lose a third of all reports and then none')
def step_lossy(context):
    context.outcomes = []
    for number in range(20):
        network = _Network(random.Random(context.seed + number))
        network.loss_rate = 1 / 3
        network.run(10)
        network.silent = {network.rng.randrange(6)}
        network.run(6)
        network.loss_rate = 0.0
        network.run(70)
        context.outcomes.append((network.silent, network.present()))


@behave.then('all entries hold the same present targets after each schedule')
def step_same_targets(context):
    for silent, present_by_entry in context.outcomes:
        expected = {
            f'worker-{number}': False
            for number in range(6)
            if number not in silent
        }
        for present in present_by_entry.values():
            assert present == expected, (silent, present_by_entry)


@behave.then('no report to everyone carries a target')
def step_no_targets(context):
    for action in context.network.sent:
        if action.recipient == presence_events.AllPeersAndControl():
            assert not action.report.present, action
            assert not action.report.renewed, action


@behave.when('random renewal replies arrive late, twice and out of order')
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
            # The entry restarts and gets replies to requests from before.
            view = membership.EntryView()
        for reply in rng.choices(replies[-8:], k=2):
            before = view.index
            applied = view.apply(reply)
            digests = view.digest(), digests_by_index.get(view.index)
            context.views.append((before, view.index, applied, digests))


@behave.then('no reply lowers the index or a revision and the digests agree')
def step_digests(context):
    for before, after, applied, (digest, expected) in context.views:
        assert after >= before, context.views
        assert applied or after == before, context.views
        assert after == 0 or digest == expected, (before, after, applied)
    assert sum(applied for _, _, applied, _ in context.views) > 100


_State = fleet.InstanceState
_ANY_TRANSITION = [
    (target, pool) for target in _State for pool in ('a', 'b', None)
]


def _valid_transitions(record):
    """Return valid transitions, repeated to make them more likely.

    Without them random sequences rarely get past the first transition.
    """
    match record.state:
        case _State.IDLE:
            return [(_State.SERVING, 'a'), (_State.SERVING, 'b')] * 8
        case _State.SERVING:
            return [(_State.DRAINING, record.pool)] * 16
        case _State.IN_MAINTENANCE | _State.LOST:
            return [(_State.RETURNING, None)] * 16
    return [(_State.IDLE, None)] * 16


_REASONS = [planning.Reason.COMMITMENT, planning.Reason.MAINTENANCE]


@behave.when('random planners send transitions with current and stale epochs')
def step_transitions(context):
    context.histories = []

    @_DETERMINISTIC
    @hypothesis.given(strategies.data())
    def play_transitions(data):
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
                strategies.sampled_from(
                    _valid_transitions(record) + _ANY_TRANSITION
                )
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
            restored = state.ControlState()
            restored.restore(machine.snapshot())
            assert restored.snapshot() == machine.snapshot()
        context.histories.append(history)

    play_transitions()


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


@behave.when('a target announces the {field} {value}')
def step_odd_announcement(context, field, value):
    fields = json.loads(wire.encode(announcement(1)))
    fields[field] = 'VALUE'
    value = value.replace('NESTED', '[' * 5000 + ']' * 5000)
    body = json.dumps(fields).replace('"VALUE"', value)
    try:
        wire.decode(body.encode(), membership.Announcement)
    except ValueError as error:
        context.error = error
    else:
        context.error = None


@behave.then('the announcement is rejected')
def step_announcement_rejected(context):
    assert context.error is not None, 'it was accepted'

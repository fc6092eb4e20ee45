"""Steps that replay schedules of faults on slots shared by entries."""

from __future__ import annotations

import random

import behave
import hypothesis
from hypothesis import strategies

from bench import request_traces as traces
from verbenastream_testing import request_replay as replay

_SCHEDULE_S = 12.0
_ENTRIES = 4
_TARGETS = 2

_FAULTS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, _SCHEDULE_S),
        strategies.sampled_from(
            ('kill', 'isolate', 'leave', 'join', 'cancel', 'leaving', 'hang')
        ),
        strategies.integers(0, _ENTRIES - 1),
    ),
    max_size=6,
)


class _Schedule:
    """A replay under faults.

    An entry is removed from the set of entries when its lease ends.
    """

    def __init__(self, seed, faults, load, run_factor=1.0):
        self.random = random.Random(seed)
        arrivals = traces.short_only(
            seed, load, 8 * _TARGETS, _SCHEDULE_S, deadline_s=4.0
        )
        for arrival in arrivals:
            arrival.run_s *= run_factor
        self.live_entries = set(range(_ENTRIES))
        self.replay = replay.Replay(
            arrivals,
            entries=_ENTRIES,
            services={'product': _TARGETS},
            seed=seed,
        )
        for when, kind, number in faults:
            self.replay.schedule(
                self.replay.start + when,
                lambda kind=kind, number=number: self.apply_fault(
                    kind, number
                ),
            )

    def apply_fault(self, kind, number):
        entry = self.replay.entries[number]
        if kind == 'kill' and entry.alive and len(self.live_entries) > 1:
            self.replay.kill(number)
            self.schedule_after(2.0, lambda: self.remove_entry(number))
        elif kind == 'isolate' and not entry.isolated:
            entry.isolated = True
            self.schedule_after(
                1.95, lambda: self.replay.set_lease(number, False)
            )
            self.schedule_after(2.0, lambda: self.remove_entry(number))
            self.schedule_after(5.0, lambda: self.reconnect_entry(number))
        elif kind == 'leave' and len(self.live_entries) > 1:
            entry.leaving = True
            self.remove_entry(number)
        elif kind == 'join' and not entry.alive:
            self.replay.restart(number)
            self.add_entry(number)
        elif kind == 'cancel':
            self.replay.cancel_unfinished()
        else:
            self.apply_target_fault(kind, number % _TARGETS)

    def apply_target_fault(self, kind, number):
        target = list(self.replay.targets.values())[number]
        if kind == 'hang':
            target.fault = 'hang'
            self.schedule_after(2.0, lambda: setattr(target, 'fault', ''))
        elif kind == 'leaving' and not target.leaving:
            target.leaving = True
            target.leaving_since = self.replay.now

    def schedule_after(self, seconds, callback):
        self.replay.schedule(self.replay.now + seconds, callback)

    def remove_entry(self, number):
        if len(self.live_entries) > 1:
            self.live_entries.discard(number)
            self.replay.change_entries(sorted(self.live_entries))

    def add_entry(self, number):
        self.live_entries.add(number)
        self.replay.change_entries(sorted(self.live_entries))

    def reconnect_entry(self, number):
        self.replay.entries[number].isolated = False
        if self.replay.entries[number].alive:
            self.replay.set_lease(number, True)
            self.add_entry(number)

    def run(self):
        self.replay.run(until=self.replay.start + _SCHEDULE_S + 8.0)

    def check_targets(self):
        for target in self.replay.targets.values():
            assert target.max_running <= 8, (
                f'{target.record.id} ran {target.max_running}'
            )
            assert not target.late_starts, (
                f'{target.record.id} got {target.late_starts} new requests'
                f' more than 3 s after it announced leaving'
            )

    def check_outcomes(self):
        for arrival in self.replay.arrivals:
            if arrival.outcome is not None and arrival.runs:
                assert arrival.outcome.value != 'not-run', arrival


@behave.given('{count:d} random schedules of entry and target faults')
def step_schedules(context, count):
    context.slot_examples = count


@behave.when('the schedules are replayed at {load:g} load')
def step_replay_schedules(context, load):
    @hypothesis.settings(
        max_examples=context.slot_examples,
        derandomize=True,
        # Shrinking would take minutes; the failing schedule is printed.
        phases=(hypothesis.Phase.generate,),
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        strategies.integers(0, 2**16),
        _FAULTS,
        strategies.sampled_from((0.5, 1.0, 10.0, 100.0)),
    )
    def check(seed, faults, run_factor):
        schedule = _Schedule(seed, faults, load / run_factor, run_factor)
        schedule.run()
        schedule.check_targets()
        schedule.check_outcomes()
        context.slot_replays += 1

    context.slot_replays = 0
    check()


@behave.then('no target exceeded its slots or started work late')
def step_within_slots(context):
    assert context.slot_replays >= context.slot_examples


# Seed, run time factor and faults. Before its fix, each schedule made a target
# run more than its slots.
_RECORDED_SCHEDULES_BY_NAME = {
    'planned leave of the owner': (
        22179,
        1.0,
        [
            (3.415730900015914, 'join', 2),
            (3.962544819916261, 'join', 3),
            (4.613383153291103, 'leave', 2),
        ],
    ),
    'return of an isolated owner': (
        5396,
        10.0,
        [(2.7558131046202226, 'join', 3), (3.401050291474867, 'isolate', 2)],
    ),
    'leave while a target hangs': (
        57065,
        0.5,
        [
            (2.190687071453234, 'hang', 2),
            (3.6299343494208642, 'hang', 0),
            (5.1427119608326395, 'hang', 2),
            (8.247320875364114, 'leave', 2),
        ],
    ),
    'cancellation before an owner returns': (
        1,
        1.0,
        [
            (2.5268728488224803, 'isolate', 2),
            (5.969486747387447, 'hang', 0),
            (7.451013805147884, 'cancel', 3),
            (10.052192488982515, 'isolate', 1),
        ],
    ),
    'lease that returns after an isolation': (
        32,
        1.0,
        [
            (2.515484356770661, 'isolate', 2),
            (5.842723357892998, 'hang', 2),
            (7.539670793563446, 'cancel', 1),
            (9.999250498450282, 'isolate', 1),
        ],
    ),
    'work of an entry that left': (
        27688,
        10.0,
        [
            (0.29468004290432426, 'leave', 0),
            (4.436691496534574, 'leave', 3),
            (1.0, 'leave', 2),
            (1.7436471280085653, 'cancel', 0),
        ],
    ),
    'report after a target hung': (
        223,
        100.0,
        [
            (5e-324, 'isolate', 3),
            (5e-324, 'hang', 0),
            (5.992366301274462, 'isolate', 0),
            (3.8781317692999355, 'isolate', 1),
        ],
    ),
}


@behave.when('the recorded schedule of a {name} is replayed')
def step_recorded(context, name):
    seed, run_factor, faults = _RECORDED_SCHEDULES_BY_NAME[name]
    schedule = _Schedule(seed, faults, 0.9 / run_factor, run_factor)
    schedule.run()
    schedule.check_targets()
    schedule.check_outcomes()
    context.slot_examples = context.slot_replays = 1

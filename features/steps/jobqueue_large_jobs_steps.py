"""Steps for the duration of each piece of work for one large job."""

from __future__ import annotations

import gc
import itertools
import time
import unittest.mock

import behave

from verbenastream import ids

from verbenastream.process import agreement
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import scheduling
from verbenastream import wire
from verbenastream_testing.jobqueue import large_jobs
from verbenastream_testing.jobqueue import leader as leaders

_TASKS = 20_000
_NEED = model.Resources(10, 10)


def _spec(kind):
    if kind == 'periodic':
        step = model.Step(1, _NEED, 1.0)
        return model.JobSpec('spec', (step,), _TASKS, 1.0, 0.001)
    if kind == 'single-step':
        steps = tuple(model.Step(1, _NEED, 1.0) for _ in range(_TASKS))
        return model.JobSpec('spec', steps)
    fields = {
        'plain': {},
        'per-worker': {'per_worker': _TASKS // 4},
        'rack-local': {'rack_local': True},
        'long-running': {
            'long_running': True,
            'max_unavailable': 1,
            'per_worker': _TASKS // 4,
        },
        'gang': {'gang': True},
        'speculative': {'speculative': True},
    }[kind]
    return model.JobSpec('spec', (model.Step(_TASKS, _NEED, 1.0, **fields),))


@behave.when(
    'a job of 20,000 {kind} tasks runs from its submission to its end'
)
def step_run_job(context, kind):
    # Full collections look at the job only, not at what the tests hold.
    gc.collect()
    gc.freeze()
    context.add_cleanup(gc.unfreeze)
    context.played = played = large_jobs.LargeJob(_spec(kind))
    played.change_leader()
    first, second, third = played.worker_ids[:3]
    played.remove_assigned_worker(first)
    context.all_started = played.start_all()
    played.report_all()
    played.restore()
    played.drain(first)
    played.plan_wave()
    played.end_runs(first)
    played.crash(second)
    played.assign()
    played.crash(third)
    played.change_leader()
    played.cancel()


@behave.then('all its tasks were started')
def step_all_started(context):
    assert context.all_started, context.played.leader.count_runs()


@behave.then('no piece of work of a leader took longer than half of its lease')
def step_pieces_short(context):
    bound_s = agreement.Timings().lease_s / 2
    longest_s_by_piece = context.played.longest_s_by_piece
    too_long = {
        piece: round(elapsed_s, 3)
        for piece, elapsed_s in longest_s_by_piece.items()
        if elapsed_s > bound_s and piece != large_jobs.RESTORE
    }
    assert not too_long, too_long


@behave.then('a replica was restored within one lease')
def step_restored(context):
    elapsed_s = context.played.longest_s_by_piece[large_jobs.RESTORE]
    assert elapsed_s <= agreement.Timings().lease_s, elapsed_s


@behave.given('a leader on whose clock each look at the time takes 20 ms')
def step_slow_clock(context):
    context.leader = leaders.Leader(4)
    times = itertools.count(0.0, 0.02)
    patch = unittest.mock.patch.object(
        scheduling.clock, 'boot_time', lambda: next(times)
    )
    patch.start()
    context.stop_patch = patch.stop
    context.add_cleanup(unittest.mock.patch.stopall)


@behave.when(
    '30 jobs with 4 tasks each are submitted, of which 10 fit nowhere'
)
def step_submit_jobs(context):
    context.small_jobs = set()
    for number in range(30):
        fits = number % 3
        need = model.Resources(100 if fits else 17_000, 10)
        job = ids.JobId(f'{number:016x}')
        context.leader.submit(model.Step(4, need, 1.0), job=job)
        if fits:
            context.small_jobs.add(job)


@behave.then(
    'the tasks of the other 20 jobs are assigned within {limit:d} passes'
)
def step_assigned_within(context, limit):
    leader = context.leader
    scheduler = leader.dispatcher.scheduler
    for _ in range(limit):
        leader.dispatcher.assign(leader.now, leader.now)
        assigned = [key.job for key in scheduler.worker_by_task]
        if set(assigned) == context.small_jobs and len(assigned) == 80:
            return
        assert scheduler.is_unfinished
    raise AssertionError(len(scheduler.worker_by_task))


@behave.then(
    'no pass that follows is unfinished once the clock is normal again'
)
def step_finished(context):
    context.stop_patch()
    leader = context.leader
    for _ in range(2):
        leader.dispatcher.assign(leader.now, leader.now)
    assert not leader.dispatcher.scheduler.is_unfinished


@behave.when(
    'a job of 1,200 tasks with a payload of 4,000 control characters '
    'is submitted'
)
def step_submit_large_payload(context):
    leader = context.leader
    step = model.Step(1_200, _NEED, 1.0)
    leader.submit_spec(model.JobSpec('\x01' * 4_000, (step,)))
    context.answer_sizes = []
    for _ in range(30):
        leader.now += 0.1
        leader.beat_all()
        leader.dispatcher.assign(leader.now, leader.now)
        for worker in list(leader.running_by_worker):
            heartbeat, _ = leader.beat(worker)
            command = leader.dispatcher.build_start_command(
                heartbeat, leader.now
            )
            if command is None:
                continue
            numbers = leader.apply(command)
            leader.dispatcher.finish_starts(command)
            orders = leader.dispatcher.build_orders(
                heartbeat, command, numbers, 1, leader.now
            )
            context.answer_sizes.append(len(wire.encode(orders)))
            leader.report_runs(worker)


@behave.then('no answer to a heartbeat has more than 4 MiB')
def step_answer_sizes(context):
    assert max(context.answer_sizes) <= 4 * 2**20, context.answer_sizes


@behave.then('all its tasks were started within 30 heartbeats')
def step_all_payloads_started(context):
    runs = context.leader.state.runs_by_worker.values()
    assert sum(map(len, runs)) == 1_200, sum(map(len, runs))


@behave.given('a leader with {count:d} workers full of finite tasks')
def step_full_workers(context, count):
    context.leader = leader = leaders.Leader(count)
    step = model.Step(count, leaders.CAPACITY, estimate_s=60.0)
    leader.submit(step, job=ids.JobId('00000000000000bb'))
    for worker in leader.running_by_worker:
        leader.give_orders(worker)
        leader.report_runs(worker, percent=1.0)
    assert leader.count_runs() == count


@behave.when('a job of 20,000 long-running {kind} waits for room for 2 s')
def step_wait_for_room(context, kind):
    leader = context.leader
    step = model.Step(
        _TASKS,
        model.Resources(5, 1),
        long_running=True,
        gang=kind == 'tasks of one gang',
    )
    leader.submit(step)
    context.longest_s = 0.0
    for _ in range(20):
        leader.now += 0.1
        for worker in leader.running_by_worker:
            leader.report_runs(worker, percent=1.0)
        started = time.thread_time()
        leader.dispatcher.assign(leader.now, leader.now)
        elapsed_s = time.thread_time() - started
        context.longest_s = max(context.longest_s, elapsed_s)


@behave.then('no pass took longer than half of a lease')
def step_passes_short(context):
    assert context.longest_s < agreement.Timings().lease_s / 2, (
        context.longest_s
    )


@behave.then('at most {count:d} of its tasks have a reservation')
def step_few_reserved(context, count):
    by_unit = context.leader.dispatcher.scheduler.reservations.by_unit
    assert 0 < len(by_unit) <= count, len(by_unit)

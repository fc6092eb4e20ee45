"""Steps for the work that a leader does for many workers and tasks."""

from __future__ import annotations

import asyncio
import time
from unittest import mock

import behave
import logbook

from verbenastream import ids
from verbenastream.process import clock
from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import model
from verbenastream.process.node import load_monitor
from verbenastream_testing.jobqueue import leader as leaders
from verbenastream_testing.jobqueue import leader_service

_CHOOSE_WORKER = capacity.choose_worker


@behave.when(
    'a job of {count:d} tasks that fit four times on a worker is submitted'
)
def step_many_tasks(context, count):
    leader = context.leader
    quarter = model.Resources(leaders.CAPACITY.millicores // 4, 100)
    leader.submit(model.Step(count, quarter, 1.0))
    with mock.patch.object(
        capacity, 'choose_worker', autospec=True, side_effect=_CHOOSE_WORKER
    ) as search:
        leader.dispatcher.assign(leader.now, leader.now)
    context.search_count = search.call_count


@behave.then(
    'all tasks are assigned with at most {limit:d} searches for a worker'
)
def step_searches(context, limit):
    workers = context.leader.dispatcher.workers_by_id.values()
    assert all(len(worker.assigned_by_task) == 4 for worker in workers)
    assert context.search_count <= limit, context.search_count


@behave.given('the service of a leader with {count:d} workers')
def step_service(context, count):
    context.leader = leader = leader_service.LeaderService()
    context.add_cleanup(leader.loop.close)
    leader.plan()
    leader.run(
        leader.service.propose(
            commands.Configure(leaders.configuration(), 0.0)
        )
    )
    context.worker_count = count
    context.pass_count = 0


def _counted_passes(context, duration_s=0.0):
    """Count the passes; each of them blocks for ``duration_s``."""
    service = context.leader.service
    assign = service._assign_tasks

    def assign_tasks(dispatcher):
        context.pass_count += 1
        time.sleep(duration_s)
        assign(dispatcher)

    return mock.patch.object(service, '_assign_tasks', assign_tasks)


async def _send_heartbeats(context, sequence):
    answers = [
        asyncio.ensure_future(
            context.leader.service.answer_heartbeat(
                leaders.heartbeat(f'w{number}', f'm{number}', sequence)
            )
        )
        for number in range(context.worker_count)
    ]
    # Longer than an assignment is delayed, shorter than answers are held.
    await asyncio.sleep(0.03)
    for answer in answers:
        answer.cancel()
    await asyncio.gather(*answers, return_exceptions=True)


@behave.when('all of them send a heartbeat at the same time')
def step_heartbeats(context):
    with _counted_passes(context):
        context.leader.run(_send_heartbeats(context, 1))


@behave.when(
    'heartbeats arrive for a second and each pass takes {duration_s:g} s'
)
def step_slow_passes(context, duration_s):
    async def send():
        loop = asyncio.get_running_loop()
        end = loop.time() + 1.0
        sequence = 0
        while loop.time() < end:
            sequence += 1
            await _send_heartbeats(context, sequence)

    context.worker_count = 5
    with _counted_passes(context, duration_s):
        context.leader.run(send())


@behave.then('at most {limit:d} passes assign tasks')
def step_passes(context, limit):
    assert 0 < context.pass_count <= limit, context.pass_count


def _record_lag(context, lag_s, count):
    monitor = context.monitor
    for _ in range(count):
        monitor.record(lag_s)
    context.leader.dispatcher.is_overloaded = monitor.is_overloaded


@behave.when('its event loop is 0.5 s late again and again')
def step_late(context):
    context.monitor = load_monitor.LoadMonitor()
    _record_lag(context, 0.5, 5)


@behave.when('its event loop is in time again for 2 s')
def step_in_time(context):
    _record_lag(context, 0.0, 20)


def _answer(context):
    """Return for how long an idle worker waits, and its next pause."""
    leader = context.leader
    dispatcher = leader.dispatcher
    beat, _ = leader.beat(ids.WorkerId('w0'))
    orders = dispatcher.build_orders(beat, None, [], 1, leader.now)
    return dispatcher.response_delay_s(beat), orders.retry_s


@behave.then(
    'it answers idle workers at once and asks for a pause of {pause_s:g} s'
)
def step_answers_at_once(context, pause_s):
    assert _answer(context) == (0.0, pause_s), _answer(context)


@behave.then('it holds the heartbeats of idle workers and asks for no pause')
def step_holds(context):
    delay_s, pause_s = _answer(context)
    assert delay_s > 0.5 and pause_s < 0.01, (delay_s, pause_s)


async def _run_monitor(monitor, times):
    with mock.patch.object(clock, 'boot_time', lambda: next(times)):
        try:
            await monitor.run()
        except StopIteration:
            pass
        except RuntimeError as error:
            # A coroutine reports the end of an iterator in this way.
            assert isinstance(error.__cause__, StopIteration), error


@behave.when('a process stands still for 5 s while its timers run')
def step_pause(context):
    # Start and end of three intervals, with a pause in the second one.
    times = iter([0.0, 0.1, 0.1, 5.2, 5.2, 5.3])
    with logbook.TestHandler() as handler:
        asyncio.run(_run_monitor(load_monitor.LoadMonitor(), times))
    context.pauses = [
        record.extra['pause_s']
        for record in handler.records
        if record.message == 'process was paused'
    ]


@behave.then('its log has the pause of 5 s and no other')
def step_pause_logged(context):
    assert context.pauses == [5.0], context.pauses

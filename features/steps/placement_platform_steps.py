"""Steps for calls to a platform that loses and duplicates some of them."""

from __future__ import annotations

import asyncio

import behave

from verbenastream.version import fleet
from verbenastream.version import placement
from verbenastream.version.placement import actions
from verbenastream.version.placement import requests
from verbenastream.version import planning
from verbenastream_testing import platform_calls

_JOB = placement.Job('job', 'plot', 'a', fleet.Resources(4.0, 4.0))


@behave.given('a fake platform that loses and duplicates a third of the calls')
def step_fake_platform(context):
    context.platform = platform_calls.FakePlatformCalls(
        context.random, loss_probability=0.33, duplication_probability=0.33
    )


def _call_until_answered(context, request):
    """Make the same call twice, each time until it is answered."""

    async def call():
        while True:
            try:
                return await context.platform.call(request)
            except TimeoutError:
                continue

    # The second call is that of a caller that restarted after the answer.
    asyncio.run(call())
    return asyncio.run(call())


def _requests():
    start = actions.Start('job.1', 1, 'worker-0', _JOB, 30.0)
    reboot = planning.Action(planning.ActionKind.REBOOT, 'worker-0', 7)
    return [
        requests.from_placement(start),
        requests.from_placement(actions.Throttle('job.1', 'worker-0', 1.0)),
        requests.from_placement(actions.Stop('job.1', 'worker-0', True)),
        requests.from_plan(reboot),
    ]


@behave.when('a start, a throttle, a checkpoint and a reboot are repeated')
def step_repeated(context):
    for request in _requests():
        assert _call_until_answered(context, request).accepted, request


@behave.then('each took effect once')
def step_once(context):
    assert context.platform.effects == _requests(), context.platform.effects
    assert context.platform.reboots('worker-0') == 1


@behave.then('a start that arrives after its fence is refused')
def step_late_start(context):
    fence = requests.from_placement(actions.Fence('job.2', 'worker-0'))
    start = requests.from_placement(
        actions.Start('job.2', 2, 'worker-0', _JOB, 30.0)
    )
    _call_until_answered(context, fence)
    assert not _call_until_answered(context, start).accepted
    assert not context.platform.running('worker-0')

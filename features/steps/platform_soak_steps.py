"""Steps that run real nodes of the platform adapter."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import sys
import tempfile
import time

import aiohttp
import behave

_PLATFORM_FOLDER = str(
    pathlib.Path(__file__).parent.parent.parent / 'platform'
)
if _PLATFORM_FOLDER not in sys.path:
    sys.path.append(_PLATFORM_FOLDER)

from verbena_soak import exchange  # noqa: E402
from verbena_soak import nodes  # noqa: E402
from verbena_soak import soak  # noqa: E402
from verbena_soak import wire  # noqa: E402

_SEED_BASE = 1000


@behave.when('the soak test runs with its seed for {seconds:d} seconds')
def step_soak(context, seconds):
    context.result = soak.run_seed(_SEED_BASE + context.seed, float(seconds))


@behave.then('no rule is broken and no node ends by itself')
def step_soak_clean(context):
    assert context.result.starts > 10, context.result
    assert context.result.faults, context.result
    assert not context.result.problems, context.result


@behave.when(
    '{rounds:d} core machine is replaced and a disk is lost while the '
    'configuration changes'
)
def step_exchange(context, rounds):
    context.result = exchange.run_seed(_SEED_BASE + context.seed, rounds)


@behave.then('every change was acknowledged and the last one is read back')
def step_exchange_clean(context):
    assert context.result.changes > 10, context.result
    assert not context.result.problems, context.result


def _start_deployment(context, with_disk, without_disk):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    deployment = nodes.Deployment(
        pathlib.Path(folder.name), with_disk, without_disk
    )
    context.add_cleanup(deployment.close)
    deployment.start_all(bootstrap=True)
    context.deployment = deployment
    return deployment


async def _configure(deployment):
    async with aiohttp.ClientSession() as session:
        caller = wire.RetryingClient(deployment, session, random.Random(1))
        body = json.dumps(soak._CONFIGURATION)
        status, _ = await caller.call('PUT', '/config', body, 'control')
        return status


async def _read_back(node):
    async with aiohttp.ClientSession() as session:
        async with session.get(f'{node.control}/config') as response:
            return response.status, json.loads(await response.read())


@behave.when('a deployment of {disks:d} node with a disk and 1 without starts')
def step_start_small(context, disks):
    _start_deployment(context, disks, 1)


@behave.then('a configuration is acknowledged and read back at both')
def step_read_back(context):
    assert asyncio.run(_configure(context.deployment)) == 200
    for node in context.deployment.nodes:
        status, body = asyncio.run(_read_back(node))
        assert (status, body) == (200, soak._CONFIGURATION), (status, body)


@behave.given(
    'a running deployment of {disks:d} nodes with a disk and 1 without'
)
def step_running(context, disks):
    assert asyncio.run(_configure(_start_deployment(context, disks, 1))) == 200


async def _call_until_gone(node, outcomes):
    """Read the queue on kept-alive connections until the node has stopped."""
    async with aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.get(
                    f'{node.front}/jobs/', headers={'Host': 'queue.example'}
                ) as response:
                    outcomes.append((response.status, await response.read()))
            except aiohttp.ClientConnectorError:
                return
            except aiohttp.ClientError as error:
                outcomes.append((0, repr(error)))
                return


@behave.when('a node without a disk is stopped while callers use it')
def step_stop(context):
    node = context.deployment.nodes[-1]
    context.outcomes = []

    async def run():
        callers = [
            asyncio.create_task(_call_until_gone(node, context.outcomes))
            for _ in range(4)
        ]
        await asyncio.sleep(0.5)
        started = time.monotonic()
        await asyncio.to_thread(context.deployment.stop, node)
        context.stop_s = time.monotonic() - started
        await asyncio.wait_for(asyncio.gather(*callers), 5.0)

    asyncio.run(run())


@behave.then('each of its callers gets a complete answer or no connection')
def step_complete(context):
    statuses = {status for status, _ in context.outcomes}
    assert 200 in statuses
    broken = [body for status, body in context.outcomes if status == 0]
    assert not broken, broken
    assert statuses <= {200, 503}, statuses


@behave.then('the node ends within {limit:d} seconds')
def step_ends(context, limit):
    assert context.stop_s < limit, context.stop_s

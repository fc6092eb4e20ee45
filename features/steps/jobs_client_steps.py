"""Steps for the client commands that list, explain and cancel jobs."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import pathlib
import tempfile

import behave

from verbenastream.process.client import app as client
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import reasons
from verbenastream.process import node as nodes
from verbenastream.process import settings
from verbenastream_testing.jobqueue import leader as leaders
from verbenastream_testing import loopback

_DEPLOYMENT = settings.Deployment('jobs', '00' * 32)
_JOB = leaders.JOB
_PORT = 7060
_START_TIMEOUT_S = 20.0


@contextlib.asynccontextmanager
async def _running_node():
    address = f'{loopback.free_network(_PORT)}.1'
    peer = settings.Peer(address, _PORT)
    with tempfile.TemporaryDirectory() as folder:
        node = nodes.NodeDaemon.from_config(
            nodes.NodeSettings(
                name='node-1',
                data_centre='dc-1',
                region='region-1',
                peers=peer,
                seeds=(peer,),
                deployment=_DEPLOYMENT,
                data_folder=folder,
                bootstrap=True,
                tolerated_losses=0,
            )
        )
        await node.start()
        try:
            async with asyncio.timeout(_START_TIMEOUT_S):
                while not node.leads:
                    await asyncio.sleep(0.05)
            yield node, peer
        finally:
            await node.stop()


@behave.given('one node with a queue whose pool has no worker')
def step_node(context):
    """Do nothing: the next step runs the node in its own event loop."""


@behave.when('a job of {count:d} tasks is submitted to it')
def step_submitted(context, count):
    """Start the node, submit the job and run the client four times."""
    asyncio.run(_submit_and_run_client(context, count))


async def _submit_and_run_client(context, count):
    async with _running_node() as (node, peer):
        await node.service.configure(leaders.configuration())
        queue = node.state.queues_by_id[leaders.QUEUE]
        step = model.Step(count, model.Resources(1000, 100), 1.0)
        await node.service.submit(_JOB, queue, model.JobSpec('x', (step,)))
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder, 'deployment.json')
            file.write_text(
                json.dumps({'name': _DEPLOYMENT.name, 'key': _DEPLOYMENT.key})
            )
            options = [
                '--node',
                f'{peer.address}:{peer.port}',
                '--deployment-file',
                str(file),
            ]
            context.outputs_by_command = {}
            for command in (
                ('list',),
                ('show', _JOB),
                ('cancel', _JOB),
                ('show', 'ffffffffffffffff'),
            ):
                output = await asyncio.to_thread(
                    _run_client, ['jobs', *command, *options]
                )
                context.outputs_by_command[command] = output


def _run_client(arguments):
    printed = io.StringIO()
    with (
        contextlib.redirect_stdout(printed),
        contextlib.redirect_stderr(printed),
    ):
        code = client.run(arguments)
    return code, printed.getvalue()


@behave.then('the client lists the job as queued')
def step_listed(context):
    code, text = context.outputs_by_command['list',]
    assert code == 0 and _JOB in text and 'queued' in text, text


@behave.then('the client says that its pool has no open worker')
def step_explained(context):
    code, text = context.outputs_by_command['show', _JOB]
    assert code == 0 and '3 of 3 tasks wait' in text, text
    assert 'has no open worker' in text, text


@behave.when('the client cancels the job')
def step_cancel(context):
    code, text = context.outputs_by_command['cancel', _JOB]
    assert code == 0, text


@behave.then('the client shows the job as cancelled without reasons')
def step_cancelled(context):
    _, text = context.outputs_by_command['cancel', _JOB]
    assert 'cancelled' in text and 'wait' not in text, text


@behave.then('the client finds no job with another id')
def step_unknown(context):
    code, text = context.outputs_by_command['show', 'ffffffffffffffff']
    assert code == 8 and 'no such job' in text, (code, text)


def _submit(context, steps, **fields):
    spec = model.JobSpec('spec', tuple(steps), **fields)
    leader = context.leader
    leader.submit_spec(spec)
    for worker in list(leader.running_by_worker):
        leader.give_orders(worker)
        leader.report_runs(worker)
    leader.dispatcher.assign(leader.now, leader.now)
    context.reasons = reasons.waiting_reasons(
        leader.state.jobs_by_id[_JOB],
        leader.state,
        leader.dispatcher,
        leader.now,
    )


def _step(millicores=1000, **fields):
    return model.Step(1, model.Resources(millicores, 100), 1.0, **fields)


@behave.given('a job above the capacity that waits')
def step_above_capacity(context):
    _submit(context, [_step(12_000), _step(12_000)])


@behave.given('a second step that waits')
def step_dependent_step(context):
    _submit(context, [_step(), _step(after=(0,))])


@behave.given('a job for an unknown label that waits')
def step_label(context):
    _submit(context, [_step(label='gpu')])


@behave.given('a job due in 60 seconds that waits')
def step_not_due(context):
    first_at_s = context.leader.now + 60.0
    _submit(context, [_step()], occurrences=1, first_at_s=first_at_s)


@behave.then('the reason is "{text}"')
def step_reason(context, text):
    assert any(text in line for line in context.reasons), context.reasons


@behave.when('the client is called without a node')
def step_without_node(context):
    context.exit_code, context.printed = _run_client(['jobs', 'list'])


@behave.then('it names the option that is missing')
def step_names_option(context):
    assert context.exit_code == 2, context.printed
    assert '--node' in context.printed, context.printed

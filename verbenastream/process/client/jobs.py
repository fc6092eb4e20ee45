"""Commands that list, show and cancel the jobs of a deployment."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import sys
from typing import Annotated

import cyclopts

from verbenastream.connection import peers
from verbenastream import ids
from verbenastream.process.client import errors
from verbenastream.process.client import exit_codes
from verbenastream.process.client import options
from verbenastream.process.client import output
from verbenastream.process.node import job_calls
from verbenastream.process import settings
from verbenastream import wire

app = cyclopts.App(name='jobs', help='Lists, explains and cancels jobs.')

_SENDER = 'operator'
_MAX_LEADER_HINTS = 3
_UNKNOWN_JOB_MESSAGE = 'no such job; it may have ended a while ago'


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(frozen=True)
class Nodes:
    """How to reach the nodes.

    Parameters
    ----------
    node
        Address and port of a node's peer listener; repeat it for more. Each
        is tried until the leader answers.
    deployment_file
        JSON file with the name and the key of the deployment.
    timeout_s
        Seconds to wait for one answer.
    json
        Print JSON instead of text.
    """

    node: Annotated[
        tuple[str, ...],
        cyclopts.Parameter(env_var='VERBENASTREAM_NODES', negative=''),
    ] = ()
    deployment_file: Annotated[
        pathlib.Path | None,
        cyclopts.Parameter(env_var='VERBENASTREAM_DEPLOYMENT_FILE'),
    ] = None
    timeout_s: float = 3.0
    json: Annotated[bool, cyclopts.Parameter(negative='')] = False

    def peers(self) -> list[settings.Peer]:
        """Return the addresses; raises ``ClientError`` if any is invalid."""
        addresses = []
        for text in self.node:
            host, _, port = text.rpartition(':')
            if not host or not port.isdecimal():
                raise _usage_error(
                    f'{text} is not an address', 'Use ADDRESS:PORT.'
                )
            addresses.append(settings.Peer(host, int(port)))
        if not addresses:
            raise _usage_error(
                'no node is given',
                'Pass --node ADDRESS:PORT or set VERBENASTREAM_NODES.',
            )
        return addresses

    def deployment(self) -> settings.Deployment:
        """Read the deployment file; raises ``ClientError`` on failure."""
        if self.deployment_file is None:
            raise _usage_error(
                'no deployment file is given',
                'Pass --deployment-file FILE with {"name": .., "key": ..}.',
            )
        data = options.read_file(self.deployment_file, 'deployment file')
        try:
            return wire.decode(data, settings.Deployment)
        except ValueError as error:
            raise _usage_error(
                f'{self.deployment_file}: {error}',
                'Copy "deployment" from the settings of a process.',
            ) from error


_NO_NODES = Nodes()


@app.command(name='list')
def list_jobs(queue: str = '', *, nodes: Nodes = _NO_NODES) -> int:
    """List jobs, the newest first.

    Example: verbenastream jobs list --node 10.0.0.1:7060
    --deployment-file deployment.json

    Parameters
    ----------
    queue
        Only jobs of this queue.
    """
    reply = _call(
        nodes,
        job_calls.JobRequest(
            job_calls.JobAction.LIST, queue=ids.QueueId(queue)
        ),
    )
    return _show(nodes, reply)


@app.command
def show(job: str, *, nodes: Nodes = _NO_NODES) -> int:
    """Show one job and why its tasks wait.

    Example: verbenastream jobs show 5c0e7a21d94b36f8 --node 10.0.0.1:7060
    --deployment-file deployment.json
    """
    request = job_calls.JobRequest(job_calls.JobAction.SHOW, ids.JobId(job))
    return _show_job(nodes, request)


@app.command
def cancel(job: str, *, nodes: Nodes = _NO_NODES) -> int:
    """Cancel one job; this changes nothing if the job has ended."""
    request = job_calls.JobRequest(job_calls.JobAction.CANCEL, ids.JobId(job))
    return _show_job(nodes, request)


def _show_job(nodes: Nodes, request: job_calls.JobRequest) -> int:
    reply = _call(nodes, request)
    if not reply.rows:
        print(f'{request.job}: {_UNKNOWN_JOB_MESSAGE}', file=sys.stderr)
        return exit_codes.ExitCode.NOT_FOUND
    return _show(nodes, reply)


def _show(nodes: Nodes, reply: job_calls.JobReply) -> int:
    if nodes.json:
        output.show_json(reply)
        return exit_codes.ExitCode.OK
    for row in reply.rows:
        print(
            f'{row.id}  {row.phase.value:9}  {row.queue}  age {row.age_s:.1f}'
            f' s  tasks {row.tasks}, {row.running} run, {row.done} done'
        )
    for reason in reply.reasons:
        print(f'  {reason}')
    if reply.left_out:
        print(f'{reply.left_out} older jobs are left out', file=sys.stderr)
    return exit_codes.ExitCode.OK


def _call(nodes: Nodes, request: job_calls.JobRequest) -> job_calls.JobReply:
    try:
        return asyncio.run(
            call_leader(
                nodes.peers(), nodes.deployment(), request, nodes.timeout_s
            )
        )
    except peers.PeerError as error:
        raise errors.ClientError(
            exit_codes.ExitCode.UNREACHABLE, error.message, error.remedy
        ) from error


async def call_leader(
    candidates: list[settings.Peer],
    deployment: settings.Deployment,
    request: job_calls.JobRequest,
    timeout_s: float,
) -> job_calls.JobReply:
    """Try the nodes in turn and follow their hints to the leader.

    Raises the ``PeerError`` of the last node if none answered.
    """
    client = peers.PeerClient.from_config(
        deployment, _SENDER, settings.TlsOff.OFF
    )
    untried = list(candidates)
    failure: peers.PeerError | None = None
    try:
        for _ in range(len(candidates) + _MAX_LEADER_HINTS):
            if not untried:
                break
            peer = untried.pop(0)
            try:
                return await client.call(
                    peer,
                    job_calls.JOBS_PATH,
                    request,
                    job_calls.JobReply,
                    timeout_s,
                )
            except peers.NotLeaderError as error:
                failure = error
                if error.leader is not None and error.leader != peer:
                    untried.insert(0, error.leader)
            except peers.PeerError as error:
                failure = error
    finally:
        await client.close()
    assert failure is not None
    raise failure


def _usage_error(message: str, remedy: str) -> errors.ClientError:
    return errors.ClientError(exit_codes.ExitCode.USAGE, message, remedy)

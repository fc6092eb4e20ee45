"""Steps for calls that a node passes on to the leader."""

from __future__ import annotations

import asyncio
import time

import behave

from verbenastream.connection import peers
from verbenastream.process.jobqueue import errors
from verbenastream.process.node import directory as directories
from verbenastream.process.node import messages
from verbenastream.process.node import relay as relays
from verbenastream.process import settings

_OWN = settings.Peer('127.0.0.1', 1)
_SILENT = settings.Peer('127.0.0.2', 1)
_FAILING = settings.Peer('127.0.0.4', 1)
_NEXT_LEADER = settings.Peer('127.0.0.3', 1)
_CALL = messages.RelayedCall('front', 'GET', 'h', '/a/1')


class _Client:
    """Answers in place of every peer except the silent and failing ones."""

    status = 500

    async def call_raw(self, peer, path, body, timeout_s):
        if peer == _SILENT:
            await asyncio.sleep(timeout_s)
            raise peers.CallFailedError('no answer', 'Repeat the call.')
        if peer == _FAILING:
            raise peers.ErrorStatusError(self.status, 'failed', 'See the log.')
        reply = messages.RelayedReply(200, peer.address.encode())
        return messages.encode_relayed(reply)


class _Introductions:
    def search(self):
        """Find no other node."""


def _create_relay(context, leader):
    context.directory = directories.Directory(_OWN, (_SILENT,))
    if leader is not None:
        context.directory.update_leader(leader, 1, 0.0)
    context.client = _Client()
    context.relay = relays.Relay(
        context.directory, context.client, _Introductions()
    )


def _call(context, timeout_s, leader_change=None):
    async def run():
        loop = asyncio.get_running_loop()
        if leader_change is not None:
            after_s, leader = leader_change
            loop.call_later(
                after_s, context.directory.update_leader, leader, 2, 0.0
            )
        started_at = time.monotonic()
        try:
            context.reply = await context.relay.call(_CALL, timeout_s)
        except errors.JobQueueError as error:
            context.error = error
        context.took_s = time.monotonic() - started_at

    asyncio.run(run())


@behave.given('a node whose leader does not answer')
def step_silent(context):
    _create_relay(context, _SILENT)


@behave.given('a node whose leader answers with status {status:d}')
def step_failing(context, status):
    _create_relay(context, _FAILING)
    context.client.status = status


@behave.then('the call counts as {outcome}')
def step_outcome(context, outcome):
    expected = {
        'unknown': errors.OutcomeUnknownError,
        'not executed': errors.UnavailableError,
    }[outcome]
    assert isinstance(context.error, expected), context.error


@behave.given('a node that knows no leader')
def step_no_leader(context):
    _create_relay(context, None)


@behave.when('a call arrives and another node leads {after_s:g} s later')
def step_change(context, after_s):
    _call(context, 2.5, (after_s, _NEXT_LEADER))


@behave.when('a call arrives with a timeout of {limit_s:g} s')
def step_limited(context, limit_s):
    _call(context, limit_s)


@behave.then("the new leader's answer is passed back within {limit_s:g} s")
def step_answered(context, limit_s):
    assert context.reply.body == _NEXT_LEADER.address.encode(), context.reply
    assert context.took_s < limit_s, context.took_s


@behave.then('its outcome is unknown after {limit_s:g} s')
def step_unknown(context, limit_s):
    assert isinstance(context.error, errors.OutcomeUnknownError)
    assert limit_s <= context.took_s + 0.05, context.took_s


@behave.then('it is refused as not executed within {limit_s:g} s')
def step_refused(context, limit_s):
    assert isinstance(context.error, errors.UnavailableError)
    assert context.took_s < limit_s, context.took_s

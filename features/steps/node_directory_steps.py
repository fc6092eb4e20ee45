"""Steps for what nodes know about the leader."""

from __future__ import annotations

import types

import behave

from verbenastream.process import clock
from verbenastream.process.node import config as configs
from verbenastream.process.node import directory as directories
from verbenastream.process.node import introductions
from verbenastream.process.node import messages
from verbenastream.process.node import replica as replicas
from verbenastream.process import settings

_FIRST = settings.Peer('127.0.0.1', 1)
_SECOND = settings.Peer('127.0.0.2', 1)
_TERM = 3


class _Replicator:
    """The part of a replicator that a node reports to other nodes."""

    is_open = True
    term = _TERM

    def __init__(self):
        self.is_leader = False
        self.leader = None

    def status(self):
        return types.SimpleNamespace(durable=1)


def _node_settings():
    deployment = settings.Deployment(name='test', key='00' * 32)
    return configs.NodeSettings(
        'first', 'dc-1', 'region-1', _FIRST, (_FIRST, _SECOND), deployment
    )


def _create_node(context):
    config = _node_settings()
    context.replicator = _Replicator()
    context.directory = directories.Directory(_FIRST, config.seeds)
    context.replica = replicas.LocalReplica(config, context.replicator)
    context.discovery = introductions.LeaderDiscovery(
        config, context.directory, None, context.replica
    )
    context.second = directories.Directory(_SECOND, config.seeds)


def _update(context):
    context.replica.update(context.directory, clock.boot_time())


def _send_hello(context):
    reply = context.discovery.answer(messages.Hello('second'))
    context.second.record_reply(_FIRST, reply, clock.boot_time())


@behave.given('a node whose replica leads')
def step_leads(context):
    _create_node(context)
    context.replicator.is_leader = True
    context.replicator.leader = _FIRST
    _update(context)


@behave.given('a node that has confirmed this leader')
def step_confirmed(context):
    _send_hello(context)
    assert context.second.leader == _FIRST, context.second.leader
    context.confirmed_at = context.second.leader_confirmed_at


@behave.given('a node whose replica knows no leader')
def step_knows_none(context):
    _create_node(context)
    _update(context)


@behave.when('the replica gives up leadership')
def step_gives_up(context):
    context.replicator.is_leader = False
    context.replicator.leader = None


@behave.when('the second node sends a hello to the first')
def step_hello(context):
    _send_hello(context)


@behave.when('another node reports that it leads')
def step_reports(context):
    reply = messages.HelloReply(leader=_SECOND, term=_TERM)
    context.directory.record_reply(_SECOND, reply, clock.boot_time())


@behave.when('the replica still knows no leader')
def step_still_none(context):
    _update(context)


@behave.then('neither node knows a leader')
def step_no_leader(context):
    leaders = (context.directory.leader, context.second.leader)
    assert leaders == (None, None), leaders


@behave.then('the second node has no confirmed leader')
def step_not_confirmed(context):
    confirmed_at = context.second.leader_confirmed_at
    assert confirmed_at <= context.confirmed_at, confirmed_at


@behave.then('the first node knows the other one as leader')
def step_knows_other(context):
    assert context.directory.leader == _SECOND, context.directory.leader

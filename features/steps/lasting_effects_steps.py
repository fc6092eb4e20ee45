"""Steps for faults that have passed and must leave no lasting effect."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import types
from unittest import mock

import behave

from verbenastream import ids
from verbenastream.process import agreement
from verbenastream.process.agreement import messages as raft_messages
from verbenastream.process import clock
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import workers
from verbenastream.process.node import directory as directories
from verbenastream.process.node import introductions
from verbenastream.process.node import messages
from verbenastream.process.node import policy as policies
from verbenastream.process.node import replica as replicas
from verbenastream.process import settings
from verbenastream_testing.agreement import checks
from verbenastream_testing.agreement import cluster as clusters
from verbenastream_testing.agreement import replica as simulated
from verbenastream_testing.jobqueue import leader as leaders

_WORKER = ids.WorkerId('w0')
_OWN = settings.Peer('127.0.0.1', 1)
_LEADER = settings.Peer('127.0.0.2', 1)
_REPLICA = settings.Peer('127.0.0.3', 1)


def _step(**fields):
    return model.Step(1, model.Resources(2000, 100), 1.0, **fields)


def _report_failures(leader, worker, runs):
    """Report that ``runs`` have failed; return the uncommitted command."""
    leader.running_by_worker[worker] = ()
    leader.ended = tuple(
        workers.EndReport(number, key, run, model.EndKind.FAILED)
        for number, (key, run) in enumerate(runs, 1)
    )
    beat, _ = leader.beat(worker)
    leader.ended = ()
    return beat, leader.dispatcher.find_ended_runs(
        beat, leader.now, leader.now
    )


def _start_jobs(leader, worker, first, count):
    """Start ``count`` jobs of one task on ``worker``; return their runs."""
    runs = []
    for number in range(first, first + count):
        leader.submit(_step(), job=ids.JobId(f'{number:016x}'))
        runs += leader.give_orders(worker)
    leader.report_runs(worker)
    return runs


@behave.given('8 jobs that fail at once have failed on each worker')
def step_failing_jobs(context):
    leader = context.leader
    names = list(leader.running_by_worker)
    runs_by_worker = {name: [] for name in names}
    for number in range(8 * len(names)):
        leader.submit(_step(), job=ids.JobId(f'{number:016x}'))
    leader.dispatcher.assign(leader.now, leader.now)
    for name in names:
        runs_by_worker[name] = leader.give_orders(name)
        leader.report_runs(name)
    for name, runs in runs_by_worker.items():
        assert len(runs) == 8, runs_by_worker
        beat, command = _report_failures(leader, name, runs)
        leader.apply(command)
        leader.dispatcher.acknowledge(beat)


@behave.when('a long-running job waits for {duration_s:d} seconds')
def step_long_running_waits(context, duration_s):
    leader = context.leader
    job = ids.JobId('ffffffffffffffff')
    leader.submit(_step(long_running=True), job=job)
    context.started = []
    end = leader.now + duration_s
    while leader.now < end:
        leader.now += 0.5
        for name in leader.running_by_worker:
            context.started += [
                key for key, _ in leader.give_orders(name) if key.job == job
            ]
            leader.report_runs(name)


@behave.then('its task has started')
def step_started(context):
    assert context.started, context.leader.dispatcher.health._records_by_id


@behave.when(
    'worker w0 reports 3 failed jobs {count:d} times before the log commits it'
)
def step_repeated_report(context, count):
    leader = context.leader
    runs = _start_jobs(leader, _WORKER, 0, 3)
    assert len(runs) == 3, runs
    for _ in range(count):
        leader.now += 0.7
        beat, command = _report_failures(leader, _WORKER, runs)
    leader.apply(command)
    leader.dispatcher.acknowledge(beat)


@behave.then(
    'worker w0 is available again {delay_s:d} seconds after the last report'
)
def step_available(context, delay_s):
    leader = context.leader
    health = leader.dispatcher.health
    instance = ids.InstanceId(_WORKER)
    assert health.is_available(instance, leader.now + delay_s), (
        health._records_by_id[instance].blocked_until - leader.now
    )


@behave.when('worker w1 restarts')
def step_restart(context):
    context.leader.now += 0.1
    context.leader.beat(ids.WorkerId('w1'), incarnation=2)


@behave.then('no task is assigned with the ticket of its earlier incarnation')
def step_no_old_ticket(context):
    leader = context.leader
    assert not leader.dispatcher.assign(leader.now, leader.now)


@behave.given('a replica in term 8 that has learned of the leader of term 7')
def step_later_term(context):
    # A vote that its disk refuses or delays takes a replica to a later term
    # while the others still follow the leader.
    replicator = types.SimpleNamespace(
        is_leader=False, leader=None, term=ids.Term(8)
    )
    config = types.SimpleNamespace(
        peers=_REPLICA, name='replica', data_folder='data'
    )
    directory = directories.Directory(_REPLICA, (_LEADER,))
    directory.record_reply(
        _LEADER, messages.HelloReply(_LEADER, 7, {}, None), clock.boot_time()
    )
    discovery = introductions.LeaderDiscovery(
        config, directory, None, replicas.LocalReplica(config, replicator)
    )
    context.replica_reply = discovery.answer(messages.Hello('node'))


@behave.when('a node hears from that replica and then from the leader')
def step_hears(context):
    context.node = directories.Directory(_OWN, (_REPLICA, _LEADER))
    context.node.record_reply(_REPLICA, context.replica_reply, 1.0)
    _hear_leader(context, 2.0)


def _hear_leader(context, now):
    reply = messages.HelloReply(_LEADER, 7, {}, None)
    context.node.record_reply(_LEADER, reply, now)


@behave.then('the node counts the leader as confirmed')
def step_confirmed(context):
    assert context.node.leader == _LEADER, context.node.leader
    assert context.node.leader_confirmed_at == 2.0, (
        context.node.leader_confirmed_at
    )


@behave.when('a call to the leader fails once and the leader answers again')
def step_fails_once(context):
    context.node.forget_leader(_LEADER)
    _hear_leader(context, 3.0)


@behave.then('the node knows the leader')
def step_known(context):
    assert context.node.leader == _LEADER, context.node.leader


@behave.when(
    'the platform answers no move and lists no readable row of it '
    'for {duration_s:g} s'
)
def step_unreadable(context, duration_s):
    fleet = context.fleet
    fleet.platform.outcome = instances.CallOutcome.UNKNOWN
    while not fleet.platform.moves:
        fleet.run_for(0.25)
    fleet.leader.run(fleet.submit())
    fleet.platform.missing_ids = {fleet.platform.moves[0][0]}
    fleet.platform.has_unreadable_rows = True
    fleet.run_for(duration_s)


@behave.when(
    'the list shows all instances in their pool again for {duration_s:g} s'
)
def step_readable(context, duration_s):
    fleet = context.fleet
    fleet.platform.missing_ids = set()
    fleet.platform.has_unreadable_rows = False
    end = fleet.leader.now + duration_s
    while fleet.leader.now < end:
        fleet.run_for(0.25)
        fleet.dispatcher.assign(fleet.leader.now, fleet.leader.now)


@behave.given('five simulated replicas that keep three voters')
def step_five_replicas(context):
    context.cluster = clusters.Cluster(random.Random(context.seed), 5)
    context.cluster.start()
    for replica in context.cluster.replicas_by_name.values():
        _keep_three_voters(replica)
    context.cluster.run_until(3.0)
    _propose(context, 1)
    assert len(_configuration(context).voters) == 5, _configuration(context)


def _keep_three_voters(replica):
    state = replica.core.state
    state.limits = dataclasses.replace(state.limits, min_voters=3)


def _configuration(context):
    return context.cluster.leader().core.state.configuration


def _propose(context, id):
    answers = []
    payload = checks.encode_write(id, f'key-{id}', id)
    context.cluster.leader().propose({id: payload}, answers.append)
    context.cluster.run_until(context.cluster.now + 0.5)
    assert answers == [None], answers


def _follower(context):
    leader = context.cluster.leader()
    return next(
        replica
        for replica in context.cluster.replicas_by_name.values()
        if replica is not leader
    )


@behave.when(
    'a follower is cut off for {cut_s:d} seconds and reachable again for '
    '{after_s:d}'
)
def step_cut_off(context, cut_s, after_s):
    cluster = context.cluster
    context.follower = _follower(context)
    own = context.follower.name
    for name in cluster.replicas_by_name:
        if name != own:
            cluster.network.blocked_links |= {(own, name), (name, own)}
    cluster.run_until(cluster.now + cut_s)
    cluster.network.heal()
    _propose(context, 2)
    cluster.run_until(cluster.now + after_s)


@behave.then('it is a member and applies what the leader applies')
def step_member_again(context):
    leader = context.cluster.leader()
    identity = context.follower.core.state.identity
    configuration = _configuration(context)
    assert configuration.find(identity) is not None, configuration
    assert context.follower.applied == leader.applied


@behave.when('an empty replica has joined as a learner and all others stop')
def step_learner(context):
    cluster = context.cluster
    others = list(cluster.replicas_by_name.values())
    learner = simulated.Replica('control-9', 9, cluster, simulated.Variant())
    cluster.replicas_by_name['control-9'] = learner
    learner.start()
    end = cluster.now + 5.0
    while learner.core.state.leader is None:
        assert cluster.now < end, 'the replica did not join'
        cluster.run_until(cluster.now + 0.001)
    for replica in others:
        replica.kill(power_loss=True)
    assert not learner.core.state.is_voter
    context.learner = learner


@behave.then('it follows no leader {delay_s:d} seconds later')
def step_no_leader(context, delay_s):
    context.cluster.run_until(context.cluster.now + delay_s)
    assert context.learner.core.state.leader is None


@behave.given('a long-running task on worker w0 while worker w1 is blocked')
def step_blocked_worker(context):
    leader = context.leader
    blocked = ids.WorkerId('w1')
    instance = ids.InstanceId(blocked)
    for number in range(3):
        leader.dispatcher.health.record_failure(
            instance, ids.JobId(f'{number:016x}'), leader.now
        )
    assert not leader.dispatcher.health.is_available(instance, leader.now)
    job = ids.JobId('ffffffffffffffff')
    leader.submit(_step(long_running=True), job=job)
    started = [run for run in leader.give_orders(_WORKER) if run[0].job == job]
    [(context.task, _)] = started


@behave.then('the task does not fit on another worker')
def step_no_room(context):
    leader = context.leader
    worker = leader.dispatcher.workers_by_id[_WORKER]
    assert not leader.dispatcher.fits_on_another_worker(
        context.task, worker, leader.now
    )


@behave.when('one query fails with an unexpected error')
def step_failing_query(context):
    leader = context.leader
    service = types.SimpleNamespace(
        leader=types.SimpleNamespace(ready=True),
        require_leader=lambda: leader.dispatcher,
        schedule_assignment=lambda: None,
    )
    context.policy = mock.AsyncMock()
    context.policy.request_tickets.side_effect = [KeyError('unexpected'), {}]
    context.poller = policies.PolicyPoller(service, context.policy)
    try:
        _query(context)
    except KeyError:
        return
    raise AssertionError('the query did not fail')


def _query(context):
    now = context.leader.now
    with (
        mock.patch.object(clock, 'boot_time', lambda: now),
        mock.patch.object(clock, 'unix_time', lambda: now),
    ):
        asyncio.run(context.poller._query_once())


@behave.then('the next query is sent {delay_s:d} seconds later')
def step_next_query(context, delay_s):
    context.leader.now += delay_s
    context.leader.beat_all()
    _query(context)
    calls = context.policy.request_tickets.await_count
    assert calls == 2, calls


@behave.when(
    'a follower refuses all requests for {duration_s:d} seconds while '
    'commands arrive'
)
def step_refusing_follower(context, duration_s):
    cluster = context.cluster
    identity = _follower(context).core.state.identity
    deliver = cluster.send
    context.batches = 0
    context.duration_s = duration_s

    def send(source, envelope):
        if envelope.recipient != identity:
            deliver(source, envelope)
            return
        message = envelope.message
        if isinstance(message, raft_messages.AppendRequest):
            context.batches += bool(message.entries)
        replica = cluster.replicas_by_name[source]
        cluster.schedule(0.001, lambda: replica.handle_send_failure(envelope))

    cluster.send = send
    for replica in cluster.replicas_by_name.values():
        replica.core.state.limits = agreement.Limits()
    end = cluster.now + duration_s
    id = 100
    while cluster.now < end:
        payload = checks.encode_write(id, f'key-{id}', id)
        cluster.leader().propose({id: payload}, lambda answer: None)
        cluster.run_until(cluster.now + 0.005)
        id += 1


@behave.then('entries are sent to it once per heartbeat interval')
def step_few_batches(context):
    heartbeat_s = context.cluster.leader().core.state.timings.heartbeat_s
    limit = 1.5 * context.duration_s / heartbeat_s
    assert 0 < context.batches <= limit, (context.batches, limit)


@behave.when('that worker drains and has {left_s:d} seconds left')
def step_drains(context, left_s):
    leader = context.leader
    context.restarted = []
    [other] = set(leader.running_by_worker) - {context.worker}
    end = leader.now + left_s
    while leader.now < end:
        leader.now += 0.5
        leader.sequence += 1
        beat = dataclasses.replace(
            leaders.heartbeat(context.worker, 'm-0', leader.sequence),
            running=leader.running_by_worker[context.worker],
            draining=True,
            leaves_in_s=end - leader.now,
        )
        dispatcher = leader.dispatcher
        dispatcher.observe(beat, leader.now)
        orders = dispatcher.build_orders(beat, None, [], 1, leader.now)
        leader.running_by_worker[context.worker] = tuple(
            row
            for row in beat.running
            if (row.task, row.run) not in orders.stops
        )
        if orders.stops:
            leader.apply(commands.EndRuns((), orders.stops, leader.now))
        context.restarted += leader.give_orders(other)
        leader.report_runs(other)


@behave.then('the tasks run on the other worker before it leaves')
def step_evacuated(context):
    assert len(context.restarted) == 2, context.restarted

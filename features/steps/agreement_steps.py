"""Steps for the Raft core on virtual time."""

from __future__ import annotations

import dataclasses
import random

import behave

from verbenastream import ids
from verbenastream.process import agreement
from verbenastream.process.agreement import events
from verbenastream.process.agreement import messages
from verbenastream_testing.agreement import broken
from verbenastream_testing.agreement import checks
from verbenastream_testing.agreement import cluster as clusters
from verbenastream_testing.agreement import faults
from verbenastream_testing.agreement import replica as replicas
from verbenastream_testing.agreement import schedule


@behave.when('{count:d} fault schedules run on virtual time')
def step_schedules(context, count):
    start = context.seed * 10_000
    context.outcomes = [
        schedule.run(seed) for seed in range(start, start + count)
    ]


@behave.then('no fault schedule violates an invariant')
def step_no_violation(context):
    violations = [outcome for outcome in context.outcomes if outcome.violation]
    assert not violations, violations
    assert sum(o.completed for o in context.outcomes) > 5_000
    injected = set()
    for outcome in context.outcomes:
        injected.update(outcome.counts_by_fault)
    assert injected == set(faults.Fault), injected


@behave.when(
    'a replica that {name} runs schedules {first:d} to {last:d} with {kinds}'
)
def step_broken(context, name, first, last, kinds):
    variant = broken.VARIANTS_BY_NAME[name]
    selected = tuple(faults.Fault(kind) for kind in kinds.split(', '))
    context.violation = ''
    for seed in range(first, last + 1):
        context.violation = schedule.run(seed, variant, selected).violation
        if context.violation:
            return


@behave.then('a schedule reports a violation')
def step_violation(context):
    assert context.violation


def _write(context, count=1, timeout=30.0):
    """Propose ``count`` commands, each until it is acknowledged."""
    cluster = context.cluster
    for _ in range(count):
        context.last_id += 1
        id = context.last_id
        end = cluster.now + timeout
        context.answers = []
        while not context.answers or context.answers[0] is not None:
            assert cluster.now < end, 'the command was not acknowledged'
            context.answers = []
            leader = cluster.leader()
            if leader is not None:
                payload = checks.encode_write(id, _key(id), id)
                leader.propose({id: payload}, context.answers.append)
            while cluster.now < end and not context.answers and leader:
                cluster.run_until(cluster.now + 0.01)
            if leader is None:
                cluster.run_until(cluster.now + 0.1)
            elif context.answers[0] is not None:
                # No id is proposed twice: the next attempt uses a new one.
                context.last_id += 1
                id = context.last_id


def _key(id):
    return f'register-{id % 10}'


def _followers(context):
    leader = context.cluster.leader()
    return [
        replica
        for replica in context.cluster.replicas_by_name.values()
        if replica is not leader
    ]


@behave.given('three simulated replicas with a leader')
def step_cluster(context):
    _start_cluster(context, replicas.Variant)


def _start_cluster(context, variant):
    rng = random.Random(context.seed)
    context.cluster = clusters.Cluster(rng, 3, variant)
    context.last_id = 0
    context.cluster.start()
    _write(context, count=3)
    context.cluster.run_until(context.cluster.now + 1.0)
    context.leader = context.cluster.leader()
    context.term = context.leader.term


@behave.given('three simulated replicas that {kind} with a leader')
def step_cluster_of_kind(context, kind):
    variant = broken.VARIANTS_BY_NAME.get(kind, replicas.Variant)
    _start_cluster(context, variant)


@behave.when('a follower receives nothing from the leader and asks for votes')
def step_follower_without_heartbeats(context):
    context.follower = _followers(context)[0]
    cluster = context.cluster
    cluster.network.blocked_links.add(
        (context.leader.name, context.follower.name)
    )
    end = cluster.now + 5
    while not context.follower.is_candidate:
        assert cluster.now < end, 'the follower asks for no votes'
        cluster.run_until(cluster.now + 0.001)


@behave.when('the leader is isolated at that moment')
def step_isolate_leader(context):
    for replica in _followers(context):
        cuts = context.cluster.network.blocked_links
        cuts.add((context.leader.name, replica.name))
        cuts.add((replica.name, context.leader.name))


@behave.then('a write completes while the old leader serves reads: {overlap}')
def step_overlapping_leaders(context, overlap):
    cluster = context.cluster
    written = []
    observed = 'no'
    others = [
        replica
        for replica in cluster.replicas_by_name.values()
        if replica is not context.leader
    ]
    end = cluster.now + 5
    while context.leader.core.is_leader:
        assert cluster.now < end, 'the isolated leader does not step down'
        cluster.run_until(cluster.now + 0.01)
        for replica in others:
            if replica.core.is_leader and not written:
                written = [None]
                context.last_id += 1
                payload = checks.encode_write(context.last_id, 'a', 1)
                replica.propose({context.last_id: payload}, written.append)
        read = []
        context.leader.read(10_000 + cluster.steps, read.append)
        if len(written) == 2 and any(isinstance(r, dict) for r in read):
            observed = 'yes'
    assert observed == overlap, observed


def _ask_for_vote(context, voter, candidate, term):
    """Return whether ``voter`` grants ``candidate`` its vote."""
    core = voter.core
    log = core.state.log
    request = messages.VoteRequest(
        ids.Term(term), log.last_index, log.last_term, pre_vote=False
    )
    envelope = messages.Envelope(
        candidate, core.state.identity, 1_000_000, request
    )
    context.granted = []
    send = context.cluster.send

    def capture_vote(source, sent):
        if isinstance(sent.message, messages.VoteReply):
            context.granted.append(sent.message.granted)
        else:
            send(source, sent)

    context.cluster.send = capture_vote
    voter.receive(envelope)
    context.cluster.run_until(context.cluster.now + 0.01)
    context.cluster.send = send
    return context.granted == [True]


@behave.when('a follower votes for one candidate, loses power and restarts')
def step_vote_and_crash(context):
    voter = context.voter = _followers(context)[0]
    for name in context.cluster.replicas_by_name:
        context.cluster.network.blocked_links.add((name, voter.name))
        context.cluster.network.blocked_links.add((voter.name, name))
    # The voter refuses votes for at most 0.5 s by its clock after its last
    # contact with the leader; its own election starts a little later.
    while voter.core.state.has_recent_leader():
        context.cluster.run_until(context.cluster.now + 0.01)
        voter.core.handle(
            events.MessageReceived(_message_to_other_identity(voter)),
            voter.local_time(),
        )
    context.vote_term = voter.term + 5
    first = ids.ReplicaId('first')
    assert _ask_for_vote(context, voter, first, context.vote_term)
    voter.kill(power_loss=True)
    voter.start()
    context.cluster.run_until(context.cluster.now + 0.505)


def _message_to_other_identity(voter):
    """Return a message that only advances the clock of the core."""
    other = ids.ReplicaId('nobody')
    return messages.Envelope(other, other, 0, messages.TimeoutNow(ids.Term(0)))


@behave.then('it rejects another candidate of the same term')
def step_second_vote(context):
    second = ids.ReplicaId('second')
    voter = context.voter
    assert voter.term == context.vote_term, voter.term
    assert not _ask_for_vote(context, voter, second, context.vote_term)
    first = ids.ReplicaId('first')
    assert _ask_for_vote(context, voter, first, context.vote_term)


@behave.when(
    'the leader can send but receives nothing for {seconds:d} seconds'
)
def step_one_way(context, seconds):
    for replica in _followers(context):
        pair = (replica.name, context.leader.name)
        context.cluster.network.blocked_links.add(pair)
    context.cluster.run_until(context.cluster.now + seconds)


@behave.then('another simulated replica leads and commands complete')
def step_other_leads(context):
    _write(context, count=3)
    assert context.cluster.leader() is not context.leader


@behave.then('the previous leader serves no read')
def step_no_read(context):
    context.last_id += 1
    answers = []
    context.leader.read(context.last_id, answers.append)
    assert isinstance(answers[0], events.Refused), answers


@behave.when('a follower is isolated for {seconds:d} seconds and returns')
def step_isolated_follower(context, seconds):
    isolated = _followers(context)[0].name
    for name in context.cluster.replicas_by_name:
        context.cluster.network.blocked_links.add((isolated, name))
        context.cluster.network.blocked_links.add((name, isolated))
    context.cluster.run_until(context.cluster.now + seconds)
    context.cluster.network.heal()
    context.cluster.run_until(context.cluster.now + 5)


@behave.when(
    'every fsync takes {delay:d} seconds for {seconds:d} seconds of commands'
)
def step_slow_disks(context, delay, seconds):
    for replica in context.cluster.replicas_by_name.values():
        replica.sync_s = delay
    end = context.cluster.now + seconds
    while context.cluster.now < end:
        _write(context)


@behave.then('the same simulated replica leads in the same term')
def step_same_leader(context):
    _write(context)
    leader = context.cluster.leader()
    assert leader is context.leader
    assert leader.term == context.term, (leader.term, context.term)


@behave.when("the leader's disk becomes full during a command")
def step_full_disk(context):
    context.leader.disk.full = True
    _write(context)


@behave.then('the leader reports the storage failure and steps down')
def step_storage_failure(context):
    state = context.leader.core.state
    assert state.role is agreement.Role.FAILED
    assert 'No space left' in state.failure, state.failure


@behave.when(
    'the disk of each of {count:d} leaders is full for {duration:d} seconds'
)
def step_full_in_turn(context, count, duration):
    cluster = context.cluster
    context.delays = []
    for _ in range(count):
        leader = cluster.leader()
        leader.disk.full = True
        start = cluster.now
        _write(context)
        context.delays.append(cluster.now - start)
        assert cluster.leader() is not leader
        cluster.run_until(start + duration)
        leader.disk.full = False


@behave.then(
    'another replica acknowledged commands within {limit:d} second each time'
)
def step_acknowledged_soon(context, limit):
    assert max(context.delays) <= limit, context.delays


@behave.when('all disks are full for {duration:d} seconds')
def step_all_full(context, duration):
    cluster = context.cluster
    leader = cluster.leader()
    for replica in cluster.replicas_by_name.values():
        replica.disk.full = True
    context.answers = []
    context.last_id += 1
    id = context.last_id
    payload = checks.encode_write(id, _key(id), id)
    leader.propose({id: payload}, context.answers.append)
    cluster.run_until(cluster.now + duration)
    context.answers_while_full = list(context.answers)
    for replica in cluster.replicas_by_name.values():
        replica.disk.full = False


@behave.then('nothing was acknowledged meanwhile')
def step_not_acknowledged(context):
    assert None not in context.answers_while_full
    assert context.answers_while_full, 'the caller got no answer'


@behave.then(
    'every simulated replica applies the latest command within'
    ' {limit:d} seconds'
)
def step_applied_by_all(context, limit):
    cluster = context.cluster
    end = cluster.now + limit
    _write(context, timeout=limit)
    last = cluster.leader().applied
    replicas_ = cluster.replicas_by_name.values()
    while any(replica.applied < last for replica in replicas_):
        assert cluster.now < end, [replica.applied for replica in replicas_]
        cluster.run_until(cluster.now + 0.01)


@behave.when('the leader transfers its leadership and its process ends')
def step_transfer(context):
    context.leader.transfer_leadership()
    # Long enough for the request to the successor but too short for a vote:
    # the successor needs the vote of a replica that still has a live leader.
    context.cluster.run_until(context.cluster.now + 0.003)
    context.leader.kill(power_loss=False)


@behave.then('another simulated replica leads within {limit:d} ms')
def step_leads_soon(context, limit):
    context.cluster.run_until(context.cluster.now + limit / 1000)
    leader = context.cluster.leader()
    assert leader is not None
    assert leader is not context.leader


def _is_replaced(context, replica):
    leader = context.cluster.leader()
    return (
        leader is not None
        and replica.core is not None
        and replica.core.state.identity
        in leader.core.state.configuration.voter_ids
        and leader.core.state.log.configuration_index
        <= leader.core.state.commit
    )


@behave.when('each replica in turn loses its disk and is replaced')
def step_replace_all(context):
    context.old_ids = context.leader.core.state.configuration.voter_ids
    for replica in list(context.cluster.replicas_by_name.values()):
        _write(context, count=15)
        replica.wipe_disk()
        replica.start()
        end = context.cluster.now + 30
        while not _is_replaced(context, replica):
            assert context.cluster.now < end, f'{replica.name} not replaced'
            context.cluster.run_until(context.cluster.now + 0.01)
        state = replica.core.state
        last = context.cluster.leader().core.state.log.last_index
        # Two more entries: the removal of the old identity and the promotion.
        assert last - state.persisted <= state.limits.max_learner_lag + 2, (
            f'{replica.name} votes with {state.persisted} of {last} entries'
        )


@behave.then('all commands acknowledged before are still applied')
def step_all_applied(context):
    _write(context)
    context.cluster.run_until(context.cluster.now + 2)
    for replica in context.cluster.replicas_by_name.values():
        machine = replica.machine
        context.cluster.checker.check_final_history(
            replica.applied, machine.digest
        )
        id = context.last_id
        assert machine.values_by_key[_key(id)] == id


@behave.then('the membership holds three voters with new identities')
def step_new_ids(context):
    configuration = context.cluster.leader().core.state.configuration
    assert len(configuration.voters) == 3, configuration
    assert not configuration.learners, configuration
    assert not configuration.voter_ids & context.old_ids, configuration


@behave.when("an empty replica asks to join under a running follower's name")
def step_same_name(context):
    name = _followers(context)[0].name
    stranger = agreement.Member(
        ids.ReplicaId('stranger'), name, '127.0.0.1', 9
    )
    context.leader.handle_join(stranger)
    context.cluster.run_until(context.cluster.now + 5)


@behave.then('the membership is unchanged')
def step_unchanged(context):
    configuration = context.leader.core.state.configuration
    assert configuration.find(ids.ReplicaId('stranger')) is None


@behave.when('a follower is down for {count:d} commands and returns')
def step_compacted(context, count):
    context.lagging = _followers(context)[0]
    context.lagging.kill(power_loss=True)
    _write(context, count=count)
    context.lagging.start()
    context.cluster.run_until(context.cluster.now + 5)


@behave.then('it catches up from a snapshot in parts')
def step_caught_up(context):
    assert context.lagging.applied == context.leader.applied
    snapshot = context.lagging.core.state.log.snapshot
    part = context.lagging.core.state.limits.snapshot_part_bytes
    assert len(snapshot.data) > 2 * part, len(snapshot.data)
    assert snapshot.index > 400, snapshot.index


@behave.then('each simulated replica holds fewer than {count:d} entries')
def step_bounded(context, count):
    for replica in context.cluster.replicas_by_name.values():
        assert len(replica.core.state.log.entries) < count


@behave.given('three simulated replicas with a leader that keep three voters')
def step_keep_three(context):
    context.execute_steps('Given three simulated replicas with a leader')
    for replica in context.cluster.replicas_by_name.values():
        state = replica.core.state
        state.limits = dataclasses.replace(state.limits, min_voters=3)


@behave.when(
    'a follower stops for good and an empty replica with another name starts'
)
def step_other_name(context):
    stopped = _followers(context)[0]
    stopped.kill(power_loss=True)
    cluster = context.cluster
    added = replicas.Replica('control-9', 9, cluster, replicas.Variant())
    cluster.replicas_by_name['control-9'] = added
    added.start()
    context.running_names = {
        name for name in cluster.replicas_by_name if name != stopped.name
    }
    _write(context, count=5)


@behave.then('within {limit:d} seconds the voters are the running replicas')
def step_running_voters(context, limit):
    context.cluster.run_until(context.cluster.now + limit)
    leader = context.cluster.leader()
    assert leader is not None
    configuration = leader.core.state.configuration
    voters = {member.name for member in configuration.voters}
    assert voters == context.running_names, voters


def _keep_three(replica):
    state = replica.core.state
    state.limits = dataclasses.replace(state.limits, min_voters=3)


def _add_voter(context):
    """Start an empty replica with another name and wait until it votes."""
    cluster = context.cluster
    added = replicas.Replica('control-9', 9, cluster, replicas.Variant())
    cluster.replicas_by_name['control-9'] = added
    added.start()
    _keep_three(added)
    end = cluster.now + 10
    while not added.core.state.is_voter:
        assert cluster.now < end, 'the new replica does not vote'
        cluster.run_until(cluster.now + 0.01)


def _announce_stop(context, stopping):
    for replica in context.cluster.replicas_by_name.values():
        if replica is not stopping:
            identity = stopping.core.state.identity
            replica.handle(events.LeaveAnnounced(identity))


@behave.when(
    'an empty replica with another name votes and a follower announces its '
    'stop and ends'
)
def step_replace_announced(context):
    stopping = _followers(context)[0]
    _add_voter(context)
    _write(context, count=5)
    _announce_stop(context, stopping)
    stopping.kill(power_loss=False)


@behave.when(
    'an empty replica with another name votes and a follower ends and is '
    'removed after {delay:g} s'
)
def step_replace_unannounced(context, delay):
    stopping = _followers(context)[0]
    _add_voter(context)
    _write(context, count=5)
    for replica in context.cluster.replicas_by_name.values():
        state = replica.core.state
        state.limits = dataclasses.replace(state.limits, removal_delay_s=delay)
    stopping.kill(power_loss=False)


@behave.when('{pause:g} s later the {lost} loses its disk')
def step_lose_disk(context, pause, lost):
    cluster = context.cluster
    cluster.run_until(cluster.now + pause)
    replica = cluster.leader()
    if lost == 'follower':
        replica = next(filter(lambda one: one.is_up, _followers(context)))
    replica.wipe_disk()
    replica.start()
    _keep_three(replica)


@behave.then('a command is acknowledged within {limit:d} s')
def step_committed_within(context, limit):
    _write(context, timeout=limit)


@behave.then(
    'all commands acknowledged before are still applied by those running'
)
def step_applied_by_running(context):
    context.cluster.run_until(context.cluster.now + 2)
    for replica in context.cluster.replicas_by_name.values():
        if replica.is_up:
            machine = replica.machine
            context.cluster.checker.check_final_history(
                replica.applied, machine.digest
            )
            id = context.last_id
            assert machine.values_by_key[_key(id)] == id


@behave.when(
    'a follower announces its stop, restarts, and a fourth voter joins'
)
def step_restart_announced(context):
    stopping = _followers(context)[0]
    _announce_stop(context, stopping)
    stopping.kill(power_loss=False)
    context.cluster.run_until(context.cluster.now + 0.5)
    stopping.start()
    _keep_three(stopping)
    context.cluster.run_until(context.cluster.now + 4)
    _add_voter(context)


@behave.then('after {delay:d} s all four replicas vote')
def step_four_voters(context, delay):
    context.cluster.run_until(context.cluster.now + delay)
    configuration = context.cluster.leader().core.state.configuration
    assert len(configuration.voters) == 4, configuration

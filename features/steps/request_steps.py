"""Steps for the decisions of an entry about requests, in a replay."""

from __future__ import annotations

import collections
import random

import behave

from bench import request_traces as traces
from verbenastream import ids
from verbenastream.request import actions
from verbenastream.request.claims import messages as claims
from verbenastream.request import events
from verbenastream.request.queueing import estimates
from verbenastream.request.queueing import lanes
from verbenastream.request.retries import budget
from verbenastream.request.retries import policy
from verbenastream.version.documents import schema
from verbenastream_testing import request_replay as replay

_KIND = (
    ids.ServiceId('product'),
    'recode',
    ids.CustomerId('customer-1'),
)


def _request(idempotent=True, key=None):
    return events.RequestInfo(
        ids.RequestId('1'),
        ids.ServiceId('product'),
        'look-up',
        ids.CustomerId('customer-1'),
        30.0,
        schema.WorkClass.SHORT,
        idempotent,
        key,
    )


@behave.given('{count:d} requests wait or run at {entries:d} entries')
def step_open_requests(context, count, entries):
    arrivals = [
        replay.Arrival(0.001 * (number / count), 0.2, customer='customer-1')
        for number in range(count)
    ]
    context.replay = replay.Replay(
        arrivals, entries=entries, services={'product': 2}
    )
    context.replay.run(until=context.replay.start + 0.1)


@behave.when('all requests are cancelled at once')
def step_cancel_all(context):
    context.replay.cancel_unfinished()
    context.replay.run(until=context.replay.now + 5.0)


@behave.then('every counter is zero and every slot is free again')
def step_counters_zero(context):
    finished = context.replay
    for entry in finished.entries:
        counters = entry.dispatcher.counters()
        assert counters.total == 0, counters
    for target in finished.targets.values():
        assert target.running == 0
        assert target.max_running <= 8
    for arrival in finished.arrivals:
        assert arrival.finished is not None
        ran = arrival.outcome is not claims.Outcome.NOT_RUN
        assert ran or not arrival.runs, arrival
    free = sum(
        target.free_slots
        for entry in finished.entries
        for pool in entry.dispatcher.owned_pools
        for target in pool.targets_by_id.values()
    )
    idle = sum(entry.dispatcher.idle_grants for entry in finished.entries)
    assert free + idle == 16, (free, idle)


@behave.given('a burst of five times the mean demand for {seconds:g} seconds')
def step_burst(context, seconds):
    steady = traces.short_only(1, 0.8, 16, seconds + 4.0, deadline_s=1.5)
    burst = traces.short_only(2, 3.2, 16, seconds, deadline_s=1.5, begin=2.0)
    arrivals = sorted(steady + burst, key=lambda arrival: arrival.time)
    context.replay = replay.Replay(
        arrivals, entries=3, services={'product': 2}
    )


@behave.when('the burst is replayed')
def step_replay_burst(context):
    context.replay.run()


@behave.then('rejected work did not run and has a Retry-After')
def step_rejected(context):
    rejected = [
        arrival for arrival in context.replay.arrivals if arrival.status == 503
    ]
    assert rejected
    for arrival in rejected:
        assert arrival.outcome is claims.Outcome.NOT_RUN
        assert not arrival.runs
        assert 0.0 < arrival.retry_after_s <= 10.0, arrival


@behave.then('under 0.1% of the accepted work misses its deadline')
def step_deadlines(context):
    accepted = [
        arrival for arrival in context.replay.arrivals if arrival.status != 503
    ]
    late = [arrival for arrival in accepted if arrival.answered is None]
    assert len(late) < 0.001 * len(accepted), (len(late), len(accepted))


@behave.given('a target of six that fails every request')
def step_failing_target(context):
    arrivals = traces.short_only(3, 0.5, 48, 6.0, deadline_s=3.0)
    context.replay = replay.Replay(arrivals, entries=4)
    target = next(iter(context.replay.targets.values()))
    context.replay.schedule(
        context.replay.start + 1.0, lambda: setattr(target, 'fault', 'fail')
    )
    context.failing = target


@behave.when('idempotent work runs for six seconds')
def step_run_failing(context):
    context.replay.run()


@behave.then('no request fails and the target gets few attempts')
def step_no_errors(context):
    statuses = collections.Counter(
        arrival.status for arrival in context.replay.arrivals
    )
    assert set(statuses) == {200}, statuses
    runs = sum(arrival.runs for arrival in context.replay.arrivals)
    assert runs <= 1.1 * len(context.replay.arrivals), runs


@behave.given('a kind of work declared {declared} that runs {seconds:g} s')
def step_declared(context, declared, seconds):
    context.estimates = estimates.Estimates()
    context.declared = schema.WorkClass(declared)
    for number in range(50):
        other = ids.CustomerId(f'customer-{number + 2}')
        context.estimates.record((_KIND[0], 'look-up', other), 0.05)
    context.seconds = seconds


@behave.when('it has run {count:d} times')
def step_learn(context, count):
    for _ in range(count):
        context.estimates.record(_KIND, context.seconds)


@behave.then('it is classified as {learned} work')
def step_learned(context, learned):
    work_class = context.estimates.work_class(_KIND, context.declared)
    assert work_class is schema.WorkClass(learned), work_class


@behave.given('a customer with {many:d} requests before one with {few:d}')
def step_two_customers(context, many, few):
    context.lane = lanes.Lane(0.1)
    for number in range(many + few):
        name = 'first' if number < many else 'second'
        context.lane.push(
            lanes.QueuedRequest(
                ids.RequestId(str(number)),
                ids.CustomerId(name),
                1,
                30.0 + number,
                0.05,
                0.0,
            )
        )


@behave.then('the second customer is served within {count:d} requests')
def step_fair(context, count):
    served = [context.lane.pop().customer for _ in range(count)]
    assert 'second' in served, served


@behave.given('{kind} work whose attempt failed {when} bytes were sent')
def step_failed_attempt(context, kind, when):
    context.request = {
        'idempotent': _request(),
        'non-idempotent': _request(idempotent=False),
        'keyed': _request(key=ids.IdempotencyKey('key')),
    }[kind]
    sent = when == 'after'
    context.history = policy.History(attempts=1, bytes_sent=sent)
    context.failure = events.AttemptFailed(
        context.request.id,
        ids.InstanceId('target'),
        events.FailureKind.RESET,
        sent,
    )


@behave.then('it is {decision} again')
def step_retry_decision(context, decision):
    refusal = policy.retry_refusal(
        context.request, context.history, context.failure
    )
    assert (refusal is None) == (decision == 'tried'), refusal


@behave.then('it is not tried on a third target')
def step_third_target(context):
    context.history.failed_targets.update(('one', 'two'))
    refusal = policy.retry_refusal(
        context.request, context.history, context.failure
    )
    assert refusal is policy.Refusal.TWO_TARGETS


@behave.given('a retry budget of a tenth of the traffic')
def step_budget(context):
    context.budget = budget.RetryBudget(0.1)


@behave.then('{requests:d} failing requests get at most {retries:d} retries')
def step_budget_used(context, requests, retries):
    granted = 0
    for _ in range(requests):
        context.budget.deposit()
        granted += context.budget.take()
    assert 0 < granted <= retries, granted


@behave.then('no backoff is below the Retry-After of {seconds:g} s')
def step_retry_after(context, seconds):
    rng = random.Random(context.seed)
    waits = [policy.backoff(1, seconds, rng) for _ in range(200)]
    assert min(waits) >= seconds
    assert len({round(wait, 6) for wait in waits}) > 100


@behave.when('an entry loses its lease while requests wait')
def step_lose_lease(context):
    context.started = len(context.replay.arrivals)
    core = context.replay.entries[0].dispatcher
    now = context.replay.now
    context.actions = core.handle(events.LeaseChanged(False), now)
    late = events.RequestArrived(_request())
    context.actions += core.handle(late, now)


@behave.then('they end as not-run and nothing new is sent')
def step_lease_lost(context):
    finished = [
        action
        for action in context.actions
        if isinstance(action, actions.Finish)
    ]
    assert len(finished) > 1
    for action in context.actions:
        assert not isinstance(action, actions.StartAttempt), action
    assert {action.outcome for action in finished} == {claims.Outcome.NOT_RUN}

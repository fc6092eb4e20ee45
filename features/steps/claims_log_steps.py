"""Steps for the claims of keyed requests in the replicated state."""

from __future__ import annotations

import asyncio

import behave
import hypothesis
from hypothesis import strategies

from verbenastream.process.control import claim_batches
from verbenastream.process.control import log_clock
from verbenastream.process import membership
from verbenastream.process import state
from verbenastream.request import claims
from verbenastream import wire

_DAY_S = 86_400.0


class _Log:
    """A state machine whose commands are applied one by one."""

    def __init__(self):
        self.machine = state.ControlState()
        self.index = 0
        self.time = 1.0

    def apply(self, command):
        self.index += 1
        return self.machine.apply(self.index, wire.encode(command))

    def register(self, entry, incarnation=1):
        record = membership.EntryRecord(
            entry, incarnation, 'dc-1', '127.0.0.1', 8001
        )
        return self.apply(state.RegisterEntry(record, self.time))

    def expire(self, entry, incarnation=1):
        ref = state.EntryRef(entry, incarnation)
        self.apply(state.ExpireEntries((ref,), self.time))

    def batch(self, batch):
        return self.apply(state.ApplyClaims((batch,), self.time)).replies[0]

    def claim(self, entry, key, request, incarnation=1, digest='d'):
        reply = self.batch(
            claims.ClaimBatch(
                claims=(
                    claims.Claim(
                        'customer',
                        key,
                        digest,
                        'service',
                        entry,
                        incarnation,
                        request,
                    ),
                )
            )
        )
        return None if reply is None else reply.replies[0]

    def end(self, entry, key, request, outcome, body=None, incarnation=1):
        answer = None
        if outcome is claims.Outcome.RAN:
            answer = claims.RecordedAnswer(200, (), 'sha', body)
        self.batch(
            claims.ClaimBatch(
                outcomes=(
                    claims.ClaimOutcome(
                        'customer',
                        key,
                        entry,
                        incarnation,
                        outcome,
                        answer,
                        request,
                    ),
                )
            )
        )


@behave.when('4 entries use 5 keys in random histories')
def step_histories(context):
    context.histories = []

    @hypothesis.settings(
        derandomize=True, max_examples=150, deadline=None, database=None
    )
    @hypothesis.given(strategies.randoms(use_true_random=False))
    def play_history(rng):
        context.histories.append(_random_history(rng))

    play_history()


def _random_history(rng):
    """Return the events of a random history.

    An event is (outcome or 'claim', key, request, reply or None).
    """
    log = _Log()
    # A small bound archives most finished claims early.
    log.machine.claims.max_recent = 2
    incarnations = {f'entry-{number}': 1 for number in range(4)}
    for entry in incarnations:
        log.register(entry)
    events = []
    granted = []
    refused = []
    ended = []
    for number in range(80):
        log.time += rng.random()
        entry = rng.choice(list(incarnations))
        match rng.randrange(12):
            case 0:
                log.expire(entry, incarnations[entry])
            case 1:
                incarnations[entry] += 1
                log.register(entry, incarnations[entry])
            case 2 | 3 if granted:
                message = granted.pop(rng.randrange(len(granted)))
                ended.append((message, rng.choice(list(claims.Outcome))))
                events.append(_end(log, *ended[-1]))
            case 4 if ended:
                events.append(_end(log, *rng.choice(ended)))
            case 5 if refused:
                # An entry that got no reply to its claim releases it.
                message = rng.choice(refused)
                events.append(_end(log, message, claims.Outcome.NOT_RUN))
            case 6 if granted + refused:
                # A duplicate of an earlier message arrives late.
                message = rng.choice(granted + refused)
                reply = log.claim(*message)
                events.append(('claim', message[1], message[2], reply))
                if reply and reply.state is claims.ClaimState.GRANTED:
                    refused = [other for other in refused if other != message]
                    granted.append(message)
            case 7:
                restored = state.ControlState()
                restored.restore(log.machine.snapshot())
                restored.claims.max_recent = 2
                log.machine = restored
            case _:
                key = f'key-{rng.randrange(5)}'
                request = f'request-{number}'
                message = entry, key, request, incarnations[entry]
                reply = log.claim(*message)
                events.append(('claim', key, request, reply))
                is_granted = reply and reply.state is claims.ClaimState.GRANTED
                (granted if is_granted else refused).append(message)
    return events


def _end(log, message, outcome):
    entry, key, request, incarnation = message
    log.end(entry, key, request, outcome, request.encode(), incarnation)
    return outcome, key, request, None


@behave.then('each key is granted again only after a certain release')
def step_granted_once(context):
    grants = 0
    for events in context.histories:
        runs_by_key = {}
        for kind, key, request, reply in events:
            if kind is claims.Outcome.NOT_RUN:
                if runs_by_key.get(key) == request:
                    del runs_by_key[key]
            elif reply and reply.state is claims.ClaimState.GRANTED:
                before = runs_by_key.setdefault(key, request)
                assert before == request, (before, request, events)
                grants += 1
    assert grants > 200, grants


@behave.then('an answered key keeps giving its first answer')
def step_first_answer(context):
    answered = 0
    for events in context.histories:
        answers_by_key = {}
        for _, key, _, reply in events:
            if reply and reply.state is claims.ClaimState.ANSWERED:
                first = answers_by_key.setdefault(key, reply.answer)
                # Archiving drops the body of an answer and keeps its status.
                assert reply.answer.status == first.status, events
                if reply.answer.body is not None:
                    assert reply.answer == first, events
                answered += 1
            elif reply and key in answers_by_key:
                raise AssertionError((key, reply, events))
    assert answered > 50, answered


@behave.given('a state with live entry-1 and entry-2')
def step_state(context):
    context.log = _Log()
    context.log.register('entry-1')
    context.log.register('entry-2')


@behave.when('entry-1 claims key k and its lease ends')
def step_lease_ends(context):
    assert context.log.claim('entry-1', 'k', 'r1').state.value == 'granted'
    context.log.expire('entry-1')


@behave.then('a repeat through entry-2 gets {expected}')
def step_repeat(context, expected):
    reply = context.log.claim('entry-2', 'k', 'r2')
    assert reply.state.value == expected, reply


@behave.then('the ended entry gets no new claim')
def step_ended(context):
    assert context.log.claim('entry-1', 'other', 'r3') is None


@behave.when('entry-1 claims key k and entry-2 claims it with another digest')
def step_mismatch(context):
    context.log.claim('entry-1', 'k', 'r1')
    context.reply = context.log.claim('entry-2', 'k', 'r2', digest='other')


@behave.then('entry-2 gets mismatch')
def step_gets_mismatch(context):
    assert context.reply.state is claims.ClaimState.MISMATCH, context.reply


@behave.when('the release of key k arrives before its claim')
def step_early_release(context):
    context.log.end('entry-1', 'k', 'r1', claims.Outcome.NOT_RUN)
    context.late_reply = context.log.claim('entry-1', 'k', 'r1')


@behave.then('the late claim is not granted and a new request is')
def step_late_claim(context):
    assert context.late_reply.state is claims.ClaimState.UNKNOWN, (
        context.late_reply
    )
    reply = context.log.claim('entry-2', 'k', 'r2')
    assert reply.state is claims.ClaimState.GRANTED, reply


@behave.when('700 answers of 64 KiB and one of 70 KiB are recorded')
def step_large_answers(context):
    body = b'x' * 65_536
    for number in range(700):
        key = f'key-{number}'
        context.log.claim('entry-1', key, 'r')
        context.log.end('entry-1', key, 'r', claims.Outcome.RAN, body)
    context.log.claim('entry-1', 'large', 'r')
    context.log.end('entry-1', 'large', 'r', claims.Outcome.RAN, b'x' * 71_680)


@behave.then('at most 16 MiB of bodies are kept and every status remains')
def step_bounded(context):
    table = context.log.machine.claims
    records = list(table.finished_by_key.values())
    kept_bytes = sum(len(record.answer.body or b'') for record in records)
    assert kept_bytes == table.bodies_bytes <= 16 * 2**20, kept_bytes
    assert kept_bytes > 15 * 2**20, kept_bytes
    assert all(record.answer.status == 200 for record in records)
    assert records[-1].answer.body is None and len(records) == 701


@behave.when('a key is answered and the wall clock jumps by 30 days')
def step_clock_jump(context):
    clocks = {'monotonic': 0.0, 'wall': 1.0}
    clock = log_clock.LogClock(
        lambda: clocks['monotonic'], lambda: clocks['wall']
    )
    clock.start(0.0)
    context.log.claim('entry-1', 'k', 'r1')
    context.log.end('entry-1', 'k', 'r1', claims.Outcome.RAN, b'answer')
    context.log.claim('entry-1', 'open', 'r2')
    clocks['wall'] += 30 * _DAY_S
    clocks['monotonic'] += _DAY_S
    context.log.time = clock.now()


@behave.then('the key is still answered')
def step_still_answered(context):
    reply = context.log.claim('entry-2', 'k', 'r9')
    assert reply.state is claims.ClaimState.ANSWERED, reply


@behave.when('28 hours of log time pass')
def step_time_passes(context):
    context.log.time = 28 * 3600.0


@behave.then('the key has expired and an open claim has not')
def step_expired(context):
    reply = context.log.claim('entry-2', 'k', 'r10')
    assert reply.state is claims.ClaimState.GRANTED, reply
    reply = context.log.claim('entry-2', 'open', 'r11')
    assert reply.state is claims.ClaimState.IN_PROGRESS, reply


@behave.given('a claim table for 3 claims that is full')
def step_full_table(context):
    context.log = _Log()
    context.log.register('entry-1')
    context.log.machine.claims.max_claims = 3
    for key in 'abc':
        context.log.claim('entry-1', key, 'r')


@behave.when('a batch brings an outcome and a new claim')
def step_mixed_batch(context):
    outcome = claims.ClaimOutcome(
        'customer', 'a', 'entry-1', 1, claims.Outcome.UNKNOWN
    )
    claim = claims.Claim('customer', 'd', 'd', 'service', 'entry-1', 1)
    context.reply = context.log.batch(
        claims.ClaimBatch(claims=(claim,), outcomes=(outcome,))
    )


@behave.then('the new claim is refused and the outcome is recorded')
def step_refused_when_full(context):
    assert context.reply is None, context.reply
    record = context.log.machine.claims.finished_by_key[('customer', 'a')]
    assert record.state.value == 'unknown', record


@behave.when('300 claim calls arrive at once')
def step_many_calls(context):
    context.records = []
    log = _Log()
    log.register('entry-1')

    async def propose(command):
        await asyncio.sleep(0)
        context.records.append(command)
        return log.apply(command)

    async def call(batcher, number):
        claim = claims.Claim(
            'customer', f'key-{number % 150}', 'd', 'service', 'entry-1', 1
        )
        return await batcher.submit(claims.ClaimBatch(claims=(claim,)))

    async def run():
        clock = log_clock.LogClock(lambda: 1.0, lambda: 1.0)
        batcher = claim_batches.ClaimBatcher(propose, clock)
        return await asyncio.gather(
            *(call(batcher, number) for number in range(300))
        )

    context.replies = asyncio.run(run())


@behave.then('at most 3 records are written and each call gets its own reply')
def step_few_records(context):
    assert len(context.records) <= 3, len(context.records)
    states = [reply.replies[0].state.value for reply in context.replies]
    assert states == ['granted'] * 150 + ['in_progress'] * 150, states

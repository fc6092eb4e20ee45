"""Steps for the trace format, its recorder and its generator."""

from __future__ import annotations

import collections

import behave

from verbenastream.process import reports
from verbenastream.process import traces
from verbenastream.version import documents
from verbenastream.version import fleet
from verbenastream_testing import expected_outcomes
from verbenastream_testing import replay_real
from verbenastream_testing import replay_virtual
from verbenastream_testing import samples
from verbenastream_testing import trace_generator

_SHAPE = trace_generator.Shape(seconds=100.0, requests_per_s=50.0)
_HEADER = traces.Header('test', 0.0, 'entry-1')
_SERVICE = 'tariff-coding'


def _generate(deployment, seed):
    sample = trace_generator.SAMPLES[deployment]
    return trace_generator.TraceGenerator(sample, _SHAPE, seed)


def _arrivals(events):
    return [event for event in events if isinstance(event, traces.Arrival)]


@behave.given('two traces of {deployment} generated from one seed')
def step_two_traces(context, deployment):
    context.deployment = deployment
    first, second = (_generate(deployment, 7).events() for _ in range(2))
    context.path = context.world.folder / 'trace.jsonl'
    traces.write(context.path, _generate(deployment, 7).header(), first)
    expected_outcomes.write(
        context.path, expected_outcomes.ExpectedOutcomes.from_events(first)
    )
    context.events = list(traces.read(context.path)[1])
    context.second = second


@behave.then('both are equal and ordered by time')
def step_equal(context):
    assert context.events == context.second


@behave.then('another seed gives another trace')
def step_other_seed(context):
    assert _generate(context.deployment, 8).events() != context.events


@behave.then('the queues peak one after another at five times their mean')
def step_peaks(context):
    sample = trace_generator.SAMPLES[context.deployment]
    cycle_s = _SHAPE.peak_s * len(sample.services)
    counts = collections.Counter()
    for arrival in _arrivals(context.events):
        peak = int(arrival.at % cycle_s / _SHAPE.peak_s)
        counts[arrival.service, peak] += 1
    mean = _SHAPE.requests_per_s / len(sample.services)
    peak_s = _SHAPE.seconds / len(sample.services)
    for position, service in enumerate(sample.services):
        # 1,000 arrivals are expected at the peak; 10% is three standard
        # deviations.
        rate = counts[service, position] / peak_s
        assert abs(rate / (5 * mean) - 1) < 0.1, (service, rate)


@behave.then('a tenth of the declared classes are wrong')
def step_wrong_classes(context):
    arrivals = _arrivals(context.events)
    longest_short_s = _SHAPE.short_run_s * 20
    wrong = sum(
        (arrival.run_s > longest_short_s)
        != (arrival.declared is documents.WorkClass.LONG)
        for arrival in arrivals
    )
    assert 0.08 < wrong / len(arrivals) < 0.12, wrong / len(arrivals)


@behave.then('the outcomes beside the trace count its requests')
def step_outcomes(context):
    expected = expected_outcomes.read(context.path)
    arrivals = _arrivals(context.events)
    assert expected.requests == len(arrivals)
    assert expected.keyed == sum(arrival.keyed for arrival in arrivals) > 0


@behave.given(
    'a recorder that wrote 3 cancellations and was killed in a fourth'
)
def step_killed(context):
    context.path = context.world.folder / 'entry-1.jsonl'
    recorder = traces.TraceRecorder(context.path, 'test', 'entry-1')
    for number in range(4):
        recorder.add(traces.Cancellation(recorder.now(), f'r-{number}'))
    recorder.close()
    content = context.path.read_bytes()
    context.path.write_bytes(content[:-9])


@behave.when('a new recorder continues the file with 2 cancellations')
def step_continue(context):
    recorder = traces.TraceRecorder(context.path, 'test', 'entry-1')
    for number in range(2):
        recorder.add(traces.Cancellation(recorder.now(), f's-{number}'))
    recorder.close()


@behave.then('the trace has 5 events ordered by time')
def step_five_events(context):
    names = [event.id for event in traces.read(context.path)[1]]
    assert names == ['r-0', 'r-1', 'r-2', 's-0', 's-1'], names


@behave.given('a trace file with {fault}')
def step_faulty(context, fault):
    context.path = context.world.folder / 'faulty.jsonl'
    events = [
        traces.Cancellation(1.0, 'a'),
        traces.Cancellation(0.5 if fault == 'decreasing times' else 2.0, 'b'),
    ]
    header = _HEADER
    if fault == 'another version':
        header = traces.Header('test', 0.0, 'entry-1', version=99)
    traces.write(context.path, header, events)
    lines = context.path.read_bytes().splitlines(keepends=True)
    if fault == 'no header':
        lines.pop(0)
    if fault == 'a malformed line':
        lines[2] = b'{"type": "unheard-of"}\n'
    context.path.write_bytes(b''.join(lines))


@behave.when('the trace file is read')
def step_read(context):
    context.error = None
    try:
        list(traces.read(context.path)[1])
    except traces.TraceFileError as error:
        context.error = error


@behave.then('the error names {place} and a remedy')
def step_error(context, place):
    assert place in context.error.message, context.error
    assert context.error.remedy.endswith('.')


@behave.given('a generated trace of mexico with keyed requests')
def step_generated_trace(context):
    context.path = context.world.folder / 'trace.jsonl'
    generator = _generate('mexico', 3)
    traces.write(context.path, generator.header(), generator.events())


@behave.then('no line holds an idempotency key, a caller key or a body')
def step_no_secrets(context):
    text = context.path.read_text()
    for customer in samples.MEXICO.customers:
        assert samples.caller_key(customer) not in text
    for service in samples.MEXICO.services:
        assert samples.team_key(service) not in text
    fields = set(traces.Arrival.__struct_fields__)
    fields |= set(traces.Outcome.__struct_fields__)
    assert not fields & {'key', 'body', 'headers', 'authorization'}, fields


def _worker(state, reason=''):
    return fleet.InstanceRecord(
        id='worker-1',
        data_centre='mx-1',
        rack='mx-1-rack-1',
        address='127.0.0.1',
        port=1,
        resources=fleet.Resources(16, 64),
        state=state,
        pool=_SERVICE,
        reason=reason,
    )


@behave.given(
    'a trace with 90 good outcomes, 6 overloaded and 4 by a drained worker'
)
def step_outcome_trace(context):
    document = samples.document(samples.MEXICO, _SERVICE)
    events = [
        traces.Submission(0.0, 's-1', 0, document),
        traces.InstanceChange(0.0, _worker(fleet.InstanceState.SERVING)),
        traces.InstanceChange(
            60.0, _worker(fleet.InstanceState.DRAINING, 'maintenance')
        ),
    ]
    causes = [None] * 90 + ['overload'] * 6 + ['unplanned'] * 4
    for number, cause in enumerate(causes):
        events.append(
            traces.Outcome(
                at=100.0 + number,
                id=f'r-{number}',
                service=_SERVICE,
                outcome='ran',
                status=200,
                wait_s=0.01,
                cause=cause,
                instance='worker-1' if cause == 'unplanned' else None,
            )
        )
    context.path = context.world.folder / 'outcomes.jsonl'
    traces.write(context.path, _HEADER, events)


@behave.when('the burn report is made from the trace')
def step_burn_from_trace(context):
    header, events = traces.read(context.path)
    context.report = traces.TraceBurn(header).report(events)


@behave.then('6 are attributed to overload and 4 to the maintenance by name')
def step_attributed(context):
    causes = {
        cause.cause: cause for cause in context.report.services[0].causes
    }
    assert causes['overload'].bad == 6, causes
    assert causes['maintenance'].bad == 4, causes
    assert causes['maintenance'].events == ('maintenance (worker-1)',)
    assert causes[reports.Cause.UNPLANNED.value].bad == 0, causes


@behave.then('the budget is that of the submitted document')
def step_budget(context):
    service = context.report.services[0]
    assert (service.service, service.availability) == (_SERVICE, 0.999)
    assert (service.good, service.bad) == (90, 10)


@behave.given('a recorder whose disk is full')
def step_full_disk(context):
    context.recorder = traces.TraceRecorder.from_config(
        '/dev/full', 'test', 'entry-1'
    )
    assert context.recorder.active


@behave.when('it records until its buffer is written')
def step_until_full(context):
    for number in range(4_000):
        context.recorder.add(traces.Cancellation(1.0, f'r-{number}'))
    context.recorder.close()


@behave.then('the recorder has stopped and the daemon continues')
def step_ended(context):
    assert not context.recorder.active
    context.recorder.add(traces.Cancellation(2.0, 'after'))


@behave.given('a trace of {deployment} over {seconds:d} s with a lost rack')
def step_replay_trace(context, deployment, seconds):
    shape = trace_generator.Shape(
        seconds=float(seconds), requests_per_s=40.0, long_factor=20.0
    )
    sample = trace_generator.SAMPLES[deployment]
    generator = trace_generator.TraceGenerator(sample, shape, context.seed)
    events = generator.events()
    context.path = context.world.folder / 'replay.jsonl'
    traces.write(context.path, generator.header(), events)
    expected_outcomes.write(
        context.path, expected_outcomes.ExpectedOutcomes.from_events(events)
    )


@behave.when('it is replayed on virtual time')
def step_replay_virtual(context):
    context.verdict = replay_virtual.VirtualReplay(
        *traces.read(context.path)
    ).run()
    context.sent_requests = context.verdict.sent


@behave.when('it is replayed against real processes')
def step_replay_real(context):
    header, events = traces.read(context.path)
    replay = replay_real.RealReplay(context.world, header, list(events))
    context.verdict = context.world.run(replay.run())
    context.sent_requests = replay.work_count()


@behave.then('the replay reaches the outcomes beside the trace')
def step_reaches(context):
    expected = expected_outcomes.read(context.path)
    problems = expected.problems(context.verdict, context.sent_requests)
    assert not problems, (problems, context.verdict.lines())


@behave.then('a second replay gives the same result')
def step_same_result(context):
    first = context.verdict
    step_replay_virtual(context)
    assert context.verdict == first

"""Steps for the explanation of jobs and the limits of logs."""

from __future__ import annotations

import json
import os
import pathlib
import tempfile
import time

import behave
import logbook

from verbenastream.process.client import app
from verbenastream.process import log_limits
from verbenastream.process.reports import explanation

_JOB = '5c0e7a21d94b36f8'
_OTHER_JOB = '00000000000000bb'


def _log_line(second, process, message, **values):
    fields = {
        'time': f'2026-01-01T10:00:{second:06.3f}',
        'level': 'info',
        'process': process,
        'logger': 'x',
        'message': message,
        **values,
    }
    return f'  {second:.4f} {process} ' + json.dumps(
        fields, separators=(',', ':')
    )


@behave.given('logs of three processes about a job whose first run was lost')
def step_logs_lost(context):
    task = f'{_JOB}.0.0.0'
    context.lines = [
        _log_line(
            9, 'n2', 'job ended', job=_JOB, phase='completed', took_s=7.5
        ),
        _log_line(8, 'n2', 'tasks started', worker='w2', runs=f'{task}/2'),
        _log_line(1, 'n1', 'job accepted', job=_JOB, tasks=1),
        _log_line(
            1.5,
            'n1',
            'tasks started',
            worker='w1',
            runs=f'{task}/1 {_OTHER_JOB}.0.0.0/1',
        ),
        _log_line(2, 'n1', 'leadership given up: a majority does not answer'),
        _log_line(3, 'n2', 'this process leads', term=4),
        _log_line(7, 'n2', 'runs lost', worker=None, runs=f'{task}/1'),
        _log_line(4, 'n3', 'job accepted', job=_OTHER_JOB),
        _log_line(40, 'n3', 'this process leads', term=9),
        'not a structured line',
    ]


@behave.given('logs of a job that two nodes refused')
def step_logs_refused(context):
    context.lines = [
        _log_line(
            1 + number,
            f'n{number}',
            'call refused',
            path=f'/a/{_JOB}',
            reason='no leader is known',
        )
        for number in range(2)
    ]


@behave.when('the job is explained')
def step_explain(context):
    context.explained_lines = explanation.explain(_JOB, context.lines)


@behave.then('its lines come in order of time, with only its own runs')
def step_ordered(context):
    times = [line.at for line in context.explained_lines]
    assert times == sorted(times)
    assert all(_OTHER_JOB not in str(line) for line in context.explained_lines)
    assert len(context.explained_lines) == 7, [
        str(line) for line in context.explained_lines
    ]


@behave.then('the change of the leader between them is shown')
def step_leader(context):
    messages = [line.message for line in context.explained_lines]
    assert messages.count('this process leads') == 1, messages


@behave.then('the conclusion names the wait, the lost run and the end')
def step_conclusion(context):
    text = explanation.conclusion(context.explained_lines)
    for part in ('0.50 s', '1 times runs were lost', 'completed after 7.5'):
        assert part in text, text


@behave.then('the conclusion gives the reason "{reason}"')
def step_reason(context, reason):
    assert reason in explanation.conclusion(context.explained_lines)


@behave.when('another job is explained by the command')
def step_command(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'node.log'
        path.write_text('\n'.join(context.lines))
        context.code = app.app(
            ['explain', _OTHER_JOB, str(path)], result_action='return_value'
        )


@behave.then('the command ends with code {code:d}')
def step_code(context, code):
    assert context.code == code, context.code


@behave.when('{count:d} lines are written to a pipe that nobody reads')
def step_full_pipe(context, count):
    reader, writer = os.pipe()
    context.add_cleanup(os.close, reader)
    context.add_cleanup(os.close, writer)
    log_writer = log_limits.NonBlockingWriter(writer)
    started = time.monotonic()
    for _ in range(count):
        log_writer.write(b'x' * 99 + b'\n')
    context.write_s = time.monotonic() - started
    os.set_blocking(reader, False)
    context.data = b''
    for _ in range(20):
        try:
            context.data += os.read(reader, 1_000_000)
        except BlockingIOError:
            break
        log_writer.write(b'last\n')


@behave.then(
    'the writer does not wait and says later how many lines it dropped'
)
def step_dropped(context):
    assert context.write_s < 10.0
    assert b'"lines dropped"' in context.data, context.data[-300:]


@behave.when('5000 lines of one kind and 5000 ends of jobs are logged at once')
def step_flood(context):
    limiter = log_limits.LineLimiter()
    context.kept = {}
    for message in ('tasks started', 'job ended'):
        records = [
            logbook.LogRecord('x', logbook.INFO, message, extra={})
            for _ in range(5000)
        ]
        context.kept[message] = sum(
            limiter.admit(record) for record in records
        )


@behave.then('at most 300 of the first and all of the second are kept')
def step_kept(context):
    assert 200 <= context.kept['tasks started'] <= 310, context.kept
    assert context.kept['job ended'] == 5000, context.kept

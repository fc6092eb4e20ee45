"""Steps for requests and answers streamed between callers and targets."""

from __future__ import annotations

import asyncio
import base64
import hashlib

import aiohttp
from aiohttp import web
import behave

from verbenastream_testing import entry_harness
from verbenastream_testing import samples
from verbenastream_testing import world

_CUSTOMER = samples.MEXICO.customers[0]
_KIB = 1024
# Ends a scenario whose answer never completes.
_TIMEOUT = aiohttp.ClientTimeout(total=20)
_LARGE_BODY = bytes(range(256)) * (2 * _KIB)


async def _echo(request):
    return web.Response(text=f'answer to {request.headers["X-Number"]}')


async def _start(context, count, first_announced=None):
    context.targets = [
        entry_harness.ScriptedTarget(_echo) for _ in range(count)
    ]
    context.targets[0].announced = first_announced
    context.entry = entry_harness.EntryHarness(context.world)
    await context.entry.start(context.targets)
    context.session = await context.world.session()
    context.sent = 0
    context.answers = []


async def _send(
    context, operation='lookup', data=b'', method='POST', **extra_headers
):
    """Send one request; keep status, headers and body, or the error."""
    context.sent += 1
    headers = {
        'Authorization': f'Bearer {samples.caller_key(_CUSTOMER)}',
        'X-Number': str(context.sent),
        **extra_headers,
    }
    url = f'{context.entry.url}/{operation}'
    try:
        async with context.session.request(
            method, url, data=data, headers=headers, timeout=_TIMEOUT
        ) as answer:
            body = await answer.read()
            result = (answer.status, answer.headers, body)
    except (aiohttp.ClientError, asyncio.TimeoutError) as error:
        result = (None, {}, error)
    context.answers.append(result)


def _received(context):
    return [
        request for target in context.targets for request in target.received
    ]


@behave.given(
    'an entry with 2 targets, the first at {address} and port {port:d}'
)
def step_odd_address(context, address, port):
    address = 'a' * 64 if address == '64 x a' else address
    context.world.run(_start(context, 2, (address, port)))


@behave.when('a caller sends {count:d} bookings and a look-up')
def step_bookings(context, count):
    for _ in range(count):
        context.world.run(_send(context, 'batch'))
    context.world.run(_send(context))


@behave.then('each booking has the outcome ran or not-run')
def step_certain_outcomes(context):
    for status, headers, body in context.answers[:-1]:
        outcome = headers.get('Verbenastream-Outcome')
        expected = 'ran' if status == 200 else 'not-run'
        assert outcome == expected, (status, outcome, body)


@behave.then('the look-up is answered by the second target')
def step_look_up_answered(context):
    status, _, body = context.answers[-1]
    assert status == 200, (status, body)
    assert not context.targets[0].received, context.targets[0].received


@behave.given('an entry with {count:d} scripted targets')
def step_entry(context, count):
    context.world.run(_start(context, count))


@behave.given('the first answer is cut in the middle')
def step_first_cut(context):
    async def respond(request):
        if len(_received(context)) == 1:
            return await _cut(request, 100)
        return await _echo(request)

    for target in context.targets:
        target.respond = respond


@behave.given('each answer of 1 MiB is cut in the middle')
def step_large_cut(context):
    async def respond(request):
        return await _cut(request, _KIB * _KIB)

    context.targets[0].respond = respond


async def _cut(request, size):
    """Announce ``size`` bytes, send half of them and close."""
    answer = web.StreamResponse(headers={'Content-Length': str(size)})
    await answer.prepare(request)
    await answer.write(b'x' * (size // 2))
    request.transport.close()
    return answer


@behave.given("the first answer comes after its caller's deadline")
def step_first_late(context):
    context.release = asyncio.Event()

    async def respond(request):
        if request.headers['X-Number'] == '1':
            await context.release.wait()
        return await _echo(request)

    context.targets[0].respond = respond


@behave.given('each answer takes {milliseconds:d} ms')
def step_slow(context, milliseconds):
    async def respond(request):
        await asyncio.sleep(milliseconds / 1000)
        return await _echo(request)

    context.targets[0].respond = respond


@behave.when('a caller sends a look-up')
def step_look_up(context):
    context.world.run(_send(context))


@behave.when('a caller sends a look-up with a deadline of {limit:d} ms')
def step_deadline(context, limit):
    deadline = {'Verbenastream-Deadline-Ms': str(limit)}
    context.world.run(_send(context, **deadline))


@behave.when('a caller sends a look-up with hop-by-hop and forged headers')
def step_headers(context):
    forged = {
        'Connection': 'keep-alive, X-Private',
        'X-Private': 'hop',
        'Proxy-Authorization': 'hop',
        'TE': 'trailers',
        'X-Forwarded-For': '10.0.0.9',
        'Verbenastream-Customer': 'someone-else',
    }
    context.world.run(_send(context, **forged))


@behave.when('a caller sends a look-up with {excess}')
def step_excess(context, excess):
    match excess:
        case 'too large a body':
            sending = _send(context, data=b'x' * (2 * _KIB * _KIB))
        case 'too many headers':
            big = 'x' * entry_harness.MAX_HEADER_BYTES
            sending = _send(context, **{'X-Big': big})
        case 'an unknown key':
            sending = _send(context, Authorization='Bearer guess')
        case 'the wrong method':
            sending = _send(context, operation='batch', method='GET')
        case 'another operation':
            sending = _send(context, operation='nothing')
    context.world.run(sending)


@behave.when('a caller sends 512 KiB in chunks')
def step_chunks(context):
    context.world.run(_send(context, data=_chunks()))


async def _chunks():
    for start in range(0, len(_LARGE_BODY), 10_000):
        yield _LARGE_BODY[start : start + 10_000]


@behave.when('a caller sends a keyed body of 512 KiB {digest} digest')
def step_keyed_body(context, digest):
    headers = {'Idempotency-Key': 'key-1'}
    if digest == 'with a wrong':
        other = hashlib.sha256(b'other').digest()
        encoded = base64.b64encode(other).decode()
        headers['Content-Digest'] = f'sha-256=:{encoded}:'
    context.world.run(
        _send(context, operation='batch', data=_LARGE_BODY, **headers)
    )


@behave.when('a caller sends a keyed batch and disconnects after {limit:d} ms')
def step_disconnect(context, limit):
    async def send_and_disconnect():
        sending = _send(context, operation='batch', **{'Idempotency-Key': 'k'})
        try:
            await asyncio.wait_for(sending, limit / 1000)
        except asyncio.TimeoutError:
            context.disconnected = True

    context.disconnected = False
    context.world.run(send_and_disconnect())
    assert context.disconnected


@behave.then('the target got no hop-by-hop header and no key')
def step_no_hop(context):
    names = {name.lower() for name in _received(context)[0].headers}
    dropped = {'connection', 'x-private', 'proxy-authorization', 'te'}
    assert not names & (dropped | {'authorization'}), names


@behave.then("the target got the customer of the key and the caller's address")
def step_customer(context):
    headers = _received(context)[0].headers
    assert headers['Verbenastream-Customer'] == _CUSTOMER, headers
    assert headers['X-Forwarded-For'] == '10.0.0.9, 127.0.0.1', headers


@behave.then('the answer has the outcome {outcome}')
def step_outcome(context, outcome):
    assert context.answers[-1][1]['Verbenastream-Outcome'] == outcome


@behave.then('the caller gets status {status:d} with the outcome {outcome:S}')
def step_status(context, status, outcome):
    answer_status, headers, body = context.answers[-1]
    assert answer_status == status, (answer_status, body)
    assert headers['Verbenastream-Outcome'] == outcome, headers


@behave.then('no target got a request')
def step_no_request(context):
    assert not _received(context)


@behave.then('no target got a complete request')
def step_incomplete(context):
    assert not any(request.complete for request in _received(context))


@behave.then('the caller gets the whole answer of a second attempt')
def step_second_attempt(context):
    status, headers, body = context.answers[-1]
    assert (status, body) == (200, b'answer to 1'), (status, body)
    assert len(_received(context)) == 2


@behave.then('the caller sees an incomplete answer')
def step_truncated(context):
    status, _, error = context.answers[-1]
    assert status is None, status
    assert isinstance(error, aiohttp.ClientPayloadError), error


@behave.then(
    'the second request used another connection and got its own answer'
)
def step_other_connection(context):
    context.release.set()
    assert context.answers[0][0] != 200, context.answers
    status, _, body = context.answers[1]
    assert (status, body) == (200, b'answer to 2'), (status, body)
    assert len(context.targets[0].connections) == 2, context.answers


@behave.then('the target got exactly these bytes')
def step_bytes(context):
    assert context.answers[-1][0] == 200, context.answers
    assert _received(context)[0].body == _LARGE_BODY


@behave.then('the outcome ran is recorded for the key')
def step_recorded(context):
    async def recorded():
        return context.entry.claims.outcomes_by_key.get('k')

    waiting = world.until('the outcome is recorded', recorded)
    assert context.world.run(waiting).outcome.value == 'ran'


@behave.then('a repeat gets the recorded answer without a second run')
def step_repeat(context):
    key = {'Idempotency-Key': 'k'}
    context.world.run(_send(context, operation='batch', **key))
    status, headers, body = context.answers[-1]
    assert (status, body) == (200, b'answer to 1'), (status, body)
    assert headers['Verbenastream-Outcome'] == 'ran'
    assert len(_received(context)) == 1


@behave.when(
    'the process is paused for {pause_s:d} s before it sends a booking'
)
def step_pause_before_sending(context, pause_s):
    context.entry.pauses_s = [float(pause_s)]
    context.world.run(_send(context, 'batch'))


@behave.then('the booking is sent once, under the next grant')
def step_sent_once(context):
    assert not context.entry.pauses_s, 'the permission was not checked'
    assert len(_received(context)) == 1, _received(context)


@behave.then('the caller gets its answer')
def step_answered(context):
    status, _, body = context.answers[-1]
    assert status == 200, (status, body)

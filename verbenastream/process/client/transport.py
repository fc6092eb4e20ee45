"""Calls the control leader, whichever process that is."""

from __future__ import annotations

import asyncio
import dataclasses
import ssl
import time
from typing import Any
from typing import TypeVar

import aiohttp

from verbenastream.connection import peers
from verbenastream.process.client import errors
from verbenastream.process.client import exit_codes
from verbenastream.process.control import messages
from verbenastream import wire

T = TypeVar('T')

_TRY_S = 5.0
_CONNECT_S = 1.0
# An election takes up to two seconds; the pause keeps the retries few.
_PAUSE_S = 0.1
_RETRIED_STATUSES = frozenset((502, 503, 504))


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Control addresses as ``address:port`` and how to reach them."""

    addresses: tuple[str, ...]
    timeout_s: float
    context: ssl.SSLContext | None


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call; only a call that may be repeated is sent twice."""

    method: str
    path: str
    query: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes | None = None
    key: str | None = None
    wait_s: float = 0.0


def run(target: Target, call: Call, kind: type[T]) -> T:
    """Return the answer of the leader decoded as ``kind``.

    All calls of the client may be repeated: reads change nothing and a
    submission carries its id. Raises ``ClientError``.
    """
    return wire.decode(asyncio.run(_run(target, call)), kind)


async def _run(target: Target, call: Call) -> bytes:
    deadline = time.monotonic() + target.timeout_s + call.wait_s
    last = 'no address was tried'
    sent = False
    hint: str | None = None
    async with aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(
            total=_TRY_S + call.wait_s, sock_connect=_CONNECT_S
        )
    ) as session:
        while True:
            for address in _order(target.addresses, hint):
                try:
                    status, data = await _send(session, target, address, call)
                except aiohttp.ClientConnectorCertificateError as error:
                    raise _untrusted(address, error) from error
                except aiohttp.ClientConnectorError as error:
                    last = f'{address}: {error}'
                    hint = None
                    continue
                except (
                    aiohttp.ClientError,
                    asyncio.TimeoutError,
                    OSError,
                ) as error:
                    last = f'{address}: {error!r}'
                    sent = True
                    hint = None
                    continue
                if status == 421:
                    hint = _leader(data)
                    last = f'{address} does not lead'
                    if hint is not None:
                        break
                    continue
                if status not in _RETRIED_STATUSES:
                    return _result(status, data)
                sent = sent or status == 504
                last = f'{address} answered {status}: {_text(data)}'
            if time.monotonic() >= deadline:
                raise _unreachable(target, call, last, sent)
            await asyncio.sleep(_PAUSE_S)


def _order(addresses: tuple[str, ...], hint: str | None) -> list[str]:
    if hint is None:
        return list(addresses)
    return [hint, *(item for item in addresses if item != hint)]


async def _send(
    session: aiohttp.ClientSession, target: Target, address: str, call: Call
) -> tuple[int, bytes]:
    scheme = 'http' if target.context is None else 'https'
    headers = {}
    if call.key is not None:
        headers['Authorization'] = f'Bearer {call.key}'
    context: Any = True if target.context is None else target.context
    async with session.request(
        call.method,
        f'{scheme}://{address}{call.path}',
        params=call.query,
        data=call.body,
        headers=headers,
        ssl=context,
    ) as response:
        return response.status, await response.read()


def _leader(data: bytes) -> str | None:
    try:
        leader = wire.decode(data, peers.LeaderHint).leader
    except ValueError:
        return None
    if leader is None:
        return None
    if ':' in leader.address:
        return f'[{leader.address}]:{leader.port}'
    return f'{leader.address}:{leader.port}'


def _result(status: int, data: bytes) -> bytes:
    if status == 200:
        return data
    try:
        failure = wire.decode(data, messages.Failure)
    except ValueError:
        raise errors.ClientError(
            exit_codes.ExitCode.INTERNAL,
            f'control answered {status}: {_text(data)}',
            'See the log of the control process.',
        ) from None
    raise errors.from_failure(failure)


def _text(data: bytes) -> str:
    return data[:200].decode('utf-8', 'replace')


def _untrusted(address: str, error: Exception) -> errors.ClientError:
    return errors.ClientError(
        exit_codes.ExitCode.UNREACHABLE,
        f'the certificate of {address} is not trusted: {error}',
        'Pass the authority that signed it as --authority.',
    )


def _unreachable(
    target: Target, call: Call, last: str, sent: bool
) -> errors.ClientError:
    tried = ', '.join(target.addresses)
    if sent and call.method == 'POST':
        submission = call.query.get('submission_id', '')
        return errors.ClientError(
            exit_codes.ExitCode.OUTCOME_UNKNOWN,
            f'no answer from {tried} ({last}); the submission may have been '
            'accepted',
            f'Repeat the command with --submission-id {submission}: it gets '
            'the first answer.',
        )
    return errors.ClientError(
        exit_codes.ExitCode.UNREACHABLE,
        f'no control leader answers at {tried} ({last})',
        'Check the addresses of --control and that a majority of the '
        'control processes runs.',
    )

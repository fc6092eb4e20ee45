"""Calls the control leader, trying all addresses until it answers."""

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

_ATTEMPT_TIMEOUT_S = 5.0
_CONNECT_TIMEOUT_S = 1.0
# An election takes up to two seconds, which this limits to about 20 rounds.
_RETRY_INTERVAL_S = 0.1
_RETRIED_STATUSES = frozenset((502, 503, 504))


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Control addresses as ``address:port`` and how to reach them."""

    addresses: tuple[str, ...]
    timeout_s: float
    context: ssl.SSLContext | None


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call; ``key`` is the team key, ``wait_s`` extends the timeout.

    A call must be safe to repeat, as it is sent again after a failure.
    """

    method: str
    path: str
    query: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes | None = None
    key: str | None = None
    wait_s: float = 0.0


def run(target: Target, call: Call, kind: type[T]) -> T:
    """Return the response of the leader decoded as ``kind``.

    Calls are repeated after a failure. This is safe: reads change nothing
    and a submission has an id. Raises ``ClientError``.
    """
    return wire.decode(asyncio.run(_call_leader(target, call)), kind)


async def _call_leader(target: Target, call: Call) -> bytes:
    deadline = time.monotonic() + target.timeout_s + call.wait_s
    last_failure = 'no address was tried'
    maybe_executed = False
    leader_address: str | None = None
    async with aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(
            total=_ATTEMPT_TIMEOUT_S + call.wait_s,
            sock_connect=_CONNECT_TIMEOUT_S,
        )
    ) as session:
        while True:
            for address in _leader_first(target.addresses, leader_address):
                try:
                    status, data = await _send(session, target, address, call)
                except aiohttp.ClientConnectorCertificateError as error:
                    raise _untrusted_error(address, error) from error
                except aiohttp.ClientConnectorError as error:
                    last_failure = f'{address}: {error}'
                    leader_address = None
                    continue
                except (
                    aiohttp.ClientError,
                    asyncio.TimeoutError,
                    OSError,
                ) as error:
                    last_failure = f'{address}: {error!r}'
                    maybe_executed = True
                    leader_address = None
                    continue
                if status == 421:
                    leader_address = _parse_leader_hint(data)
                    last_failure = f'{address} does not lead'
                    if leader_address is not None:
                        break
                    continue
                if status not in _RETRIED_STATUSES:
                    return _check_status(status, data)
                maybe_executed = maybe_executed or status == 504
                last_failure = f'{address} answered {status}: {_excerpt(data)}'
            if time.monotonic() >= deadline:
                raise _unreachable_error(
                    target, call, last_failure, maybe_executed
                )
            await asyncio.sleep(_RETRY_INTERVAL_S)


def _leader_first(
    addresses: tuple[str, ...], leader_address: str | None
) -> list[str]:
    if leader_address is None:
        return list(addresses)
    return [
        leader_address,
        *(item for item in addresses if item != leader_address),
    ]


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


def _parse_leader_hint(data: bytes) -> str | None:
    try:
        leader = wire.decode(data, peers.LeaderHint).leader
    except ValueError:
        return None
    if leader is None:
        return None
    if ':' in leader.address:
        return f'[{leader.address}]:{leader.port}'
    return f'{leader.address}:{leader.port}'


def _check_status(status: int, data: bytes) -> bytes:
    if status == 200:
        return data
    try:
        failure = wire.decode(data, messages.Failure)
    except ValueError:
        raise errors.ClientError(
            exit_codes.ExitCode.INTERNAL,
            f'control answered {status}: {_excerpt(data)}',
            'See the log of the control process.',
        ) from None
    raise errors.from_failure(failure)


def _excerpt(data: bytes) -> str:
    return data[:200].decode('utf-8', 'replace')


def _untrusted_error(address: str, error: Exception) -> errors.ClientError:
    return errors.ClientError(
        exit_codes.ExitCode.UNREACHABLE,
        f'the certificate of {address} is not trusted: {error}',
        'Pass the authority that signed it as --authority.',
    )


def _unreachable_error(
    target: Target, call: Call, last_failure: str, maybe_executed: bool
) -> errors.ClientError:
    tried_addresses = ', '.join(target.addresses)
    if maybe_executed and call.method == 'POST':
        submission = call.query.get('submission_id', '')
        return errors.ClientError(
            exit_codes.ExitCode.OUTCOME_UNKNOWN,
            f'no answer from {tried_addresses} ({last_failure}); the '
            'submission may have been accepted',
            f'Repeat the command with --submission-id {submission}: it gets '
            'the first answer.',
        )
    return errors.ClientError(
        exit_codes.ExitCode.UNREACHABLE,
        f'no control leader answers at {tried_addresses} ({last_failure})',
        'Check the addresses of --control and that a majority of the '
        'control processes runs.',
    )

"""Runs one attempt of a request at a target."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import hashlib
from typing import TYPE_CHECKING

import aiohttp

from verbenastream.connection import proxying
from verbenastream.connection.proxying import headers as header_rules
from verbenastream.connection import sending
from verbenastream.process import clock
from verbenastream.request import events

if TYPE_CHECKING:
    from aiohttp import web
    import multidict

    from verbenastream.request import actions

# A response up to this size is read completely before its first byte is sent
# to the caller, so that a truncated one can be retried or reported.
_BUFFERED_ANSWER_BYTES = 64 * 1024
_CHUNK_BYTES = 64 * 1024
# ``StartAttempt.timeout_s`` limits the total time of an attempt.
_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=1.0)
_RETRIED_STATUSES = frozenset({429, 500, 502, 503, 504})


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """The attempt gave no answer that can be sent to the caller."""

    event: events.AttemptFailed


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedAnswer:
    """A complete answer in memory."""

    status: int
    headers: multidict.CIMultiDict[str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StreamedAnswer:
    """The first part of an answer that is larger than 64 KiB.

    The rest is read from ``response``.
    """

    status: int
    headers: multidict.CIMultiDict[str]
    head: bytes
    response: aiohttp.ClientResponse


AttemptResult = FailedAttempt | BufferedAnswer | StreamedAnswer


class AttemptRunner:
    """Sends a request to a target and reads the answer, or its first part."""

    def __init__(
        self, session: aiohttp.ClientSession, clock: Callable[[], float]
    ) -> None:
        """``session`` has the hooks of ``sending.trace_config``.

        ``clock`` is that of the dispatcher.
        """
        self._session = session
        self._clock = clock

    async def run(
        self,
        request: web.Request,
        body: proxying.RequestBody,
        info: events.RequestInfo,
        start: actions.StartAttempt,
        retry_statuses: bool,
    ) -> AttemptResult:
        """Return the answer, or the failure if there is none.

        With ``retry_statuses`` a status that reports a failure of the target
        (429, 500, 502, 503, 504) counts as a failed attempt.
        """
        operation = request.match_info['operation']
        query = f'?{request.query_string}' if request.query_string else ''
        url = f'http://{_host(start.address)}:{start.port}/{operation}{query}'
        response = None
        try:
            async with asyncio.timeout(start.timeout_s):
                response = await self._session.request(
                    request.method,
                    url,
                    data=body.payload() or None,
                    headers=header_rules.target_request_headers(
                        request.headers,
                        request.remote or '',
                        info.customer,
                        start,
                        info.deadline - clock.boot_time(),
                    ),
                    allow_redirects=False,
                    timeout=_TIMEOUT,
                    trace_request_ctx=(
                        lambda: self._clock() < start.permitted_until
                    ),
                )
                return await self._read_answer(response, start, retry_statuses)
        except sending.PermissionExpiredError:
            return _failed(start, events.FailureKind.GRANT_EXPIRED, sent=False)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
            # An address that cannot be a host name.
            UnicodeError,
        ):
            return _failed(start, events.FailureKind.CONNECT, sent=False)
        except (asyncio.TimeoutError, TimeoutError):
            _close(response)
            return _failed(start, events.FailureKind.TIMEOUT)
        except aiohttp.ClientPayloadError:
            _close(response)
            return _failed(start, events.FailureKind.TRUNCATED)
        except (aiohttp.ClientError, OSError):
            _close(response)
            return _failed(start, events.FailureKind.RESET)
        except BaseException:
            # On cancellation the connection may still receive a late answer.
            _close(response)
            raise

    async def _read_answer(
        self,
        response: aiohttp.ClientResponse,
        start: actions.StartAttempt,
        retry_statuses: bool,
    ) -> AttemptResult:
        if (
            response.status == 409
            and header_rules.REJECTED_HEADER in response.headers
        ):
            await response.read()
            return _failed(start, events.FailureKind.STALE_EPOCH, sent=False)
        if retry_statuses and response.status in _RETRIED_STATUSES:
            await response.read()
            return FailedAttempt(
                events.AttemptFailed(
                    start.id,
                    start.instance,
                    events.FailureKind.STATUS,
                    bytes_sent=True,
                    status=response.status,
                    retry_after_s=_retry_after(response),
                )
            )
        headers = header_rules.caller_response_headers(
            response.headers, start.id
        )
        length = response.content_length
        if length is not None and length <= _BUFFERED_ANSWER_BYTES:
            body = await response.read()
            headers.popall('Content-Length', None)
            return BufferedAnswer(response.status, headers, body)
        head = bytearray()
        while len(head) <= _BUFFERED_ANSWER_BYTES:
            chunk = await response.content.read(_CHUNK_BYTES)
            if not chunk:
                break
            head += chunk
        if response.content.at_eof():
            response.release()
            headers.popall('Content-Length', None)
            return BufferedAnswer(response.status, headers, bytes(head))
        return StreamedAnswer(response.status, headers, bytes(head), response)


async def stream_answer(
    answer: StreamedAnswer, stream: web.StreamResponse, timeout_s: float
) -> str:
    """Copy ``answer`` to the caller; return the SHA-256 of its body.

    Raises ``aiohttp.ClientError`` or ``TimeoutError`` if the target fails; the
    caller's connection must then be closed before the end of the answer.
    """
    digest = hashlib.sha256(answer.head)
    async with asyncio.timeout(timeout_s):
        await stream.write(answer.head)
        async for chunk in answer.response.content.iter_chunked(_CHUNK_BYTES):
            digest.update(chunk)
            await stream.write(chunk)
        await stream.write_eof()
    answer.response.release()
    return digest.hexdigest()


def _failed(
    start: actions.StartAttempt, kind: events.FailureKind, sent: bool = True
) -> FailedAttempt:
    return FailedAttempt(
        events.AttemptFailed(start.id, start.instance, kind, bytes_sent=sent)
    )


def _close(response: aiohttp.ClientResponse | None) -> None:
    if response is not None:
        response.close()


def _retry_after(response: aiohttp.ClientResponse) -> float | None:
    value = response.headers.get('Retry-After', '')
    return float(value) if value.isdecimal() else None


def _host(address: str) -> str:
    return f'[{address}]' if ':' in address else address

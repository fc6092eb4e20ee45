"""Sends one attempt of a caller to an entry and interprets the answer."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import aiohttp

from verbenastream_testing import caller_ledger
from verbenastream_testing import fake_target

if TYPE_CHECKING:
    from collections.abc import Mapping

    from verbenastream_testing import load

OUTCOME_HEADER = 'Verbenastream-Outcome'

_Outcome = caller_ledger.AttemptOutcome


async def send(
    session: aiohttp.ClientSession,
    url: str,
    work: load.Work,
    tag: str,
    planned_at: float,
    timeout_s: float,
) -> caller_ledger.Answer:
    """Send ``work``; return the answer that the caller received."""
    try:
        async with session.request(
            work.method,
            f'{url}/call/{work.service}/{work.operation}',
            data=work.body,
            headers=_headers(work, tag),
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            body = await response.read()
            outcome = _parse_outcome(response.headers)
            return caller_ledger.Answer(
                tag,
                outcome,
                response.status,
                time.monotonic() - planned_at,
                _is_intact(work, response.status, body, outcome),
                retry_after_s=_parse_retry_after(response.headers),
            )
    except aiohttp.ClientConnectorError as error:
        return _connection_failure(tag, _Outcome.NOT_SENT, planned_at, error)
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        return _connection_failure(tag, _Outcome.UNKNOWN, planned_at, error)


def _headers(work: load.Work, tag: str) -> dict[str, str]:
    headers = {
        'Authorization': f'Bearer {work.caller_key}',
        fake_target.TAG_HEADER: tag,
        fake_target.RUN_MS_HEADER: f'{work.run_ms:g}',
        'Content-Type': 'application/octet-stream',
    }
    if work.key is not None:
        headers['Idempotency-Key'] = work.key
    return headers


def _parse_outcome(headers: Mapping[str, str]) -> caller_ledger.AttemptOutcome:
    """Return the outcome; without a valid header it is unknown."""
    value = headers.get(OUTCOME_HEADER, _Outcome.UNKNOWN.value)
    try:
        return _Outcome(value)
    except ValueError:
        return _Outcome.UNKNOWN


def _is_intact(
    work: load.Work,
    status: int,
    body: bytes,
    outcome: caller_ledger.AttemptOutcome,
) -> bool:
    """Return whether a complete answer belongs to this work.

    A recorded answer has the tag of the attempt that ran, so only the name of
    the work before the last dot is compared.
    """
    if outcome is not _Outcome.RAN or status >= 300:
        return True
    tag, _, rest = body.partition(b'\n')
    name = tag.decode('utf-8', 'replace').rpartition('.')[0]
    return name == work.name and rest == work.body


def _parse_retry_after(headers: Mapping[str, str]) -> float | None:
    try:
        return float(headers.get('Retry-After', ''))
    except ValueError:
        return None


def _connection_failure(
    tag: str,
    outcome: caller_ledger.AttemptOutcome,
    planned_at: float,
    error: Exception,
) -> caller_ledger.Answer:
    return caller_ledger.Answer(
        tag,
        outcome,
        None,
        time.monotonic() - planned_at,
        error=type(error).__name__,
    )

"""One attempt of a caller at one entry, and what its answer means."""

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

_Told = caller_ledger.Told


async def send(
    session: aiohttp.ClientSession,
    url: str,
    work: load.Work,
    tag: str,
    planned: float,
    timeout_s: float,
) -> caller_ledger.Answer:
    """Send ``work`` and return what the caller was told."""
    try:
        async with session.request(
            work.method,
            f'{url}/call/{work.service}/{work.operation}',
            data=work.body,
            headers=_headers(work, tag),
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            body = await response.read()
            told = _told(response.headers)
            return caller_ledger.Answer(
                tag,
                told,
                response.status,
                time.monotonic() - planned,
                _is_intact(work, response.status, body, told),
                retry_after_s=_retry_after(response.headers),
            )
    except aiohttp.ClientConnectorError as error:
        return _broken(tag, _Told.NOT_SENT, planned, error)
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        return _broken(tag, _Told.UNKNOWN, planned, error)


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


def _told(headers: Mapping[str, str]) -> caller_ledger.Told:
    """An answer without the outcome header says nothing about the work."""
    value = headers.get(OUTCOME_HEADER, _Told.UNKNOWN.value)
    try:
        return _Told(value)
    except ValueError:
        return _Told.UNKNOWN


def _is_intact(
    work: load.Work, status: int, body: bytes, told: caller_ledger.Told
) -> bool:
    """Whether a complete answer belongs to this work.

    A recorded answer carries the tag of the attempt that ran, so only the
    work's name before the last dot is compared.
    """
    if told is not _Told.RAN or status >= 300:
        return True
    tag, _, rest = body.partition(b'\n')
    name = tag.decode('utf-8', 'replace').rpartition('.')[0]
    return name == work.name and rest == work.body


def _retry_after(headers: Mapping[str, str]) -> float | None:
    try:
        return float(headers.get('Retry-After', ''))
    except ValueError:
        return None


def _broken(
    tag: str, told: caller_ledger.Told, planned: float, error: Exception
) -> caller_ledger.Answer:
    return caller_ledger.Answer(
        tag,
        told,
        None,
        time.monotonic() - planned,
        error=type(error).__name__,
    )

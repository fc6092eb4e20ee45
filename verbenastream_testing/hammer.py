"""Closed-loop load from a separate process, for throughput.

``python -m verbenastream_testing.hammer URL REQUESTS CALLERS [NAME=VALUE...]``
prints the duration and the latency histogram as JSON. The values are headers.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time

import aiohttp

from verbenastream_testing import latency


async def run_callers(
    url: str, requests: int, callers: int, headers: dict[str, str]
) -> tuple[float, latency.Histogram]:
    """Return the duration of all requests in seconds and their latencies.

    Raises ``aiohttp.ClientResponseError`` for an answer that is not 200.
    """
    histogram = latency.Histogram()
    remaining = iter(range(requests))

    async def call(session: aiohttp.ClientSession) -> None:
        for _ in remaining:
            started = time.perf_counter()
            async with session.post(url, headers=headers) as answer:
                await answer.read()
                answer.raise_for_status()
            histogram.record(time.perf_counter() - started)

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        started = time.perf_counter()
        await asyncio.gather(*(call(session) for _ in range(callers)))
        return time.perf_counter() - started, histogram


def main(arguments: list[str]) -> int:
    url, requests, callers, *values = arguments
    headers = dict(value.split('=', 1) for value in values)
    seconds, histogram = asyncio.run(
        run_callers(url, int(requests), int(callers), headers)
    )
    print(json.dumps({'seconds': seconds, 'histogram': histogram.encode()}))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))

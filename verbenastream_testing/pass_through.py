"""A minimal aiohttp proxy, the baseline for throughput and latency.

It forwards requests to the targets round robin and does nothing else. Targets
may announce themselves to it, so it also replaces an entry in tests of the
test tools. Start it with
``python -m verbenastream_testing.pass_through ADDRESS PORT TARGET_URL...``.
"""

from __future__ import annotations

import asyncio
import itertools
import signal
import sys
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from verbenastream import ids
from verbenastream.process.membership import messages
from verbenastream import wire
from verbenastream_testing import attempts
from verbenastream_testing import caller_ledger
from verbenastream_testing import fake_target

if TYPE_CHECKING:
    from collections.abc import Sequence

_CHUNK_BYTES = 65_536
POOL = ids.PoolId('pass-through')
EPOCH = ids.Epoch(1)


class PassThrough:
    """Streams request and response bodies to and from the targets."""

    def __init__(self, urls: Sequence[str]) -> None:
        self._urls = itertools.cycle(urls)
        self._session: aiohttp.ClientSession | None = None
        self.announcements: list[messages.Announcement] = []
        self.assignment: tuple[ids.PoolId | None, ids.Epoch] = (POOL, EPOCH)

    def application(self) -> web.Application:
        app = web.Application(client_max_size=2**30)
        app.router.add_get('/readyz', self._ready)
        app.router.add_post('/v1/announce', self._announce)
        app.router.add_route('*', '/call/{path:.*}', self._forward)
        app.cleanup_ctx.append(self._session_context)
        return app

    async def _session_context(self, app: web.Application):
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            self._session = session
            yield

    async def _ready(self, request: web.Request) -> web.Response:
        return web.Response(text='ready\n')

    async def _announce(self, request: web.Request) -> web.Response:
        self.announcements.append(
            wire.decode(await request.read(), messages.Announcement)
        )
        pool, epoch = self.assignment
        reply = messages.AnnouncementReply(pool, epoch, 0.5)
        return web.Response(body=wire.encode(reply))

    async def _forward(self, request: web.Request) -> web.StreamResponse:
        assert self._session is not None
        headers = {
            name: value
            for name, value in request.headers.items()
            if name.lower() not in ('host', 'connection')
        }
        pool, epoch = self.assignment
        headers[fake_target.POOL_HEADER] = str(pool)
        headers[fake_target.EPOCH_HEADER] = str(epoch)
        async with self._session.request(
            request.method,
            next(self._urls) + request.path_qs,
            headers=headers,
            data=request.content if request.body_exists else None,
        ) as answer:
            response = web.StreamResponse(status=answer.status)
            response.content_length = answer.content_length
            response.headers[attempts.OUTCOME_HEADER] = (
                caller_ledger.AttemptOutcome.RAN.value
            )
            await response.prepare(request)
            async for chunk in answer.content.iter_chunked(_CHUNK_BYTES):
                await response.write(chunk)
            await response.write_eof()
            return response


async def _serve(address: str, port: int, urls: Sequence[str]) -> None:
    runner = web.AppRunner(PassThrough(urls).application(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, address, port).start()
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    await stopping.wait()
    await runner.cleanup()


def main(arguments: list[str]) -> int:
    address, port, *urls = arguments
    asyncio.run(_serve(address, int(port), urls))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))

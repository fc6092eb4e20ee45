"""A fake target that announces itself and runs requests.

Start one with ``python -m verbenastream_testing.fake_target --settings FILE``.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import pathlib
import signal
import sys

from aiohttp import web

from verbenastream import wire
from verbenastream_testing import announcer
from verbenastream_testing import run_ledger
from verbenastream_testing import target_settings

TAG_HEADER = 'X-Request-Tag'
RUN_MS_HEADER = 'X-Run-Ms'
POOL_HEADER = 'Verbenastream-Pool'
EPOCH_HEADER = 'Verbenastream-Epoch'
REJECTED_HEADER = 'Verbenastream-Rejected'

_MAX_BODY_BYTES = 64 * 2**20


class FakeTarget:
    """Runs requests to any path; ``/fake/`` paths control its behaviour."""

    def __init__(self, config: target_settings.TargetSettings) -> None:
        self.config = config
        self.behaviour = config.behaviour
        self.ledger = run_ledger.RunLedger(
            pathlib.Path(config.ledger), config.id
        )
        self.announcer = announcer.Announcer(config, self.announced_running)

    @classmethod
    def from_config(cls, config: target_settings.TargetSettings) -> FakeTarget:
        return cls(config)

    def announced_running(self) -> int:
        if self.behaviour.fault is target_settings.Fault.MISREPORT_RUNNING:
            return self.behaviour.running
        return self.ledger.running

    def application(self) -> web.Application:
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.router.add_post('/fake/leave', self._leave)
        app.router.add_post('/fake/reboot', self._reboot)
        app.router.add_post('/fake/behaviour', self._set_behaviour)
        app.router.add_get('/readyz', self._ready)
        app.router.add_route('*', '/{path:.*}', self._run)
        return app

    async def leave(self) -> None:
        """Announce the departure and wait until all runs have ended."""
        self.announcer.leaving = True
        await self.announcer.announce_all()
        while self.ledger.running:
            await asyncio.sleep(0.01)

    async def _leave(self, request: web.Request) -> web.Response:
        self.announcer.leaving = True
        await self.announcer.announce_all()
        return web.json_response({'running': self.ledger.running})

    async def _reboot(self, request: web.Request) -> web.Response:
        """Announce a new incarnation, as after a reboot."""
        if self.ledger.running:
            return web.json_response(
                {'running': self.ledger.running}, status=409
            )
        self.announcer.reboot()
        return web.json_response({'incarnation': self.announcer.incarnation})

    async def _set_behaviour(self, request: web.Request) -> web.Response:
        self.behaviour = wire.decode(
            await request.read(), target_settings.Behaviour
        )
        return web.json_response({})

    async def _ready(self, request: web.Request) -> web.Response:
        body = {
            'pool': self.announcer.pool,
            'epoch': self.announcer.epoch,
            'running': self.ledger.running,
        }
        return web.json_response(body)

    def _assignment_matches(self, request: web.Request) -> bool:
        return (
            self.announcer.pool is not None
            and request.headers.get(POOL_HEADER) == self.announcer.pool
            and request.headers.get(EPOCH_HEADER) == str(self.announcer.epoch)
        )

    async def _run(self, request: web.Request) -> web.StreamResponse:
        tag = request.headers.get(TAG_HEADER, '')
        key = request.headers.get('Idempotency-Key')
        pool = request.headers.get(POOL_HEADER)
        if not self._assignment_matches(request):
            self.ledger.reject(tag, pool, key)
            return self._reject()
        body = await request.read()
        self.ledger.start(tag, pool, key)
        try:
            if self.behaviour.fault is target_settings.Fault.FAIL:
                return web.Response(status=500, text='fault injected\n')
            await asyncio.sleep(self._run_time_s(request))
        finally:
            self.ledger.end(tag, pool, key)
        return await self._answer(request, tag, body)

    def _reject(self) -> web.Response:
        return web.json_response(
            {'pool': self.announcer.pool, 'epoch': self.announcer.epoch},
            status=409,
            headers={REJECTED_HEADER: 'stale-epoch'},
        )

    def _run_time_s(self, request: web.Request) -> float:
        seconds = float(request.headers.get(RUN_MS_HEADER, '0')) / 1e3
        if self.behaviour.fault is target_settings.Fault.SLOW:
            return seconds * self.behaviour.factor
        return seconds

    async def _answer(
        self, request: web.Request, tag: str, body: bytes
    ) -> web.StreamResponse:
        match self.behaviour.fault:
            case target_settings.Fault.HANG:
                await asyncio.sleep(3_600)
            case target_settings.Fault.DROP:
                if request.transport is not None:
                    request.transport.abort()
            case target_settings.Fault.TRUNCATE:
                return await self._truncate(request, tag, body)
        # The caller compares tag and body with what it sent.
        return web.Response(
            body=tag.encode() + b'\n' + body,
            headers={TAG_HEADER: tag, 'X-Instance': self.config.id},
        )

    async def _truncate(
        self, request: web.Request, tag: str, body: bytes
    ) -> web.StreamResponse:
        complete_body = tag.encode() + b'\n' + body
        response = web.StreamResponse(headers={TAG_HEADER: tag})
        response.content_length = len(complete_body)
        await response.prepare(request)
        await response.write(complete_body[: len(complete_body) // 2])
        if request.transport is not None:
            request.transport.close()
        return response

    async def serve(self, stopping: asyncio.Event) -> None:
        """Serve until ``stopping`` is set and all runs have ended."""
        runner = web.AppRunner(self.application(), access_log=None)
        await runner.setup()
        await web.TCPSite(
            runner, self.config.address, self.config.port
        ).start()
        announcer_task = asyncio.create_task(self.announcer.run())
        try:
            await stopping.wait()
            await self.leave()
        finally:
            announcer_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await announcer_task
            await self.announcer.close()
            await runner.cleanup()
            self.ledger.close()


async def _serve_all(configs: list[target_settings.TargetSettings]) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    targets = [FakeTarget.from_config(config) for config in configs]
    await asyncio.gather(*(target.serve(stopping) for target in targets))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--settings',
        type=pathlib.Path,
        action='append',
        required=True,
        help='may be repeated: one process then serves a whole rack',
    )
    arguments = parser.parse_args()
    configs = [
        wire.decode(path.read_bytes(), target_settings.TargetSettings)
        for path in arguments.settings
    ]
    asyncio.run(_serve_all(configs))
    return 0


if __name__ == '__main__':
    sys.exit(main())

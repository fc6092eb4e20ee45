"""The two listeners of an entry: callers and peers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import ssl
from typing import Any
from typing import TYPE_CHECKING

from aiohttp import web

from verbenastream.connection import peers
from verbenastream.connection.proxying import headers as header_rules
from verbenastream.process.entry import outbox
from verbenastream.process.membership import messages
from verbenastream.request import claims

if TYPE_CHECKING:
    from verbenastream.process.entry import announcing
    from verbenastream.process.entry import calls
    from verbenastream.process import metrics
    from verbenastream.process import settings

_PEER_MESSAGE_BYTES = 16 * 2**20
# The parser's own limit answers 400; ours answers 431 below it.
_PARSER_HEADER_FACTOR = 4


def make_caller_app(
    call_handler: calls.CallHandler, max_header_bytes: int
) -> web.Application:
    """Return the application that serves ``/call/{service}/{operation}``."""

    @web.middleware
    async def limit_headers(
        request: web.Request, handler: Any
    ) -> web.StreamResponse:
        size = sum(
            len(name) + len(value) + 4 for name, value in request.raw_headers
        )
        if size <= max_header_bytes:
            return await handler(request)
        return web.Response(
            status=431,
            headers={
                header_rules.OUTCOME_HEADER: claims.Outcome.NOT_RUN.value
            },
            text=f'headers exceed {max_header_bytes} bytes. Send less.\n',
        )

    app = web.Application(middlewares=[limit_headers])
    app.router.add_route(
        '*', '/call/{service}/{operation}', call_handler.handle
    )
    return app


class EntryListeners:
    """Serves callers on one address and peers and targets on another."""

    def __init__(
        self,
        config: settings.EntrySettings,
        registry: metrics.Metrics,
        handler: calls.CallHandler,
        receive_slots: Callable[
            [str, outbox.SlotEnvelope], Awaitable[outbox.SlotEnvelope]
        ],
        presence: announcing.PresenceExchange,
        is_ready: Callable[[], bool],
    ) -> None:
        self._config = config
        self._registry = registry
        self._is_ready = is_ready
        self._runners: list[web.AppRunner] = []
        self._watches: list[asyncio.Task[None]] = []
        self._caller_app = self._make_caller_app(handler)
        self._peer_app = self._make_peer_app(receive_slots, presence)

    async def start(self) -> None:
        await self._listen(
            self._caller_app,
            self._config.callers,
            max_line_size=_PARSER_HEADER_FACTOR
            * self._config.max_header_bytes,
            max_field_size=_PARSER_HEADER_FACTOR
            * self._config.max_header_bytes,
        )
        await self._listen(self._peer_app, self._config.peers)

    async def stop(self) -> None:
        for watch in self._watches:
            watch.cancel()
        for runner in self._runners:
            await runner.cleanup()

    def _make_caller_app(self, handler: calls.CallHandler) -> web.Application:
        app = make_caller_app(handler, self._config.max_header_bytes)
        self._add_health(app)
        return app

    def _make_peer_app(
        self,
        receive_slots: Callable[
            [str, outbox.SlotEnvelope], Awaitable[outbox.SlotEnvelope]
        ],
        presence: announcing.PresenceExchange,
    ) -> web.Application:
        app = web.Application(client_max_size=_PEER_MESSAGE_BYTES)
        routes = peers.PeerRoutes(
            app, peers.Signer(self._config.deployment), self._registry
        )
        routes.add('/v1/peer/slots', outbox.SlotEnvelope, receive_slots)
        routes.add(
            '/v1/peer/presence', messages.PresenceReport, presence.receive
        )
        routes.add('/v1/announce', messages.Announcement, presence.announce)
        self._add_health(app)
        return app

    def _add_health(self, app: web.Application) -> None:
        app.router.add_get('/livez', self._live)
        app.router.add_get('/readyz', self._ready)
        app.router.add_get('/metrics', self._metrics)

    async def _live(self, request: web.Request) -> web.Response:
        return web.Response(text='live\n')

    async def _ready(self, request: web.Request) -> web.Response:
        if self._is_ready():
            return web.Response(text='ready\n')
        return web.Response(status=503, text='not ready\n')

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._registry.expose(), content_type='text/plain'
        )

    async def _listen(
        self,
        app: web.Application,
        listener: settings.Listener,
        **limits: Any,
    ) -> None:
        context = peers.ReloadingContext.for_server(listener.tls)
        tls: ssl.SSLContext | None = None
        if context is not None:
            tls = context.context
            self._watches.append(asyncio.create_task(context.watch()))
        runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, **limits
        )
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(
            runner, listener.address, listener.port, ssl_context=tls
        )
        await site.start()

"""The two listeners of an entry: for callers and for peers."""

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

_MAX_PEER_MESSAGE_BYTES = 16 * 2**20
# The HTTP parser answers 400 above its own limit, which is therefore larger
# than the limit above which the entry answers 431.
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
    """Listens for callers on one address, for peers and targets on another."""

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
        self._tls_watch_tasks: list[asyncio.Task[None]] = []
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
        for task in self._tls_watch_tasks:
            task.cancel()
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
        app = web.Application(client_max_size=_MAX_PEER_MESSAGE_BYTES)
        routes = peers.PeerRoutes(
            app, peers.Signer(self._config.deployment), self._registry
        )
        routes.add('/v1/peer/slots', outbox.SlotEnvelope, receive_slots)
        routes.add(
            '/v1/peer/presence',
            messages.PresenceReport,
            presence.handle_report,
        )
        routes.add(
            '/v1/announce', messages.Announcement, presence.handle_announcement
        )
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
            tls = context.ssl_context
            self._tls_watch_tasks.append(asyncio.create_task(context.watch()))
        runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, **limits
        )
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(
            runner, listener.address, listener.port, ssl_context=tls
        )
        await site.start()

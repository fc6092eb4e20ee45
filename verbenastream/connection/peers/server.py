"""aiohttp handlers for the calls between processes."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from aiohttp import web
import logbook

from verbenastream.connection.peers import client
from verbenastream.connection.peers import errors
from verbenastream.connection.peers import signature
from verbenastream.connection.peers import traffic as traffics
from verbenastream.process import metrics
from verbenastream import wire

LOG = logbook.Logger(__name__)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class PeerRoutes:
    """Adds authenticated JSON handlers to an aiohttp application.

    A handler receives the sender and the decoded message and returns the
    reply::

        routes.add('/v1/claims', messages.ClaimBatch, self._claims)
    """

    def __init__(
        self,
        app: web.Application,
        signer: signature.Signer,
        registry: metrics.Metrics,
    ) -> None:
        self._app = app
        self._signer = signer
        self._traffic = traffics.TrafficCounter(registry)
        self._rejected_counter = registry.counter(
            'verbenastream_peer_rejected',
            'Messages refused because of deployment, version or signature.',
        )

    def add(
        self,
        path: str,
        message_type: type[Any],
        handler: Callable[[str, Any], Awaitable[Any]],
    ) -> None:
        """Serve ``path``; the body is decoded as ``message_type``."""

        async def handle(sender: str, body: bytes) -> bytes:
            return wire.encode(
                await handler(sender, wire.decode(body, message_type))
            )

        self.add_raw(path, handle)

    def add_raw(
        self, path: str, handler: Callable[[str, bytes], Awaitable[bytes]]
    ) -> None:
        """Serve ``path`` with a handler that receives the encoded body."""

        async def handle(request: web.Request) -> web.StreamResponse:
            body = await request.read()
            self._traffic.count_received(path, request.raw_headers, body)
            try:
                sender = self._signer.verify(
                    request.method, request.path, request.headers, body
                )
                reply = await handler(sender, body)
                self._traffic.count_sent(path, {}, reply)
                return _json(200, reply)
            except errors.MessageRejectedError as error:
                self._rejected_counter.inc()
                LOG.warning(
                    'message rejected: {}', error, extra={'path': path}
                )
                return web.Response(status=403, text=str(error))
            except errors.NotLeaderError as error:
                hint = client.LeaderHint(leader=error.leader)
                return _json(421, wire.encode(hint))
            except errors.ErrorStatusError as error:
                return web.Response(status=error.status, text=str(error))
            except ValueError as error:
                return web.Response(
                    status=400, text=f'body cannot be decoded: {error}'
                )

        self._app.router.add_post(path, handle)


def _json(status: int, body: bytes) -> web.Response:
    return web.Response(
        status=status, body=body, content_type='application/json'
    )

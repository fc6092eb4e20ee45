"""Calls other processes of the deployment with JSON over HTTP."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TypeVar

import aiohttp
import msgspec

from verbenastream.connection.peers import errors
from verbenastream.connection.peers import signature
from verbenastream.connection.peers import tls as tls_contexts
from verbenastream.connection.peers import traffic as traffics
from verbenastream.process import metrics
from verbenastream.process import settings
from verbenastream import wire

T = TypeVar('T')

# A peer that does not accept a connection in this time is unreachable.
_CONNECT_TIMEOUT_S = 0.5


class LeaderHint(msgspec.Struct, frozen=True):
    """Body of a 421 answer, with the leader if it is known."""

    leader: settings.Peer | None = None


class PeerClient:
    """Makes authenticated JSON calls over one pool of connections.

    ::

        reply = await client.call(
            peer, '/v1/claims', batch, messages.ClaimBatchReply, timeout_s=1.0
        )
    """

    def __init__(
        self,
        signer: signature.Signer,
        sender: str,
        context: tls_contexts.ReloadingContext | None,
        traffic: traffics.TrafficCounter | None = None,
    ) -> None:
        self._signer = signer
        self._sender = sender
        self._tls_context = context
        self._traffic = traffic
        self._session: aiohttp.ClientSession | None = None
        self._tls_watch_task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(
        cls,
        deployment: settings.Deployment,
        sender: str,
        tls: settings.Tls,
        registry: metrics.Metrics | None = None,
    ) -> PeerClient:
        """Return a client that signs as ``sender``, without a connection."""
        return cls(
            signature.Signer(deployment),
            sender,
            tls_contexts.ReloadingContext.for_client(tls),
            None if registry is None else traffics.TrafficCounter(registry),
        )

    async def call(
        self,
        peer: settings.Peer,
        path: str,
        message: Any,
        reply_type: type[T],
        timeout_s: float,
    ) -> T:
        """Send ``message`` and return the answer decoded as ``reply_type``.

        Raises ``UnreachableError``, ``CallFailedError``, ``ErrorStatusError``
        or ``NotLeaderError``.
        """
        data = await self.call_raw(peer, path, wire.encode(message), timeout_s)
        try:
            return wire.decode(data, reply_type)
        except ValueError as error:
            raise errors.CallFailedError(
                f'answer of {path} cannot be decoded: {error}',
                'Check that both processes run compatible versions.',
            ) from error

    async def call_raw(
        self, peer: settings.Peer, path: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Send an encoded body; return the body of the answer.

        Raises the same errors as ``call``.
        """
        endpoint = f'{peer.address}:{peer.port}'
        headers = self._signer.headers('POST', path, self._sender, body)
        if self._traffic is not None:
            self._traffic.count_sent(path, headers, body)
        try:
            async with self._get_session().post(
                f'{self._scheme}://{_host(peer.address)}:{peer.port}{path}',
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s,
                    sock_connect=min(timeout_s, _CONNECT_TIMEOUT_S),
                ),
            ) as response:
                data = await response.read()
                if self._traffic is not None:
                    self._traffic.count_received(
                        path, response.raw_headers, data
                    )
                if response.status == 200:
                    return data
                raise _response_error(response.status, data, endpoint)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
            # An address that cannot be a host name.
            UnicodeError,
        ) as error:
            raise errors.UnreachableError(
                f'{endpoint} cannot be reached: {error}',
                'Check that the process runs and the network path is open.',
            ) from error
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            raise errors.CallFailedError(
                f'call of {path} at {endpoint} failed: {error!r}',
                'Repeat the call if it is idempotent.',
            ) from error

    async def close(self) -> None:
        """Close all connections; open calls fail."""
        if self._tls_watch_task is not None:
            self._tls_watch_task.cancel()
        if self._session is not None:
            await self._session.close()

    @property
    def _scheme(self) -> str:
        return 'http' if self._tls_context is None else 'https'

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            context: Any = True
            if self._tls_context is not None:
                context = self._tls_context.ssl_context
                self._tls_watch_task = asyncio.create_task(
                    self._tls_context.watch()
                )
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, ssl=context),
                skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
            )
        return self._session


def _host(address: str) -> str:
    return f'[{address}]' if ':' in address else address


def _response_error(
    status: int, data: bytes, endpoint: str
) -> errors.PeerError:
    if status == 421:
        return errors.NotLeaderError(_decode_leader(data))
    text = data[:200].decode('utf-8', 'replace')
    return errors.ErrorStatusError(
        status,
        f'{endpoint} answered {status}: {text}',
        'See the log of that process.',
    )


def _decode_leader(data: bytes) -> settings.Peer | None:
    try:
        return wire.decode(data, LeaderHint).leader
    except ValueError:
        return None

"""A test client for the calls of operators and the platform to control."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from typing import TYPE_CHECKING
import uuid

import aiohttp

from verbenastream.connection import peers
from verbenastream import errors
from verbenastream.process.control import messages
from verbenastream.process import reports
from verbenastream.process import settings
from verbenastream import wire
from verbenastream_testing import samples

if TYPE_CHECKING:
    from verbenastream.version import documents
    from verbenastream_testing import deployment as deployments

_RETRY_INTERVAL_S = 0.05
_CALL_TIMEOUT_S = 2.0
_TIME_LIMIT_S = 20.0


class NoAnswerError(errors.VerbenastreamError):
    """No control process answered as leader within the limit."""


class OperatorClient:
    """Finds the leader and repeats each call until it answers.

    Repeats of a submission have the same id, so a lost answer does no harm.
    """

    def __init__(
        self,
        layout: deployments.LoopbackDeployment,
        session: aiohttp.ClientSession,
    ) -> None:
        self._layout = layout
        self._session = session
        self._urls = [
            layout.control_url(name) for name in layout.controls_by_id
        ]
        self._leader_url: str | None = None

    async def submit(
        self,
        document: documents.Document,
        base_revision: int,
        submission: str | None = None,
    ) -> tuple[int, Any]:
        """Submit a document; return the status and the decoded answer."""
        query = {
            'base_revision': str(base_revision),
            'submission_id': submission or str(uuid.uuid4()),
        }
        return await self.call(
            'POST',
            f'/v1/documents/{document.service}',
            params=query,
            data=wire.encode(document),
            headers=_authorization(document.service),
        )

    async def in_force(self, service: str) -> messages.InForce | None:
        status, answer = await self.call('GET', f'/v1/in-force/{service}')
        if status != 200:
            return None
        return wire.decode(wire.encode(answer), messages.InForce)

    async def status(self) -> messages.Status:
        _, answer = await self.call('GET', '/v1/status')
        return wire.decode(wire.encode(answer), messages.Status)

    async def burn(self) -> reports.BurnReport:
        _, answer = await self.call('GET', '/v1/report/burn')
        return wire.decode(wire.encode(answer), reports.BurnReport)

    async def leader(self) -> str:
        """Return the id of the control process that leads."""
        return (await self.status()).replica.id

    async def notice(
        self, notice: messages.NoticeRequest
    ) -> messages.NoticeReply:
        """Send a platform notice, signed with the deployment's key."""
        client = peers.PeerClient.from_config(
            self._layout.deployment, 'platform', settings.TlsOff.OFF
        )
        try:
            deadline = time.monotonic() + _TIME_LIMIT_S
            while True:
                for peer in self._layout.control_peers().values():
                    try:
                        return await client.call(
                            peer,
                            '/v1/platform/notices',
                            notice,
                            messages.NoticeReply,
                            _CALL_TIMEOUT_S,
                        )
                    except peers.PeerError:
                        continue
                _check_deadline(deadline, '/v1/platform/notices')
                await asyncio.sleep(_RETRY_INTERVAL_S)
        finally:
            await client.close()

    async def call(
        self, method: str, path: str, **arguments: Any
    ) -> tuple[int, Any]:
        """Call the leader; answers of other replicas are ignored."""
        deadline = time.monotonic() + _TIME_LIMIT_S
        while True:
            leader_urls = [self._leader_url] if self._leader_url else []
            for url in [*leader_urls, *self._urls]:
                result = await self._try(method, url, path, arguments)
                if result is not None:
                    self._leader_url = url
                    return result
                self._leader_url = None
            _check_deadline(deadline, path)
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _try(
        self, method: str, url: str, path: str, arguments: dict[str, Any]
    ) -> tuple[int, Any] | None:
        try:
            async with self._session.request(
                method,
                f'{url}{path}',
                timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S),
                **arguments,
            ) as answer:
                # 421: another replica leads. 503 and 504: no leader can
                # commit, or the outcome is unknown until a repeat.
                if answer.status in (421, 503, 504):
                    return None
                return answer.status, await answer.json()
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return None


def _authorization(service: str) -> dict[str, str]:
    return {'Authorization': f'Bearer {samples.team_key(service)}'}


def _check_deadline(deadline: float, path: str) -> None:
    if time.monotonic() > deadline:
        raise NoAnswerError(
            f'no control process answered {path} within {_TIME_LIMIT_S:g} s',
            'Read the logs of the control processes.',
        )

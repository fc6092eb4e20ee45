"""Signs and verifies the messages between processes of one deployment."""

from __future__ import annotations

from collections.abc import Mapping
import hashlib
import hmac
from typing import TYPE_CHECKING

from verbenastream.connection.peers import errors

if TYPE_CHECKING:
    from aiohttp import web

    from verbenastream.process import settings

DEPLOYMENT_HEADER = 'Verbenastream-Deployment'
PROTOCOL_HEADER = 'Verbenastream-Protocol'
SENDER_HEADER = 'Verbenastream-Sender'
SIGNATURE_HEADER = 'Verbenastream-Signature'

PROTOCOL_VERSION = 1
# A process accepts its own version and the previous one, so that instances can
# be upgraded one at a time.
ACCEPTED_VERSIONS = frozenset({PROTOCOL_VERSION - 1, PROTOCOL_VERSION})


class Signer:
    """Creates and checks signatures with the key of the deployment."""

    def __init__(self, deployment: settings.Deployment) -> None:
        self._deployment_name = deployment.name
        self._key = bytes.fromhex(deployment.key)

    def headers(
        self, method: str, path: str, sender: str, body: bytes
    ) -> dict[str, str]:
        """Return the headers that authenticate one call."""
        return {
            DEPLOYMENT_HEADER: self._deployment_name,
            PROTOCOL_HEADER: str(PROTOCOL_VERSION),
            SENDER_HEADER: sender,
            SIGNATURE_HEADER: self._sign(method, path, sender, body),
        }

    def verify(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> str:
        """Return the sender; raises ``MessageRejectedError``."""
        if headers.get(DEPLOYMENT_HEADER) != self._deployment_name:
            raise errors.MessageRejectedError(
                f'message is not for deployment {self._deployment_name}',
                'Correct "deployment.name" in the settings of the sender.',
            )
        version = headers.get(PROTOCOL_HEADER, '')
        if not version.isdecimal() or int(version) not in ACCEPTED_VERSIONS:
            raise errors.MessageRejectedError(
                f'protocol version {version or "missing"} is not accepted',
                'Upgrade one version at a time.',
            )
        sender = headers.get(SENDER_HEADER, '')
        expected = self._sign(method, path, sender, body)
        if not hmac.compare_digest(
            expected.encode(), headers.get(SIGNATURE_HEADER, '').encode()
        ):
            raise errors.MessageRejectedError(
                f'signature of sender {sender!r} is wrong',
                'Use the same "deployment.key" in all settings.',
            )
        return sender

    def _sign(self, method: str, path: str, sender: str, body: bytes) -> str:
        mac = hmac.new(self._key, digestmod=hashlib.sha256)
        for part in (method, path, sender):
            mac.update(part.encode())
            mac.update(b'\n')
        mac.update(body)
        return mac.hexdigest()


def verify(
    request: web.Request, body: bytes, deployment: settings.Deployment
) -> str:
    """Return the sender of ``request``; raises ``MessageRejectedError``."""
    return Signer(deployment).verify(
        request.method, request.path, request.headers, body
    )

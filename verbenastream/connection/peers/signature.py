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

PROTOCOL = 1
# A process accepts its own version and the one before, so that instances can
# be upgraded one at a time.
ACCEPTED_PROTOCOLS = frozenset({PROTOCOL - 1, PROTOCOL})


class Signer:
    """Creates and checks signatures with the key of the deployment."""

    def __init__(self, deployment: settings.Deployment) -> None:
        self._name = deployment.name
        self._key = bytes.fromhex(deployment.key)

    def headers(
        self, method: str, path: str, sender: str, body: bytes
    ) -> dict[str, str]:
        """Return the headers that authenticate one call."""
        return {
            DEPLOYMENT_HEADER: self._name,
            PROTOCOL_HEADER: str(PROTOCOL),
            SENDER_HEADER: sender,
            SIGNATURE_HEADER: self._sign(method, path, sender, body),
        }

    def verify(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> str:
        """Return the sender; raises ``RejectedError`` for a bad message."""
        if headers.get(DEPLOYMENT_HEADER) != self._name:
            raise errors.RejectedError(
                f'message is not for deployment {self._name}',
                'Correct "deployment.name" in the settings of the sender.',
            )
        protocol = headers.get(PROTOCOL_HEADER, '')
        if not protocol.isdecimal() or int(protocol) not in ACCEPTED_PROTOCOLS:
            raise errors.RejectedError(
                f'protocol version {protocol or "missing"} is not accepted',
                'Upgrade one version at a time.',
            )
        sender = headers.get(SENDER_HEADER, '')
        expected = self._sign(method, path, sender, body)
        if not hmac.compare_digest(
            expected.encode(), headers.get(SIGNATURE_HEADER, '').encode()
        ):
            raise errors.RejectedError(
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
    """Return the sender of ``request``; raises ``RejectedError``."""
    return Signer(deployment).verify(
        request.method, request.path, request.headers, body
    )

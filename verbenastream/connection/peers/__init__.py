"""Authenticated JSON calls between processes."""

from __future__ import annotations

from verbenastream.connection.peers.client import LeaderHint
from verbenastream.connection.peers.client import PeerClient
from verbenastream.connection.peers.errors import CallFailedError
from verbenastream.connection.peers.errors import ErrorStatusError
from verbenastream.connection.peers.errors import MessageRejectedError
from verbenastream.connection.peers.errors import NotLeaderError
from verbenastream.connection.peers.errors import PeerError
from verbenastream.connection.peers.errors import UnreachableError
from verbenastream.connection.peers.server import PeerRoutes
from verbenastream.connection.peers.signature import Signer
from verbenastream.connection.peers.signature import verify
from verbenastream.connection.peers.tls import ReloadingContext
from verbenastream.connection.peers.tls import TlsFilesError

__all__ = [
    'CallFailedError',
    'ErrorStatusError',
    'LeaderHint',
    'MessageRejectedError',
    'NotLeaderError',
    'PeerClient',
    'PeerError',
    'PeerRoutes',
    'ReloadingContext',
    'Signer',
    'TlsFilesError',
    'UnreachableError',
    'verify',
]

"""Messages between the nodes of a deployment."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from verbenastream.process import settings
from verbenastream import wire

HELLO_PATH = '/v1/node/hello'
RELAY_PATH = '/v1/node/relay'


class Hello(msgspec.Struct, frozen=True):
    """Introduces a node to another one.

    ``replica`` is the address of the sender if it is a replica of the log,
    ``initialised`` whether its log has entries.
    """

    name: str
    replica: settings.Peer | None = None
    initialised: bool = False
    bootstrap: bool = False


class HelloReply(msgspec.Struct, frozen=True):
    """What the answering node knows of the replicas and their leader.

    ``term`` is the term of ``leader``, not that of the answering replica.
    ``founders_by_name`` holds the initial members. It is set once the node
    that collects them has seen no new replica for a while.
    """

    leader: settings.Peer | None = None
    term: int = 0
    replicas_by_name: dict[str, settings.Peer] = {}
    founders_by_name: dict[str, settings.Peer] | None = None


class RelayedCall(msgspec.Struct, frozen=True):
    """A call of a client, worker or operator that is passed to the leader.

    ``listener`` names the listener that received it.
    """

    listener: str
    method: str
    host: str
    path: str
    body: bytes = b''


class RelayedReply(msgspec.Struct, frozen=True):
    """The answer to a relayed call, which is returned unchanged."""

    status: int
    body: bytes = b''
    headers: dict[str, str] = {}


_Relayed = TypeVar('_Relayed', RelayedCall, RelayedReply)


def encode_relayed(message: RelayedCall | RelayedReply) -> bytes:
    """Return a line of JSON without the body, followed by the raw body.

    Base64 in JSON would make the body a third longer, which matters on slow
    links.
    """
    header = msgspec.structs.replace(message, body=b'')
    return wire.encode(header) + b'\n' + message.body


def decode_relayed(data: bytes, kind: type[_Relayed]) -> _Relayed:
    """Reverse ``encode_relayed``; raises ``ValueError``."""
    header, _, body = data.partition(b'\n')
    return msgspec.structs.replace(wire.decode(header, kind), body=body)

"""Messages between the nodes of a deployment."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from verbenastream.process import settings
from verbenastream import wire

HELLO_PATH = '/v1/node/hello'
RELAY_PATH = '/v1/node/relay'


class Hello(msgspec.Struct, frozen=True):
    """A node introduces itself; ``replica`` is set on a node with a disk."""

    name: str
    replica: settings.Peer | None = None
    initialised: bool = False
    bootstrap: bool = False


class HelloReply(msgspec.Struct, frozen=True):
    """What the answering node knows of the replicas and their leader.

    ``founders`` is the first membership, once the node that collects it has
    seen no new replica for a while.
    """

    leader: settings.Peer | None = None
    term: int = 0
    replicas_by_name: dict[str, settings.Peer] = {}
    founders_by_name: dict[str, settings.Peer] | None = None


class RelayedCall(msgspec.Struct, frozen=True):
    """A call of a client, worker or operator on its way to the leader.

    ``listener`` names the listener that it arrived at.
    """

    listener: str
    method: str
    host: str
    path: str
    body: bytes = b''


class RelayedReply(msgspec.Struct, frozen=True):
    """The answer to a relayed call, to be passed back unchanged."""

    status: int
    body: bytes = b''
    headers: dict[str, str] = {}


_Relayed = TypeVar('_Relayed', RelayedCall, RelayedReply)


def encode_relayed(message: RelayedCall | RelayedReply) -> bytes:
    """Return a line of JSON without the body, then the body as it is.

    Within JSON the body would be a third longer, which counts on slow links.
    """
    head = msgspec.structs.replace(message, body=b'')
    return wire.encode(head) + b'\n' + message.body


def decode_relayed(data: bytes, kind: type[_Relayed]) -> _Relayed:
    """Reverse ``encode_relayed``; raises ``ValueError``."""
    head, _, body = data.partition(b'\n')
    return msgspec.structs.replace(wire.decode(head, kind), body=body)

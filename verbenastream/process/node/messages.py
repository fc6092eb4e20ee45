"""Messages between the nodes of a deployment."""

from __future__ import annotations

import msgspec

from verbenastream.process import settings

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

    ``listener`` names the listener that it arrived at; the body is passed on
    undecoded.
    """

    listener: str
    method: str
    host: str
    path: str
    body: bytes = b''


class RelayedReply(msgspec.Struct, frozen=True):
    status: int
    body: bytes = b''
    headers: dict[str, str] = {}

"""Finds the control leader and calls it."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

from verbenastream.connection import peers

if TYPE_CHECKING:
    from verbenastream.process import settings

T = TypeVar('T')


class LeaderClient:
    """Calls the control leader and remembers which replica it is."""

    def __init__(
        self,
        client: peers.PeerClient,
        control: tuple[settings.Peer, ...],
    ) -> None:
        self._client = client
        self._replicas = control
        self._next_index = 0
        self._known_leader: settings.Peer | None = None

    async def call(
        self,
        path: str,
        message: Any,
        reply_type: type[T],
        timeout_s: float,
    ) -> T:
        """Call the presumed leader once; follow one 421 answer to the leader.

        On failure the next call tries another replica. Raises the errors of
        ``PeerClient.call``.
        """
        try:
            return await self._client.call(
                self._presumed_leader(), path, message, reply_type, timeout_s
            )
        except peers.NotLeaderError as error:
            if error.leader is None:
                self._try_next()
                raise
            self._known_leader = error.leader
        except (peers.UnreachableError, peers.CallFailedError):
            self._try_next()
            raise
        try:
            return await self._client.call(
                self._presumed_leader(), path, message, reply_type, timeout_s
            )
        except peers.PeerError:
            self._try_next()
            raise

    def _presumed_leader(self) -> settings.Peer:
        if self._known_leader is not None:
            return self._known_leader
        return self._replicas[self._next_index % len(self._replicas)]

    def _try_next(self) -> None:
        self._known_leader = None
        self._next_index += 1

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
    """Calls the control leader; remembers which replica led last."""

    def __init__(
        self,
        client: peers.PeerClient,
        control: tuple[settings.Peer, ...],
    ) -> None:
        self._client = client
        self._control = control
        self._current = 0
        self._hint: settings.Peer | None = None

    async def call(
        self,
        path: str,
        message: Any,
        reply: type[T],
        timeout_s: float,
    ) -> T:
        """Call the presumed leader once, following one 421 answer.

        On failure the next call tries another replica. Raises the errors of
        ``PeerClient.call``.
        """
        try:
            return await self._client.call(
                self._leader(), path, message, reply, timeout_s
            )
        except peers.NotLeaderError as error:
            if error.leader is None:
                self._try_next()
                raise
            self._hint = error.leader
        except (peers.UnreachableError, peers.CallFailedError):
            self._try_next()
            raise
        try:
            return await self._client.call(
                self._leader(), path, message, reply, timeout_s
            )
        except peers.PeerError:
            self._try_next()
            raise

    def _leader(self) -> settings.Peer:
        if self._hint is not None:
            return self._hint
        return self._control[self._current % len(self._control)]

    def _try_next(self) -> None:
        self._hint = None
        self._current += 1

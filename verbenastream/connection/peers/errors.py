"""Errors of calls between processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import errors

if TYPE_CHECKING:
    from verbenastream.process import settings


class PeerError(errors.VerbenastreamError):
    """Base class for failures of calls to another process."""


class UnreachableError(PeerError):
    """No connection could be opened, so no byte of the call was sent."""


class CallFailedError(PeerError):
    """The call failed after it may have been sent; its outcome is unknown."""


class ErrorStatusError(PeerError):
    """The peer answered with an error status."""

    def __init__(self, status: int, message: str, remedy: str) -> None:
        super().__init__(message, remedy)
        self.status = status


class NotLeaderError(PeerError):
    """The called replica does not lead; ``leader`` is set if it is known."""

    def __init__(self, leader: settings.Peer | None) -> None:
        endpoint = 'unknown'
        if leader is not None:
            endpoint = f'{leader.address}:{leader.port}'
        super().__init__(
            f'the called replica is not the leader, leader is {endpoint}',
            'Call the leader, or try another replica.',
        )
        self.leader = leader


class MessageRejectedError(PeerError):
    """A received message has the wrong deployment, version or signature."""

"""Passes calls from the node that receives them to the leader."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

import logbook

from verbenastream.connection import peers
from verbenastream.process import clock
from verbenastream.process.jobqueue import errors
from verbenastream.process.node import messages

if TYPE_CHECKING:
    from verbenastream.process.node import directory as directories
    from verbenastream.process.node import introductions
    from verbenastream.process import settings

LOG = logbook.Logger(__name__)

# How long a call waits for a new leader before it is refused; a retry of the
# caller reaches another node.
_LEADER_SEARCH_S = 0.25
_LEADER_SEARCH_INTERVAL_S = 0.05
# How often a call that waits for its answer checks for a new leader.
_LEADER_CHECK_INTERVAL_S = 0.2

Handler = Callable[
    [messages.RelayedCall], Awaitable[messages.RelayedReply | None]
]


class Relay:
    """Handles calls locally if this node leads, else sends them to the leader.

    ``handler`` returns None if this node does not lead.
    """

    def __init__(
        self,
        directory: directories.Directory,
        client: peers.PeerClient,
        discovery: introductions.LeaderDiscovery,
    ) -> None:
        self._directory = directory
        self._client = client
        self._discovery = discovery
        self.handler: Handler | None = None

    async def call(
        self, call: messages.RelayedCall, timeout_s: float
    ) -> messages.RelayedReply:
        """Return the leader's answer within ``timeout_s``.

        Raises ``UnavailableError`` if the call was not executed, and
        ``OutcomeUnknownError`` if it may have been.
        """
        now = clock.boot_time()
        deadline = now + timeout_s
        search_until = now + _LEADER_SEARCH_S
        sent = False
        while True:
            leader = self._directory.leader
            if leader is not None:
                try:
                    reply = await self._call_leader(leader, call, deadline)
                    if reply is not None:
                        return reply
                except peers.UnreachableError:
                    self._report_leader_failure(leader)
                except (
                    peers.CallFailedError,
                    peers.ErrorStatusError,
                ) as error:
                    sent = sent or _may_have_been_executed(error)
                    self._report_leader_failure(leader)
            now = clock.boot_time()
            leader_changed = self._directory.leader not in (None, leader)
            if now >= deadline or (now >= search_until and not leader_changed):
                break
            if not leader_changed:
                self._discovery.search()
                await asyncio.sleep(_LEADER_SEARCH_INTERVAL_S)
        if sent:
            raise errors.OutcomeUnknownError(
                'the leader did not answer', 'Repeat the call.'
            )
        raise errors.UnavailableError(
            'no leader is known', 'Repeat the call after a second.'
        )

    async def _call_leader(
        self,
        leader: settings.Peer,
        call: messages.RelayedCall,
        deadline: float,
    ) -> messages.RelayedReply | None:
        if leader == self._directory.own_peer:
            assert self.handler is not None
            return await self.handler(call)
        try:
            data = await self._send(leader, call, deadline)
            return messages.decode_relayed(data, messages.RelayedReply)
        except peers.NotLeaderError:
            self._directory.forget_leader(leader)
            return None
        except ValueError as error:
            raise peers.CallFailedError(
                f'the answer of the leader cannot be decoded: {error}',
                'Check that all nodes run compatible versions.',
            ) from error

    async def _send(
        self,
        leader: settings.Peer,
        call: messages.RelayedCall,
        deadline: float,
    ) -> bytes:
        """Send ``call`` and wait for the answer while ``leader`` leads.

        A leader that is frozen or partitioned does not answer. All calls are
        idempotent, so that they can be repeated at the next leader. Raises
        ``CallFailedError`` once another node leads.
        """
        answer = asyncio.ensure_future(
            self._client.call_raw(
                leader,
                messages.RELAY_PATH,
                messages.encode_relayed(call),
                max(0.05, deadline - clock.boot_time()),
            )
        )
        try:
            while True:
                done, _ = await asyncio.wait(
                    {answer}, timeout=_LEADER_CHECK_INTERVAL_S
                )
                if done:
                    return answer.result()
                if self._directory.leader not in (None, leader):
                    raise peers.CallFailedError(
                        f'{leader.address} is no longer the leader',
                        'Send the call to the new leader.',
                    )
        finally:
            answer.cancel()

    def _report_leader_failure(self, leader: settings.Peer) -> None:
        LOG.debug('leader {} does not answer', leader)
        self._directory.forget_leader(leader)
        self._discovery.search()

    async def answer(self, sender: str, data: bytes) -> bytes:
        """Answer a call that another node relayed.

        Raises ``NotLeaderError`` if this node does not lead.
        """
        call = messages.decode_relayed(data, messages.RelayedCall)
        reply = None if self.handler is None else await self.handler(call)
        if reply is None:
            raise peers.NotLeaderError(None)
        return messages.encode_relayed(reply)


def _may_have_been_executed(error: peers.PeerError) -> bool:
    """Whether the leader may have executed a call that failed.

    An internal error of the leader can follow the commit of a command. A
    status below 500 means that the call was rejected before that.
    """
    if isinstance(error, peers.ErrorStatusError):
        return error.status >= 500
    return True

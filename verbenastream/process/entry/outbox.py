"""Sends messages to other entries in order, one call at a time for each."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from typing import Any
from typing import TYPE_CHECKING

import logbook
import msgspec

from verbenastream.connection import peers
from verbenastream import ids
from verbenastream.request.slots import messages as slot_messages

if TYPE_CHECKING:
    from verbenastream.process import settings

LOG = logbook.Logger(__name__)

_CALL_TIMEOUT_S = 1.0
# Slot messages older than this many are superseded by later reports.
_MAX_WAITING = 1_000


class SlotEnvelope(msgspec.Struct, frozen=True):
    """Slot messages from one entry, in the order they were made."""

    entry: ids.EntryId
    incarnation: ids.Incarnation
    messages: tuple[slot_messages.SlotMessage, ...]


class Accepted(msgspec.Struct, frozen=True):
    """Empty reply to a one-way message."""


class Outbox:
    """Messages to the other entries of the region.

    At most one call to each entry is open, so messages arrive in order;
    those that wait meanwhile travel together in the next call. The answer to
    a call carries what the other entry has to say, which halves the calls. A
    failed call loses its messages: slot messages are repeated by the next
    report.
    """

    def __init__(
        self,
        client: peers.PeerClient,
        entry: ids.EntryId,
        incarnation: ids.Incarnation,
        receive: Callable[[SlotEnvelope], None],
    ) -> None:
        self._receive = receive
        self._client = client
        self._entry = entry
        self._incarnation = incarnation
        self._peers_by_id: dict[ids.EntryId, settings.Peer] = {}
        self._waiting_by_id: dict[ids.EntryId, collections.deque[Any]] = {}
        self._senders_by_id: dict[ids.EntryId, asyncio.Task[None]] = {}
        self._answering: ids.EntryId | None = None

    def set_peers(self, peers_by_id: dict[ids.EntryId, settings.Peer]) -> None:
        self._peers_by_id = dict(peers_by_id)
        for entry in list(self._waiting_by_id):
            if entry not in peers_by_id:
                del self._waiting_by_id[entry]

    def send(self, entry: ids.EntryId, message: Any) -> None:
        """Queue ``message``; unknown entries are ignored."""
        if entry not in self._peers_by_id:
            return
        waiting = self._waiting_by_id.setdefault(
            entry, collections.deque(maxlen=_MAX_WAITING)
        )
        waiting.append(message)
        if entry not in self._senders_by_id and entry != self._answering:
            task = asyncio.create_task(self._send_waiting(entry))
            self._senders_by_id[entry] = task

    def answer(self, envelope: SlotEnvelope) -> SlotEnvelope:
        """Handle a received call and return the messages to its sender.

        Messages that this entry already sends by a call of its own stay with
        that call, because they must not be overtaken.
        """
        entry = envelope.entry
        self._answering = entry
        try:
            self._receive(envelope)
        finally:
            self._answering = None
        waiting: tuple[Any, ...] = ()
        if entry not in self._senders_by_id:
            waiting = tuple(self._waiting_by_id.pop(entry, ()))
        return SlotEnvelope(self._entry, self._incarnation, waiting)

    async def close(self) -> None:
        for task in list(self._senders_by_id.values()):
            task.cancel()

    async def _send_waiting(self, entry: ids.EntryId) -> None:
        try:
            while self._waiting_by_id.get(entry):
                batch = tuple(self._waiting_by_id.pop(entry))
                await self._send_batch(entry, batch)
        finally:
            self._senders_by_id.pop(entry, None)

    async def _send_batch(
        self, entry: ids.EntryId, batch: tuple[Any, ...]
    ) -> None:
        peer = self._peers_by_id.get(entry)
        if peer is None:
            return
        envelope = SlotEnvelope(self._entry, self._incarnation, batch)
        try:
            reply = await self._client.call(
                peer, '/v1/peer/slots', envelope, SlotEnvelope, _CALL_TIMEOUT_S
            )
        except peers.PeerError as error:
            LOG.debug('slot messages to {} lost: {}', entry, error)
            return
        if reply.messages:
            self._receive(reply)

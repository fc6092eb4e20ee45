"""Sends messages to other entries in order, with one open call to each."""

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
# Older messages are dropped, because later reports supersede them.
_MAX_PENDING_MESSAGES = 1_000


class SlotEnvelope(msgspec.Struct, frozen=True):
    """Slot messages of one entry in the order of their creation."""

    entry: ids.EntryId
    incarnation: ids.Incarnation
    messages: tuple[slot_messages.SlotMessage, ...]


class EmptyReply(msgspec.Struct, frozen=True):
    """Empty reply to a one-way message."""


class Outbox:
    """Queues and sends messages to the other entries of the region.

    At most one call to each entry is open, so that messages arrive in order;
    messages queued meanwhile are sent together in the next call. The reply
    carries the messages of the other entry, which halves the number of
    calls. Messages of a failed call are lost; the next report repeats their
    content.
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
        self._pending_by_id: dict[ids.EntryId, collections.deque[Any]] = {}
        self._send_tasks_by_id: dict[ids.EntryId, asyncio.Task[None]] = {}
        self._answered_entry: ids.EntryId | None = None

    def set_peers(self, peers_by_id: dict[ids.EntryId, settings.Peer]) -> None:
        self._peers_by_id = dict(peers_by_id)
        for entry in list(self._pending_by_id):
            if entry not in peers_by_id:
                del self._pending_by_id[entry]

    def send(self, entry: ids.EntryId, message: Any) -> None:
        """Queue ``message``; unknown entries are ignored."""
        if entry not in self._peers_by_id:
            return
        pending = self._pending_by_id.setdefault(
            entry, collections.deque(maxlen=_MAX_PENDING_MESSAGES)
        )
        pending.append(message)
        if (
            entry not in self._send_tasks_by_id
            and entry != self._answered_entry
        ):
            task = asyncio.create_task(self._send_pending(entry))
            self._send_tasks_by_id[entry] = task

    def answer(self, envelope: SlotEnvelope) -> SlotEnvelope:
        """Handle a received call and return the messages to its sender.

        While a call of this entry to the sender is open, the reply is empty,
        because later messages must not overtake those of the call.
        """
        entry = envelope.entry
        self._answered_entry = entry
        try:
            self._receive(envelope)
        finally:
            self._answered_entry = None
        pending: tuple[Any, ...] = ()
        if entry not in self._send_tasks_by_id:
            pending = tuple(self._pending_by_id.pop(entry, ()))
        return SlotEnvelope(self._entry, self._incarnation, pending)

    async def close(self) -> None:
        for task in list(self._send_tasks_by_id.values()):
            task.cancel()

    async def _send_pending(self, entry: ids.EntryId) -> None:
        try:
            while self._pending_by_id.get(entry):
                batch = tuple(self._pending_by_id.pop(entry))
                await self._send_batch(entry, batch)
        finally:
            self._send_tasks_by_id.pop(entry, None)

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
            LOG.debug('slot messages to {} not delivered: {}', entry, error)
            return
        if reply.messages:
            self._receive(reply)

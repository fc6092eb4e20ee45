"""Connects the dispatcher core to timers, other entries and requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.request import actions
from verbenastream.request import dispatch
from verbenastream.request import events

if TYPE_CHECKING:
    from verbenastream.process.entry import outbox

_TICK_INTERVAL_S = 0.02
# Without requests a tick only removes expired grants, so a fifth of the ticks
# is enough and saves processor time of an idle entry.
_IDLE_TICK_INTERVAL_S = 0.1

RequestAction = actions.StartAttempt | actions.AbortAttempt | actions.Finish


class DispatchDriver:
    """Passes events to the dispatcher and executes its actions.

    Each open request has a queue of its actions; ``register`` creates it and
    ``release`` removes it.
    """

    def __init__(
        self,
        entry: ids.EntryId,
        core: dispatch.Dispatcher,
        peer_outbox: outbox.Outbox,
        clock: Callable[[], float],
    ) -> None:
        self._entry = entry
        self._core = core
        self._outbox = peer_outbox
        self._clock = clock
        self._action_queues_by_id: dict[
            ids.RequestId, asyncio.Queue[RequestAction]
        ] = {}

    @property
    def in_flight(self) -> int:
        """Number of requests that wait or run."""
        return len(self._action_queues_by_id)

    def register(self, id: ids.RequestId) -> asyncio.Queue[RequestAction]:
        queue: asyncio.Queue[RequestAction] = asyncio.Queue()
        self._action_queues_by_id[id] = queue
        return queue

    def release(self, id: ids.RequestId) -> None:
        self._action_queues_by_id.pop(id, None)

    def handle(self, event: events.Event) -> None:
        """Pass one event to the core and execute its actions."""
        pending: list[events.Event] = [event]
        while pending:
            now = self._clock()
            for action in self._core.handle(pending.pop(0), now):
                own_message = self._execute(action)
                if own_message is not None:
                    pending.append(own_message)

    async def run(self) -> None:
        """Send ticks until cancelled."""
        while True:
            await asyncio.sleep(
                _TICK_INTERVAL_S if self.in_flight else _IDLE_TICK_INTERVAL_S
            )
            self.handle(events.Tick())

    def _execute(self, action: actions.Action) -> events.Event | None:
        match action:
            case actions.SendToPeer(entry=entry, message=message):
                if entry == self._entry:
                    return events.PeerMessage(entry, message)
                self._outbox.send(entry, message)
            case _:
                self._deliver(action)
        return None

    def _deliver(self, action: Any) -> None:
        queue = self._action_queues_by_id.get(action.id)
        if queue is not None:
            queue.put_nowait(action)

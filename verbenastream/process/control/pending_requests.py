"""Local callers that wait for a replica of the log."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

from verbenastream.process import agreement

if TYPE_CHECKING:
    from verbenastream import ids
    from verbenastream.process.agreement import events
    from verbenastream.process.agreement import messages


class PendingRequests:
    """Futures of the commands and reads that have no result yet.

    ::

        request_id, future = pending.create()
        ...
        pending.resolve(request_id, result)
    """

    def __init__(self) -> None:
        self._last_request_id = 0
        self._futures_by_id: dict[int, asyncio.Future[Any]] = {}
        # Commands that are in the log and not committed yet.
        self._appended_by_index: dict[ids.LogIndex, events.Appended] = {}

    def create(self) -> tuple[int, asyncio.Future[Any]]:
        """Return the id of a new request and the future of its result."""
        self._last_request_id += 1
        future = asyncio.get_running_loop().create_future()
        self._futures_by_id[self._last_request_id] = future
        return self._last_request_id, future

    def resolve(self, request_id: int, result: Any) -> None:
        """Set the result, or the error if it is an exception."""
        future = self._futures_by_id.pop(request_id, None)
        if future is None or future.done():
            return
        if isinstance(result, Exception):
            future.set_exception(result)
        else:
            future.set_result(result)

    def record_appended(self, action: events.Appended) -> None:
        """Record that a command was appended to the log of this replica."""
        self._appended_by_index[action.index] = action

    def resolve_applied(self, entry: messages.Entry, result: Any) -> None:
        """Resolve the command of this process in an applied entry, if any."""
        appended = self._appended_by_index.pop(entry.index, None)
        if appended is None:
            return
        if appended.term != entry.term:
            result = agreement.OutcomeUnknownError(
                'another leader replaced the entry'
            )
        self.resolve(appended.id, result)

    def fail_appended(self, reason: str) -> None:
        """End the commands whose entries may be replaced."""
        appended, self._appended_by_index = self._appended_by_index, {}
        for command in appended.values():
            self.resolve(command.id, agreement.OutcomeUnknownError(reason))

    def fail_all(self, reason: str) -> None:
        """End all requests; the outcome of each is unknown."""
        for request_id in list(self._futures_by_id):
            self.resolve(request_id, agreement.OutcomeUnknownError(reason))

"""Actions that the dispatcher of an entry returns to its driver."""

from __future__ import annotations

import dataclasses

from verbenastream import ids
from verbenastream.request.claims import messages


@dataclasses.dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the request, with ``pool`` and ``epoch``, to the target.

    Nothing may be sent from ``permitted_until`` on, by the clock of the
    dispatcher: the owner may then have granted the slot to another entry.
    """

    id: ids.RequestId
    instance: ids.InstanceId
    address: str
    port: int
    pool: ids.PoolId
    epoch: ids.Epoch
    attempt: int
    timeout_s: float
    permitted_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class AbortAttempt:
    """Close the connection of an attempt whose answer is not needed."""

    id: ids.RequestId
    instance: ids.InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Answer a request that gets no answer from a target.

    ``status`` is the HTTP status, ``retry_after_s`` the time after which the
    caller may try again, or None.
    """

    id: ids.RequestId
    status: int
    outcome: messages.Outcome
    reason: str
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a slot message to another entry; delivery may fail."""

    entry: ids.EntryId
    message: object


Action = StartAttempt | AbortAttempt | Finish | SendToPeer

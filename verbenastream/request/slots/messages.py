"""Messages between the holders of slot grants and the slot owners."""

from __future__ import annotations

import msgspec

from verbenastream import ids


class GrantStatus(msgspec.Struct, frozen=True, array_like=True):
    """A grant that an entry holds.

    ``running_class`` is the class of the running work, empty for an idle
    grant. ``age_s`` is the time since the work was sent. ``number`` is 0 for
    work that runs under a grant of an earlier owner. ``in_long_lane`` tells
    whether the slot counts towards the long lane.
    """

    number: int
    instance: ids.InstanceId
    running_class: str = msgspec.field(default='', name='running')
    age_s: float = 0.0
    owner_term: int = 0
    in_long_lane: bool = msgspec.field(default=False, name='long')


class QueueHead(msgspec.Struct, frozen=True, array_like=True):
    """One of the requests at the head of an entry's queue."""

    age_s: float
    customer: ids.CustomerId
    weight: int = 1


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Requests that wait at an entry for a pool.

    ``short_heads`` and ``long_heads`` list the first requests of each lane
    in the entry's order; the counts include the rest. ``failed_instances``
    lists targets on which waiting requests have failed before.
    """

    pool: ids.PoolId
    short_count: int = 0
    long_count: int = 0
    short_heads: tuple[QueueHead, ...] = msgspec.field(
        default=(), name='short'
    )
    long_heads: tuple[QueueHead, ...] = msgspec.field(default=(), name='long')
    failed_instances: tuple[ids.InstanceId, ...] = msgspec.field(
        default=(), name='avoid'
    )


class EndedUse(msgspec.Struct, frozen=True, array_like=True):
    """A use of a slot that ended and that the owner has not acknowledged.

    ``serial`` grows by one for each use, so that the owner counts a repeated
    report once. ``end_confirmed`` is false when the target may still run the
    work, for instance after a timeout or a cancellation. ``start_age_s`` and
    ``end_age_s`` tell when the work ran, in seconds before the report.
    ``succeeded`` is None when the end says nothing about the target's health.
    """

    serial: int
    instance: ids.InstanceId
    succeeded: bool | None = msgspec.field(name='good')
    end_confirmed: bool = msgspec.field(name='certain')
    start_age_s: float
    end_age_s: float


class Report(msgspec.Struct, frozen=True, tag='report'):
    """The state of one entry for one owner; replaces earlier reports.

    A grant that is absent from ``held_grants`` is released if the report
    acknowledges the message that carried the grant: ``received_sequence`` is
    the sequence number of the last message received from the owner.
    ``previous_entries`` is the entry set before the current one, including
    the entries that were leaving; it had the
    epoch ``previous_epoch`` and was in force for ``previous_age_s`` seconds.
    From it a new owner knows which entries must report before it has
    accounted for all running work.
    """

    epoch: ids.Epoch
    term: int
    sequence: int
    received_sequence: int = msgspec.field(default=0, name='received')
    owner_term: int = 0
    data_centre: str = ''
    previous_epoch: ids.Epoch = ids.Epoch(0)
    previous_age_s: float = 0.0
    previous_entries: tuple[ids.EntryId, ...] = ()
    held_grants: tuple[GrantStatus, ...] = msgspec.field(
        default=(), name='held'
    )
    demands: tuple[Demand, ...] = ()
    ended_uses: tuple[EndedUse, ...] = msgspec.field(default=(), name='ended')


class NewGrant(msgspec.Struct, frozen=True, array_like=True):
    """The right to start work on one slot.

    Long work may start only under a grant that is ``in_long_lane``.
    """

    number: int
    instance: ids.InstanceId
    in_long_lane: bool = msgspec.field(name='long')


class PoolState(msgspec.Struct, frozen=True, array_like=True):
    """State of a pool as its owner sees it.

    ``max_idle_grants`` is the number of grants that an entry may hold
    without waiting work. ``oldest_short_wait_s`` is the time that the oldest
    short request of the pool has waited without a grant; 0 if none waits.
    """

    pool: ids.PoolId
    max_idle_grants: int = msgspec.field(name='keep')
    short_waiting: int
    long_waiting: int
    long_limit: int
    slots: int
    oldest_short_wait_s: float = msgspec.field(default=0.0, name='oldest_s')


class Grants(msgspec.Struct, frozen=True, tag='grants'):
    """Grants and renewals from one owner to one entry.

    ``report_sequence`` is the sequence number of the last report received.
    Every grant listed in that report and each of ``new_grants`` is valid for
    the grant lifetime, counted from the moment the entry sent that report.
    """

    epoch: ids.Epoch
    owner_term: int
    sequence: int
    report_sequence: int = msgspec.field(name='answers')
    entry_term: int
    new_grants: tuple[NewGrant, ...] = msgspec.field(
        default=(), name='granted'
    )
    revoked_numbers: tuple[int, ...] = msgspec.field(
        default=(), name='revoked'
    )
    pool_states: tuple[PoolState, ...] = msgspec.field(
        default=(), name='pools'
    )


SlotMessage = Report | Grants

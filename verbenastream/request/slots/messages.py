"""Messages between the holders of slot grants and the slot owners."""

from __future__ import annotations

import msgspec

from verbenastream import ids


class Held(msgspec.Struct, frozen=True, array_like=True):
    """A grant that an entry holds.

    ``running`` is empty for an idle grant, otherwise the work class.
    ``age_s`` is the time since the work was sent. ``number`` is 0 for work
    that runs under a grant of an earlier owner. ``long`` tells whether the
    slot counts towards the long lane.
    """

    number: int
    instance: ids.InstanceId
    running: str = ''
    age_s: float = 0.0
    owner_term: int = 0
    long: bool = False


class Waiting(msgspec.Struct, frozen=True, array_like=True):
    """One of the requests at the head of an entry's queue."""

    age_s: float
    customer: ids.CustomerId
    weight: int = 1


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """What waits at an entry for a pool.

    ``short`` and ``long`` list the heads in the entry's order; the counts
    include the rest. ``avoid`` lists targets that the waiting work has
    already failed on.
    """

    pool: ids.PoolId
    short_count: int = 0
    long_count: int = 0
    short: tuple[Waiting, ...] = ()
    long: tuple[Waiting, ...] = ()
    avoid: tuple[ids.InstanceId, ...] = ()


class Ended(msgspec.Struct, frozen=True, array_like=True):
    """A use of a slot that ended and that the owner has not acknowledged.

    ``serial`` grows by one for each use, so that the owner counts a repeated
    report once. ``certain`` is false when the target may still run the work,
    for instance after a timeout or a cancellation. ``start_age_s`` and
    ``end_age_s`` tell when the work ran, in seconds before the report.
    ``good`` is None when the end says nothing about the target's health.
    """

    serial: int
    instance: ids.InstanceId
    good: bool | None
    certain: bool
    start_age_s: float
    end_age_s: float


class Report(msgspec.Struct, frozen=True, tag='report'):
    """The state of one entry towards one owner; replaces earlier reports.

    A grant that is absent from ``held`` is released if the report
    acknowledges (``received``) the message that carried the grant.
    ``previous_entries`` is the entry set that this entry knew before, under
    ``previous_epoch``, for ``previous_age_s`` seconds. A new owner needs it
    to know whose reports complete the picture of running work.
    """

    epoch: ids.Epoch
    term: int
    sequence: int
    received: int = 0
    owner_term: int = 0
    data_centre: str = ''
    previous_epoch: ids.Epoch = ids.Epoch(0)
    previous_age_s: float = 0.0
    previous_entries: tuple[ids.EntryId, ...] = ()
    held: tuple[Held, ...] = ()
    demands: tuple[Demand, ...] = ()
    ended: tuple[Ended, ...] = ()


class NewGrant(msgspec.Struct, frozen=True, array_like=True):
    """The right to start work on one slot; ``long`` permits long work."""

    number: int
    instance: ids.InstanceId
    long: bool


class PoolState(msgspec.Struct, frozen=True, array_like=True):
    """What the owner knows of a pool.

    ``keep`` is the number of idle grants that an entry may hold ahead.
    ``oldest_s`` is the time that the oldest short request of the pool has
    waited without a grant; 0 if none waits.
    """

    pool: ids.PoolId
    keep: int
    short_waiting: int
    long_waiting: int
    long_limit: int
    slots: int
    oldest_s: float = 0.0


class Grants(msgspec.Struct, frozen=True, tag='grants'):
    """Grants and renewals of one owner for one entry.

    ``answers`` is the sequence of the last report seen. Every grant of that
    report and each of ``granted`` is valid for the grant lifetime counted
    from the moment the entry sent that report.
    """

    epoch: ids.Epoch
    owner_term: int
    sequence: int
    answers: int
    entry_term: int
    granted: tuple[NewGrant, ...] = ()
    revoked: tuple[int, ...] = ()
    pools: tuple[PoolState, ...] = ()


SlotMessage = Report | Grants

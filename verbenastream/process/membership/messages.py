"""Messages for entry leases, view changes and the presence of targets."""

from __future__ import annotations

from typing import Annotated

import msgspec

from verbenastream import ids
from verbenastream.process.reports import counters
from verbenastream.process import settings
from verbenastream.version.documents import schema
from verbenastream.version import fleet


# Bounds of announced numbers, which leave room for sums over all instances.
_MAX_AMOUNT = 1_000_000
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_AMOUNT)]
_COUNTER = msgspec.Meta(ge=0, le=2**63 - 1)


class EntryRecord(msgspec.Struct, frozen=True):
    """A registered entry and the address of its peer listener.

    ``live`` is false after its lease has expired: the entry owns no slots, but
    still counts towards the majority of the registered entries. A ``leaving``
    entry owns no slots either, but finishes its work under its lease.
    """

    id: ids.EntryId
    incarnation: ids.Incarnation
    data_centre: ids.DataCentreId
    address: str
    port: int
    live: bool = True
    leaving: bool = False


class DocumentChanged(msgspec.Struct, frozen=True, tag='document'):
    revision: ids.Revision
    document: schema.Document


class InstanceChanged(msgspec.Struct, frozen=True, tag='instance'):
    instance: fleet.InstanceRecord


class InstanceRemoved(msgspec.Struct, frozen=True, tag='instance_removed'):
    id: ids.InstanceId


class EntriesChanged(msgspec.Struct, frozen=True, tag='entries'):
    """The whole entry set; ``epoch`` selects the slot owners."""

    epoch: ids.Epoch
    entries: tuple[EntryRecord, ...]


ViewChange = (
    DocumentChanged | InstanceChanged | InstanceRemoved | EntriesChanged
)


class RenewRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Renews an entry's lease and acknowledges ``applied_index``.

    With ``leaving`` the entry loses its slots and keeps its lease; it is
    removed once it has stopped renewing.
    ``totals`` are the entry's counts for the burn report. ``busy_by_service``
    is the number of instances that its running and waiting work would keep
    busy. Most renewals omit both.
    """

    entry: EntryRecord
    applied_index: ids.LogIndex
    view_digest: str
    leaving: bool = False
    totals: counters.EntryTotals | None = None
    busy_by_service: dict[ids.ServiceId, float] | None = None


class RenewReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Grants a lease and carries the changes of the view.

    ``lease_s`` counts from the moment the entry sent the request. With
    ``snapshot`` set, ``changes`` is the whole view, not a difference;
    otherwise they are the changes after ``base``, up to ``index``.
    """

    lease_s: float
    index: ids.LogIndex
    changes: tuple[ViewChange, ...] = ()
    snapshot: bool = False
    base: ids.LogIndex = ids.LogIndex(0)


class Announcement(msgspec.Struct, frozen=True):
    """The state that a target announces to an entry once per second."""

    id: ids.InstanceId
    incarnation: Annotated[ids.Incarnation, _COUNTER]
    data_centre: ids.DataCentreId
    rack: ids.RackId
    address: settings.Address
    port: settings.Port
    resources: fleet.Resources
    slots: _Count = 8
    connections: _Count = 64
    running: _Count = 0
    leaving: bool = False
    epoch: Annotated[ids.Epoch, _COUNTER] = ids.Epoch(0)

    def __post_init__(self) -> None:
        """Raise ``ValueError`` for resources that no instance can have."""
        resources = self.resources
        for amount in (
            resources.cores,
            resources.memory_gb,
            resources.accelerators,
        ):
            if not 0 <= amount <= _MAX_AMOUNT:
                raise ValueError(f'resources must be from 0 to {_MAX_AMOUNT}')


class AnnouncementReply(msgspec.Struct, frozen=True):
    """Tells an instance which pool it serves, if any, and in which epoch."""

    pool: ids.PoolId | None
    epoch: ids.Epoch
    renew_after_s: float


class Presence(msgspec.Struct, frozen=True):
    """A target as observed by an entry.

    ``age_s`` is the time since the announcement.
    """

    announcement: Announcement
    age_s: float
    suspected: bool = False


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    """An announcement that only renews presence, encoded in about 30 bytes."""

    id: ids.InstanceId
    incarnation: ids.Incarnation
    age_s: float
    running: int


class PresenceReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changes of presence that an entry sends to peers and control.

    ``renewed`` is sent only to the data centre of the targets. ``unheard``
    lists suspected targets of other data centres that this entry does not
    hear either. ``digest`` covers everything that the sender reports about
    the targets of its data centre; a receiver whose own digest differs
    requests a ``complete`` report with ``wants_complete``.
    """

    entry: ids.EntryId
    incarnation: ids.Incarnation
    data_centre: ids.DataCentreId
    present: tuple[Presence, ...] = ()
    gone: tuple[ids.InstanceId, ...] = ()
    complete: bool = False
    has_lease: bool = True
    applied_index: ids.LogIndex = ids.LogIndex(0)
    renewed: tuple[Renewal, ...] = ()
    unheard: tuple[ids.InstanceId, ...] = ()
    digest: str = ''
    wants_complete: bool = False


class PresenceReply(msgspec.Struct, frozen=True):
    """Reply of control, which may request a complete report."""

    wants_complete: bool = False

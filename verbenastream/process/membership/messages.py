"""Messages of entry leases, the configuration feed and target presence."""

from __future__ import annotations

import msgspec

from verbenastream import ids
from verbenastream.process.reports import counters
from verbenastream.version.documents import schema
from verbenastream.version import fleet


class EntryRecord(msgspec.Struct, frozen=True):
    """A registered entry and its peer listener.

    ``live`` is false after its lease expired: it owns no slots, but still
    counts for the majority of the registered entries. One that is ``leaving``
    owns no slots either, and still finishes its work under its lease.
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
    ``totals`` are the entry's counts for the burn report and
    ``busy_by_service`` the instances that its running and waiting work
    would keep busy; both are sent only now and then.
    """

    entry: EntryRecord
    applied_index: ids.LogIndex
    view_digest: str
    leaving: bool = False
    totals: counters.EntryTotals | None = None
    busy_by_service: dict[ids.ServiceId, float] | None = None


class RenewReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """A lease and the changes after the request's applied index.

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
    """What a target tells an entry about itself, once per second."""

    id: ids.InstanceId
    incarnation: ids.Incarnation
    data_centre: ids.DataCentreId
    rack: ids.RackId
    address: str
    port: int
    resources: fleet.Resources
    slots: int = 8
    connections: int = 64
    running: int = 0
    leaving: bool = False
    epoch: ids.Epoch = ids.Epoch(0)


class AnnouncementReply(msgspec.Struct, frozen=True):
    """The pool and epoch that the instance serves; None for no pool."""

    pool: ids.PoolId | None
    epoch: ids.Epoch
    renew_after_s: float


class Presence(msgspec.Struct, frozen=True):
    """One target as seen by an entry; ``age_s`` since its announcement."""

    announcement: Announcement
    age_s: float
    suspected: bool = False


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    """A repeated announcement that changes nothing, in about 30 bytes."""

    id: ids.InstanceId
    incarnation: ids.Incarnation
    age_s: float
    running: int


class PresenceReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changes of presence that an entry sends to peers and control.

    ``renewed`` travels only to the data centre of the targets. ``unheard``
    confirms to another data centre that this entry does not hear suspected
    targets either. ``digest`` covers all that the sender says about the
    targets of its data centre; a receiver that holds something else asks
    with ``wants_complete`` for a ``complete`` report.
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
    """Reply of control; the entry sends a complete report if asked."""

    wants_complete: bool = False

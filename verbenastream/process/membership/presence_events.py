"""Input events and resulting actions of the presence table."""

from __future__ import annotations

import dataclasses

from verbenastream import ids
from verbenastream.process.membership import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Announced:
    """A target announced itself to this entry."""

    announcement: messages.Announcement


@dataclasses.dataclass(frozen=True, slots=True)
class ReportReceived:
    """A report from another entry arrived."""

    report: messages.PresenceReport


@dataclasses.dataclass(frozen=True, slots=True)
class DrainingInstancesChanged:
    """The set of draining instances changed.

    Control follows their running counts until they reach zero.
    """

    instances: frozenset[ids.InstanceId]


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteRequested:
    """Control asked for a complete report."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """The presence interval (0.25 s) has passed."""


PresenceEvent = (
    Announced
    | ReportReceived
    | DrainingInstancesChanged
    | CompleteRequested
    | Tick
)


@dataclasses.dataclass(frozen=True, slots=True)
class AllPeersAndControl:
    """All entries of the region and the control leader."""


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentre:
    """The other entries of one data centre."""

    id: ids.DataCentreId


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One other entry."""

    id: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class Control:
    """The control leader only."""


Recipient = AllPeersAndControl | DataCentre | Entry | Control


@dataclasses.dataclass(frozen=True, slots=True)
class SendReport:
    """Send the report; the next digest reveals a lost one.

    The caller fills in ``has_lease`` and ``applied_index``.
    """

    recipient: Recipient
    report: messages.PresenceReport


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementRefused:
    """The announcement is of an earlier incarnation than the known one."""

    instance: ids.InstanceId
    known_incarnation: ids.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class TargetsChanged:
    """The result of ``PresenceTable.targets`` has changed."""


PresenceAction = SendReport | AnnouncementRefused | TargetsChanged

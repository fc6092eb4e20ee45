"""Events and actions of the presence table."""

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
    """A report of another entry arrived."""

    report: messages.PresenceReport


@dataclasses.dataclass(frozen=True, slots=True)
class Watched:
    """The draining instances; control follows their running count."""

    instances: frozenset[ids.InstanceId]


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteRequested:
    """Control asked for a complete report."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent every presence interval (0.25 s)."""


PresenceEvent = Announced | ReportReceived | Watched | CompleteRequested | Tick


@dataclasses.dataclass(frozen=True, slots=True)
class Everyone:
    """All entries of the region and the control leader."""


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentre:
    """The other entries of one data centre."""

    id: ids.DataCentreId


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    id: ids.EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class Control:
    """The control leader only."""


Recipient = Everyone | DataCentre | Entry | Control


@dataclasses.dataclass(frozen=True, slots=True)
class SendReport:
    """Send the report; its loss is repaired by the next digest.

    The driver fills in ``has_lease`` and ``applied_index``.
    """

    to: Recipient
    report: messages.PresenceReport


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementRefused:
    """The announcement is of an earlier start; ``known`` is the latest."""

    instance: ids.InstanceId
    known: ids.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class TargetsChanged:
    """``PresenceTable.targets`` would return something else than before."""


PresenceAction = SendReport | AnnouncementRefused | TargetsChanged

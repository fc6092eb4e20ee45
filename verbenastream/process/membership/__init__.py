"""Presence of targets, entry leases and the replicated view of entries."""

from __future__ import annotations

from verbenastream.process.membership.messages import Announcement
from verbenastream.process.membership.messages import AnnouncementReply
from verbenastream.process.membership.messages import DocumentChanged
from verbenastream.process.membership.messages import EntriesChanged
from verbenastream.process.membership.messages import EntryRecord
from verbenastream.process.membership.messages import InstanceChanged
from verbenastream.process.membership.messages import InstanceRemoved
from verbenastream.process.membership.messages import Presence
from verbenastream.process.membership.messages import PresenceReply
from verbenastream.process.membership.messages import PresenceReport
from verbenastream.process.membership.messages import Renewal
from verbenastream.process.membership.messages import RenewReply
from verbenastream.process.membership.messages import RenewRequest
from verbenastream.process.membership.messages import ViewChange
from verbenastream.process.membership.presence import PresenceTable
from verbenastream.process.membership.presence import TargetPresence
from verbenastream.process.membership.view import EntryView

__all__ = [
    'Announcement',
    'AnnouncementReply',
    'DocumentChanged',
    'EntriesChanged',
    'EntryRecord',
    'EntryView',
    'InstanceChanged',
    'InstanceRemoved',
    'Presence',
    'PresenceReply',
    'PresenceReport',
    'PresenceTable',
    'RenewReply',
    'RenewRequest',
    'Renewal',
    'TargetPresence',
    'ViewChange',
]

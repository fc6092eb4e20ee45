"""Raft consensus between control replicas."""

from __future__ import annotations

from verbenastream.process.agreement.core import RaftCore
from verbenastream.process.agreement.errors import CommandTooLargeError
from verbenastream.process.agreement.errors import OutcomeUnknownError
from verbenastream.process.agreement.messages import Configuration
from verbenastream.process.agreement.messages import Entry
from verbenastream.process.agreement.messages import EntryKind
from verbenastream.process.agreement.messages import Member
from verbenastream.process.agreement.messages import Snapshot
from verbenastream.process.agreement.state import Limits
from verbenastream.process.agreement.state import Role
from verbenastream.process.agreement.state import StoredState
from verbenastream.process.agreement.state import Timings

__all__ = [
    'CommandTooLargeError',
    'Configuration',
    'Entry',
    'EntryKind',
    'Limits',
    'Member',
    'OutcomeUnknownError',
    'RaftCore',
    'Role',
    'Snapshot',
    'StoredState',
    'Timings',
]

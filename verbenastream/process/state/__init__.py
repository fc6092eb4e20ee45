"""Replicated state machine of the control processes."""

from __future__ import annotations

from verbenastream.process.state.commands import AnnounceInstances
from verbenastream.process.state.commands import ApplyClaims
from verbenastream.process.state.commands import ChangeInstances
from verbenastream.process.state.commands import ClaimsResult
from verbenastream.process.state.commands import Command
from verbenastream.process.state.commands import EntryRef
from verbenastream.process.state.commands import ExpireEntries
from verbenastream.process.state.commands import MergeTotals
from verbenastream.process.state.commands import RecordNotice
from verbenastream.process.state.commands import RegisterEntry
from verbenastream.process.state.commands import RemoveInstances
from verbenastream.process.state.commands import SubmitDocument
from verbenastream.process.state.commands import SubmitResult
from verbenastream.process.state.commands import TransitionsResult
from verbenastream.process.state.commands import TransitionVerdict
from verbenastream.process.state.commands import Verdict
from verbenastream.process.state.machine import ControlState

__all__ = [
    'AnnounceInstances',
    'ApplyClaims',
    'ChangeInstances',
    'ClaimsResult',
    'Command',
    'ControlState',
    'EntryRef',
    'ExpireEntries',
    'MergeTotals',
    'RecordNotice',
    'RegisterEntry',
    'RemoveInstances',
    'SubmitDocument',
    'SubmitResult',
    'TransitionVerdict',
    'TransitionsResult',
    'Verdict',
]

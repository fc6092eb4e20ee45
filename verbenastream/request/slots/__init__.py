"""Slot grants between entries."""

from __future__ import annotations

from verbenastream.request.slots.messages import Grants
from verbenastream.request.slots.messages import Report
from verbenastream.request.slots.messages import SlotMessage

__all__ = ['Grants', 'Report', 'SlotMessage']

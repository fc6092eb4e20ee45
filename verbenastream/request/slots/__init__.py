"""Distribution of the targets' slots over the entries.

One entry owns the slots of a pool and grants them to all entries, which
report to it what they hold, use and need.
"""

from __future__ import annotations

from verbenastream.request.slots.messages import Grants
from verbenastream.request.slots.messages import Report
from verbenastream.request.slots.messages import SlotMessage

__all__ = ['Grants', 'Report', 'SlotMessage']

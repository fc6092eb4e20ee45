"""Service-level burn report."""

from __future__ import annotations

from verbenastream.process.reports.burn import BurnCalculator
from verbenastream.process.reports.burn import Commitment
from verbenastream.process.reports.burn import commitments_of
from verbenastream.process.reports.collector import BurnCollector
from verbenastream.process.reports.counters import BadCount
from verbenastream.process.reports.counters import BurnCounters
from verbenastream.process.reports.counters import Cause
from verbenastream.process.reports.counters import EntryTotals
from verbenastream.process.reports.counters import ServiceTotals
from verbenastream.process.reports.history import BurnHistory
from verbenastream.process.reports.html import render_html
from verbenastream.process.reports.report import BurnReport
from verbenastream.process.reports.report import EventKind
from verbenastream.process.reports.report import FleetEvent
from verbenastream.process.reports.report import FleetFigures
from verbenastream.process.reports.text import render_json
from verbenastream.process.reports.text import render_text

__all__ = [
    'BadCount',
    'BurnCalculator',
    'BurnCollector',
    'BurnCounters',
    'BurnHistory',
    'BurnReport',
    'Cause',
    'Commitment',
    'EntryTotals',
    'EventKind',
    'FleetEvent',
    'FleetFigures',
    'ServiceTotals',
    'commitments_of',
    'render_html',
    'render_json',
    'render_text',
]

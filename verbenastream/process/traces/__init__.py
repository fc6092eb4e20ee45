"""Traces of requests and events: format, files, recorder, burn report."""

from __future__ import annotations

from verbenastream.process.traces.burn import TraceBurn
from verbenastream.process.traces.errors import TraceFileError
from verbenastream.process.traces.files import read
from verbenastream.process.traces.files import write
from verbenastream.process.traces.format import Announced
from verbenastream.process.traces.format import Arrival
from verbenastream.process.traces.format import Cancellation
from verbenastream.process.traces.format import Domain
from verbenastream.process.traces.format import Event
from verbenastream.process.traces.format import Failure
from verbenastream.process.traces.format import Header
from verbenastream.process.traces.format import InstanceChange
from verbenastream.process.traces.format import Line
from verbenastream.process.traces.format import Maintenance
from verbenastream.process.traces.format import Outcome
from verbenastream.process.traces.format import Submission
from verbenastream.process.traces.format import VERSION
from verbenastream.process.traces.recorder import TraceRecorder

__all__ = [
    'Announced',
    'Arrival',
    'Cancellation',
    'Domain',
    'Event',
    'Failure',
    'Header',
    'InstanceChange',
    'Line',
    'Maintenance',
    'Outcome',
    'Submission',
    'TraceBurn',
    'TraceFileError',
    'TraceRecorder',
    'VERSION',
    'read',
    'write',
]

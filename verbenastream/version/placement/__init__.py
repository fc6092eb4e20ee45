"""Placement of jobs on workers: leases, quotas, corrections and fencing."""

from __future__ import annotations

from verbenastream.version.placement.core import Counts
from verbenastream.version.placement.core import PlacementCore
from verbenastream.version.placement.jobs import Job
from verbenastream.version.placement.jobs import Lease
from verbenastream.version.placement.jobs import LeaseState
from verbenastream.version.placement.jobs import Outcome
from verbenastream.version.placement.jobs import Priority
from verbenastream.version.placement.jobs import Result
from verbenastream.version.placement.jobs import Usage
from verbenastream.version.placement.platform import Platform

__all__ = [
    'Counts',
    'Job',
    'Lease',
    'LeaseState',
    'Outcome',
    'PlacementCore',
    'Platform',
    'Priority',
    'Result',
    'Usage',
]

"""Schema, checks and differences of documents."""

from __future__ import annotations

from verbenastream.version.documents.schema import Customer
from verbenastream.version.documents.schema import Document
from verbenastream.version.documents.schema import DrainEscalation
from verbenastream.version.documents.schema import MaintenancePolicy
from verbenastream.version.documents.schema import MaintenanceWindow
from verbenastream.version.documents.schema import Operation
from verbenastream.version.documents.schema import RequestLimits
from verbenastream.version.documents.schema import Weekday
from verbenastream.version.documents.schema import WorkClass

__all__ = [
    'Customer',
    'Document',
    'DrainEscalation',
    'MaintenancePolicy',
    'MaintenanceWindow',
    'Operation',
    'RequestLimits',
    'Weekday',
    'WorkClass',
]

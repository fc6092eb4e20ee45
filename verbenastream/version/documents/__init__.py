"""Schema, checks and differences of service documents."""

from __future__ import annotations

from verbenastream.version.documents.checks import check_document
from verbenastream.version.documents.checks import MAX_DOCUMENT_BYTES
from verbenastream.version.documents.differences import compare_documents
from verbenastream.version.documents.differences import Difference
from verbenastream.version.documents.fleet_checks import check_against_fleet
from verbenastream.version.documents.fleet_checks import Findings
from verbenastream.version.documents.fleet_checks import FleetSummary
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
    'Difference',
    'Document',
    'DrainEscalation',
    'Findings',
    'FleetSummary',
    'MAX_DOCUMENT_BYTES',
    'MaintenancePolicy',
    'MaintenanceWindow',
    'Operation',
    'RequestLimits',
    'Weekday',
    'WorkClass',
    'check_against_fleet',
    'check_document',
    'compare_documents',
]

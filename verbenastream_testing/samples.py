"""Sample documents and fleets of the two deployments."""

from __future__ import annotations

import dataclasses
import hashlib
from typing import Any

import msgspec

from verbenastream.version import documents
from verbenastream.version import fleet

_SHORT = documents.WorkClass.SHORT
_LONG = documents.WorkClass.LONG


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Size and services of one deployment."""

    name: str
    region: str
    data_centres: tuple[str, ...]
    services: tuple[str, ...]
    spare: str
    customers: tuple[str, ...]
    resources: fleet.Resources
    between_data_centres_ms: float
    to_clients_ms: float
    weights: dict[str, float]
    workers_per_service: int = 6
    workers_per_rack: int = 4
    entries: int = 12
    short_operation: str = 'lookup'
    long_operation: str = 'recode'
    billed_operation: str = 'batch'


MEXICO = Fleet(
    name='codigos-claros',
    region='mexico',
    data_centres=('mx-1', 'mx-2', 'mx-3'),
    services=(
        'product-coding',
        'activity-coding',
        'occupation-coding',
        'tariff-coding',
        'accounts-support',
    ),
    spare='accounts-support',
    customers=('contadores-centro', 'aduanas-norte', 'estadistica-puebla'),
    resources=fleet.Resources(16, 64),
    between_data_centres_ms=1.5,
    to_clients_ms=1.0,
    weights={'short_wait': 4.0, 'buffer': 1.0, 'moves': 1.0},
)

GHANA = Fleet(
    name='soil-carbon-verifiers',
    region='ghana',
    data_centres=('gh-1', 'gh-2', 'gh-3'),
    services=(
        'plot-calculation',
        'cooperative-verification',
        'cocoa-belt-carbon',
        'seasonal-audit',
        'member-support',
    ),
    spare='member-support',
    customers=('field-auditors', 'member-firms', 'registry-desk'),
    resources=fleet.Resources(32, 64),
    between_data_centres_ms=0.5,
    to_clients_ms=3.0,
    weights={'short_wait': 1.0, 'buffer': 4.0, 'moves': 4.0},
    entries=11,
    short_operation='plot',
    long_operation='regional-recalculation',
    billed_operation='credit-issuance',
)


def caller_key(customer: str) -> str:
    """Return the bearer key of the simulated callers of a customer."""
    return f'sample-caller-key-of-{customer}'


def team_key(service: str) -> str:
    return f'sample-team-key-of-{service}'


def sha256(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def document(
    sample: Fleet,
    service: str,
    instances: int | None = None,
    **changes: Any,
) -> documents.Document:
    """Return the document of a service with the fields in ``changes``.

    By default it commits to one instance fewer than ``workers_per_service``,
    which leaves one worker of a full pool as headroom.
    """
    instance_count = instances or sample.workers_per_service - 1
    base = documents.Document(
        service=service,
        team=f'{service}-team',
        instances=instance_count,
        data_centres=sample.data_centres,
        operations={
            sample.short_operation: documents.Operation(
                _SHORT, idempotent=True, deadline_s=10.0
            ),
            sample.long_operation: documents.Operation(
                _LONG, idempotent=True, deadline_s=600.0
            ),
            sample.billed_operation: documents.Operation(
                _SHORT, idempotent=False, deadline_s=30.0
            ),
        },
        customers={
            customer: documents.Customer(sha256(caller_key(customer)))
            for customer in sample.customers
        },
        maintenance=documents.MaintenancePolicy(
            windows=(
                documents.MaintenanceWindow(
                    tuple(documents.Weekday), start_hour=0, hours=24
                ),
            ),
            escalation=documents.DrainEscalation.CHECKPOINT,
        ),
        spare=service == sample.spare,
    )
    return msgspec.structs.replace(base, **changes)

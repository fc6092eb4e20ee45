"""Checks a document against the instances that the fleet has."""

from __future__ import annotations

from collections.abc import Collection
import dataclasses
import math
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.version import fleet

if TYPE_CHECKING:
    from verbenastream.version.documents import schema


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSummary:
    """State of the fleet that a check depends on.

    ``data_centres`` are those in which an entry or instance has announced
    itself. ``is_stable`` is false while new instances still announce
    themselves; until then a missing instance may only be late.
    """

    instances: Collection[fleet.InstanceRecord]
    documents: Collection[schema.Document]
    data_centres: frozenset[ids.DataCentreId]
    is_stable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Findings:
    """Result of a check; only ``reasons`` reject the document."""

    reasons: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()


def required_instances(document: schema.Document) -> int:
    """Return the number of instances for a document with its headroom."""
    return math.ceil(round(document.instances * (1 + document.headroom), 6))


def check_against_fleet(
    document: schema.Document, summary: FleetSummary
) -> Findings:
    """Compare the demand of a document with the instances of the fleet.

    The document is rejected if it requires more instances than its data
    centres contain, lost ones included, because no move can then meet the
    demand. It is accepted with a warning if only losses or the demand of
    other services prevent this.
    """
    if not summary.instances:
        return Findings(
            warnings=(
                'no instance has announced itself yet; the service starts '
                'when instances do.',
            )
        )
    reasons: list[str] = []
    warnings: list[str] = []
    # While instances still announce themselves no finding is a rejection.
    findings = reasons if summary.is_stable else warnings
    _check_data_centres(document, summary, findings)
    _check_capacity(document, summary, findings, warnings)
    return Findings(tuple(reasons), tuple(warnings))


def _check_data_centres(
    document: schema.Document, summary: FleetSummary, findings: list[str]
) -> None:
    for name in document.data_centres:
        if ids.DataCentreId(name) not in summary.data_centres:
            known_names = ', '.join(sorted(summary.data_centres))
            findings.append(
                f'data centre {name} has no entry and no instance; use '
                f'{known_names}, or start an instance there first.'
            )


def _check_capacity(
    document: schema.Document,
    summary: FleetSummary,
    findings: list[str],
    warnings: list[str],
) -> None:
    candidates = [
        instance
        for instance in summary.instances
        if instance.data_centre in document.data_centres
    ]
    required = required_instances(document)
    if required > len(candidates):
        findings.append(
            f'{required} instances are needed ({document.instances} and '
            f'headroom {document.headroom:g}), but the named data centres '
            f'have {len(candidates)} in all; lower "instances" or "headroom", '
            'name more data centres, or add instances first.'
        )
        return
    not_lost = sum(
        instance.state is not fleet.InstanceState.LOST
        for instance in candidates
    )
    if required > not_lost:
        warnings.append(
            f'{required} instances are needed, {not_lost} of the named data '
            'centres are not lost; the rest follows when they return.'
        )
        return
    total = required + sum(
        required_instances(other)
        for other in summary.documents
        if other.service != document.service
    )
    if total > len(summary.instances):
        warnings.append(
            f'all documents together need {total} instances, the fleet has '
            f'{len(summary.instances)}; headroom is not kept everywhere.'
        )

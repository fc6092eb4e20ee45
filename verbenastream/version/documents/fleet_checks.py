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
class FleetFacts:
    """What a check needs to know of the fleet.

    ``data_centres`` are those where an entry or instance has announced
    itself. ``settled`` is false while new instances still announce
    themselves, when a missing instance may only be late.
    """

    instances: Collection[fleet.InstanceRecord]
    documents: Collection[schema.Document]
    data_centres: frozenset[ids.DataCentreId]
    settled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Findings:
    """``reasons`` reject the document, ``warnings`` do not."""

    reasons: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()


def needed(document: schema.Document) -> int:
    """Return the instances that a document asks for with its headroom."""
    return math.ceil(round(document.instances * (1 + document.headroom), 6))


def check_against_fleet(
    document: schema.Document, facts: FleetFacts
) -> Findings:
    """Compare what a document asks for with what the fleet holds.

    A demand above all instances of the named data centres, lost ones
    included, can never be met by moves and is a reason to reject. A demand
    that only other services or losses stand against is a warning.
    """
    if not facts.instances:
        return Findings(
            warnings=(
                'no instance has announced itself yet; the service starts '
                'when instances do.',
            )
        )
    final: list[str] = []
    passing: list[str] = []
    # While instances still announce themselves nothing is final.
    never = final if facts.settled else passing
    _check_data_centres(document, facts, never)
    _check_capacity(document, facts, never, passing)
    return Findings(tuple(final), tuple(passing))


def _check_data_centres(
    document: schema.Document, facts: FleetFacts, never: list[str]
) -> None:
    for name in document.data_centres:
        if ids.DataCentreId(name) not in facts.data_centres:
            known = ', '.join(sorted(facts.data_centres))
            never.append(
                f'data centre {name} has no entry and no instance; use '
                f'{known}, or start an instance there first.'
            )


def _check_capacity(
    document: schema.Document,
    facts: FleetFacts,
    never: list[str],
    passing: list[str],
) -> None:
    inside = [
        instance
        for instance in facts.instances
        if instance.data_centre in document.data_centres
    ]
    wanted = needed(document)
    if wanted > len(inside):
        never.append(
            f'{wanted} instances are needed ({document.instances} and '
            f'headroom {document.headroom:g}), but the named data centres '
            f'have {len(inside)} in all; lower "instances" or "headroom", '
            'name more data centres, or add instances first.'
        )
        return
    usable = sum(
        instance.state is not fleet.InstanceState.LOST for instance in inside
    )
    if wanted > usable:
        passing.append(
            f'{wanted} instances are needed, {usable} of the named data '
            'centres are not lost; the rest follows when they return.'
        )
        return
    total = wanted + sum(
        needed(other)
        for other in facts.documents
        if other.service != document.service
    )
    if total > len(facts.instances):
        passing.append(
            f'all documents together need {total} instances, the fleet has '
            f'{len(facts.instances)}; headroom is not kept everywhere.'
        )

"""Checks a document on its own, before it is submitted."""

from __future__ import annotations

import collections
from typing import Any

from verbenastream import errors
from verbenastream import validation
from verbenastream.version.documents import schema

MAX_DOCUMENT_BYTES = 2**20


def check_document(
    data: bytes, name: str, service: str | None = None
) -> schema.Document:
    """Return the document in ``data``.

    Raises ``errors.InvalidInputGroup`` with all problems at once: invalid
    values and values that contradict each other. With ``service``, the
    document must belong to that service. ``name`` names the input in errors.
    """
    value = validation.parse(data, name, MAX_DOCUMENT_BYTES)
    problems: list[errors.Problem] = []
    document = None
    try:
        document = validation.check(value, schema.Document, name)
    except errors.InvalidInputGroup as group:
        problems.extend(group.problems)
    if isinstance(value, dict):
        reported_paths = {problem.path for problem in problems}
        problems.extend(
            problem
            for problem in _find_contradictions(value, service)
            if problem.path not in reported_paths
        )
    if document is None or problems:
        raise errors.InvalidInputGroup.from_problems(name, problems)
    return document


def _find_contradictions(
    value: dict[str, Any], service: str | None
) -> list[errors.Problem]:
    """Return the problems that the types of the schema cannot express."""
    problems: list[errors.Problem] = []
    if service is not None and value.get('service') != service:
        problems.append(
            errors.Problem(
                '$.service',
                validation.format_value(value.get('service')),
                f'the document is submitted as service {service}',
                f'Write "{service}" or submit it under its own service.',
            )
        )
    _check_availability(value, problems)
    _check_data_centres(value, problems)
    _check_operations(value, problems)
    _check_customers(value, problems)
    _check_maintenance(value, problems)
    return problems


def _check_availability(
    value: dict[str, Any], problems: list[errors.Problem]
) -> None:
    if value.get('availability') == 1 and not isinstance(
        value['availability'], bool
    ):
        problems.append(
            errors.Problem(
                '$.availability',
                validation.format_value(value['availability']),
                'a commitment without any budget can never be met',
                'Write a share below 1, for example 0.999.',
            )
        )


def _check_data_centres(
    value: dict[str, Any], problems: list[errors.Problem]
) -> None:
    names = value.get('data_centres')
    if not isinstance(names, list):
        return
    if not names:
        problems.append(
            errors.Problem(
                '$.data_centres',
                '[]',
                'no data centre is named',
                'Name at least one data centre.',
            )
        )
    for position, name in enumerate(names):
        if name in names[:position]:
            problems.append(
                errors.Problem(
                    f'$.data_centres[{position}]',
                    validation.format_value(name),
                    'the data centre is named twice',
                    'Remove the repetition.',
                )
            )


def _check_operations(
    value: dict[str, Any], problems: list[errors.Problem]
) -> None:
    if value.get('operations') == {}:
        problems.append(
            errors.Problem(
                '$.operations',
                '{}',
                'the service has no operation, so every call is refused',
                'Add at least one operation.',
            )
        )


def _check_customers(
    value: dict[str, Any], problems: list[errors.Problem]
) -> None:
    customers = value.get('customers')
    if not isinstance(customers, dict):
        return
    names_by_key = collections.defaultdict(list)
    for name, customer in customers.items():
        if isinstance(customer, dict):
            key = customer.get('key_sha256')
            if isinstance(key, str):
                names_by_key[key].append(name)
    for key, names in names_by_key.items():
        for name in names[1:]:
            problems.append(
                errors.Problem(
                    f'$.customers.{name}.key_sha256',
                    validation.format_value(key),
                    f'customer {names[0]} has the same key',
                    'Give each customer a key of its own.',
                )
            )


def _check_maintenance(
    value: dict[str, Any], problems: list[errors.Problem]
) -> None:
    maintenance = value.get('maintenance')
    if not isinstance(maintenance, dict):
        return
    windows = maintenance.get('windows')
    if windows == []:
        problems.append(
            errors.Problem(
                '$.maintenance.windows',
                '[]',
                'no instance could ever be maintained',
                'Add at least one window.',
            )
        )
    if isinstance(windows, list):
        for position, window in enumerate(windows):
            if isinstance(window, dict) and window.get('days') == []:
                problems.append(
                    errors.Problem(
                        f'$.maintenance.windows[{position}].days',
                        '[]',
                        'the window has no day',
                        'Name at least one day, for example "sat".',
                    )
                )
    limit = maintenance.get('max_unavailable')
    instances = value.get('instances')
    if (
        isinstance(limit, int)
        and isinstance(instances, int)
        and instances > 1
        and limit >= instances
    ):
        problems.append(
            errors.Problem(
                '$.maintenance.max_unavailable',
                validation.format_value(limit),
                f'maintenance could take all {instances} instances at once',
                f'Write at most {instances - 1}.',
            )
        )

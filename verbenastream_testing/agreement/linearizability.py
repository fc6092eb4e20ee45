"""Checks a history of reads and writes of registers."""

from __future__ import annotations

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class Operation:
    """One call of a client; times in seconds.

    ``value`` is what was written, or what a read returned. A write whose
    outcome is unknown has an infinite ``returned``.
    """

    id: int
    key: str
    is_read: bool
    value: int
    invoked: float
    returned: float = math.inf


def find_violation(operations: list[Operation]) -> str | None:
    """Return the key whose history no sequential order explains.

    Registers are independent, so each is checked alone. Reads without an
    answer must not be in ``operations``.
    """
    operations_by_key: dict[str, list[Operation]] = {}
    for operation in operations:
        operations_by_key.setdefault(operation.key, []).append(operation)
    for key, found in operations_by_key.items():
        if not _is_linearizable(found):
            return key
    return None


def _is_linearizable(operations: list[Operation]) -> bool:
    """Search for an order by Wing and Gong with memory of visited states."""
    ordered = sorted(operations, key=lambda operation: operation.invoked)
    required = 0
    for position, operation in enumerate(ordered):
        if operation.returned < math.inf:
            required |= 1 << position
    visited: set[tuple[int, int]] = set()
    pending = [(0, 0)]
    while pending:
        done, value = pending.pop()
        if done & required == required:
            return True
        if (done, value) in visited:
            continue
        visited.add((done, value))
        pending.extend(_next_states(ordered, done, value))
    return False


def _next_states(
    ordered: list[Operation], done: int, value: int
) -> list[tuple[int, int]]:
    """States after each operation that may come next.

    It may come next if no other remaining operation returned before it was
    invoked.
    """
    found = []
    earliest_return = math.inf
    for position, operation in enumerate(ordered):
        if done >> position & 1:
            continue
        if operation.invoked > earliest_return:
            break
        earliest_return = min(earliest_return, operation.returned)
        after = done | 1 << position
        if not operation.is_read:
            found.append((after, operation.value))
        elif operation.value == value:
            # A read changes nothing, so taking it first loses no order.
            return [(after, value)]
    return found

"""Checks histories of register operations for linearizability."""

from __future__ import annotations

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class Operation:
    """One call of a client; times are in seconds.

    ``value`` is the written or the returned value. A write whose outcome is
    unknown has an infinite ``returned_at``.
    """

    id: int
    key: str
    is_read: bool
    value: int
    invoked_at: float
    returned_at: float = math.inf


def find_violation(operations: list[Operation]) -> str | None:
    """Return a key whose history is not linearizable, or None.

    Registers are independent, so each is checked separately. Reads without an
    answer must not be in ``operations``.
    """
    operations_by_key: dict[str, list[Operation]] = {}
    for operation in operations:
        operations_by_key.setdefault(operation.key, []).append(operation)
    for key, key_operations in operations_by_key.items():
        if not _is_linearizable(key_operations):
            return key
    return None


def _is_linearizable(operations: list[Operation]) -> bool:
    """Search for a valid order by Wing and Gong, caching visited states."""
    ordered = sorted(operations, key=lambda operation: operation.invoked_at)
    required_mask = 0
    for position, operation in enumerate(ordered):
        if operation.returned_at < math.inf:
            required_mask |= 1 << position
    visited: set[tuple[int, int]] = set()
    pending = [(0, 0)]
    while pending:
        done_mask, value = pending.pop()
        if done_mask & required_mask == required_mask:
            return True
        if (done_mask, value) in visited:
            continue
        visited.add((done_mask, value))
        pending.extend(_next_states(ordered, done_mask, value))
    return False


def _next_states(
    ordered: list[Operation], done_mask: int, value: int
) -> list[tuple[int, int]]:
    """Return the states after each operation that may come next.

    An operation may come next if no other remaining operation returned before
    it was invoked.
    """
    next_states = []
    earliest_return = math.inf
    for position, operation in enumerate(ordered):
        if done_mask >> position & 1:
            continue
        if operation.invoked_at > earliest_return:
            break
        earliest_return = min(earliest_return, operation.returned_at)
        next_mask = done_mask | 1 << position
        if not operation.is_read:
            next_states.append((next_mask, operation.value))
        elif operation.value == value:
            # A read changes nothing, so taking it first loses no order.
            return [(next_mask, value)]
    return next_states

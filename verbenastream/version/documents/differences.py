"""Structured differences between two documents."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec

from verbenastream import validation
from verbenastream.version.documents import schema


class Difference(msgspec.Struct, frozen=True):
    """One value that differs; ``old`` and ``new`` are JSON text or None.

    None stands for a key that is absent on that side.
    """

    path: str
    old: str | None
    new: str | None

    def __str__(self) -> str:
        if self.old is None:
            return f'+ {self.path}: {self.new}'
        if self.new is None:
            return f'- {self.path}: {self.old}'
        return f'~ {self.path}: {self.old} -> {self.new}'


def difference(
    old: schema.Document, new: schema.Document
) -> tuple[Difference, ...]:
    """Return what ``new`` changes in ``old``, sorted by JSON path."""
    found = _compare('$', msgspec.to_builtins(old), msgspec.to_builtins(new))
    return tuple(sorted(found, key=lambda item: item.path))


def _compare(path: str, old: Any, new: Any) -> Iterator[Difference]:
    if isinstance(old, dict) and isinstance(new, dict):
        for key in old.keys() | new.keys():
            child = f'{path}.{key}'
            if key not in new:
                yield Difference(child, validation.describe(old[key]), None)
            elif key not in old:
                yield Difference(child, None, validation.describe(new[key]))
            else:
                yield from _compare(child, old[key], new[key])
    elif old != new:
        yield Difference(
            path, validation.describe(old), validation.describe(new)
        )

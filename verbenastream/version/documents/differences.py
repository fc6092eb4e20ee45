"""Structured differences between two documents."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec

from verbenastream import validation
from verbenastream.version.documents import schema


class Difference(msgspec.Struct, frozen=True):
    """One value that differs between two documents.

    ``old`` and ``new`` are JSON text, or None if the key is absent on that
    side.
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


def compare_documents(
    old: schema.Document, new: schema.Document
) -> tuple[Difference, ...]:
    """Return the changes from ``old`` to ``new``, sorted by JSON path."""
    differences = _compare_values(
        '$', msgspec.to_builtins(old), msgspec.to_builtins(new)
    )
    return tuple(sorted(differences, key=lambda entry: entry.path))


def _compare_values(path: str, old: Any, new: Any) -> Iterator[Difference]:
    if isinstance(old, dict) and isinstance(new, dict):
        for key in old.keys() | new.keys():
            child = f'{path}.{key}'
            if key not in new:
                yield Difference(
                    child, validation.format_value(old[key]), None
                )
            elif key not in old:
                yield Difference(
                    child, None, validation.format_value(new[key])
                )
            else:
                yield from _compare_values(child, old[key], new[key])
    elif old != new:
        yield Difference(
            path, validation.format_value(old), validation.format_value(new)
        )

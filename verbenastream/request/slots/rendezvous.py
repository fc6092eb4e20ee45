"""Choice of the owner entry by rendezvous hashing."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from verbenastream import ids


def _score(entry: str, subject: str) -> bytes:
    data = f'{entry}\0{subject}'.encode()
    return hashlib.blake2b(data, digest_size=8).digest()


def owner(entries: Iterable[ids.EntryId], subject: str) -> ids.EntryId | None:
    """Return the entry that owns ``subject``, or None if there is no entry.

    All entries that see the same set choose the same owner. When the set
    changes, only the subjects of added or removed entries change owner.
    """
    return max(
        entries,
        key=lambda entry: (_score(entry, subject), entry),
        default=None,
    )

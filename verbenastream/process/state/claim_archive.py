"""Finished claims in 36 bytes each, without their answers.

A Python object for each claim takes about 1.3 KB, so that 100,000 of them
would use all the memory of a control process. The archive keeps what a repeat
needs: the digest, the state and the status.
"""

from __future__ import annotations

import hashlib
import struct
from typing import NamedTuple

import msgspec

_SLOT = struct.Struct('<16s16sHBx')
_KEY_BYTES = 16
_FIRST_SLOTS = 1_024
# Open addressing needs few probes below this share of used slots.
_MAX_LOAD = 0.75


class Archived(NamedTuple):
    """``digest`` is that of ``short_digest``; ``state`` is above 0."""

    digest: bytes
    status: int
    state: int


class Period(msgspec.Struct):
    """Claims archived from ``started_at`` on; ``slots`` is the table."""

    started_at: float
    count: int = 0
    slots: bytes = b''


def short_digest(*parts: str) -> bytes:
    """Return 16 bytes that stand for ``parts``.

    A collision would refuse or repeat one request in 2**64 pairs.
    """
    hashed = hashlib.blake2b(digest_size=_KEY_BYTES)
    for part in parts:
        encoded = part.encode()
        hashed.update(len(encoded).to_bytes(4, 'little'))
        hashed.update(encoded)
    return hashed.digest()


class _Table:
    """Hash table with open addressing in one block of memory."""

    def __init__(self, count: int = 0, slots: bytes = b'') -> None:
        self.count = count
        self.slots = bytearray(slots or bytes(_FIRST_SLOTS * _SLOT.size))
        self._mask = len(self.slots) // _SLOT.size - 1

    def find(self, key: bytes) -> Archived | None:
        position = self._position(key)
        found, digest, status, state = _SLOT.unpack_from(self.slots, position)
        return Archived(digest, status, state) if state else None

    def put(self, key: bytes, value: Archived) -> None:
        """Add a key that the table does not have."""
        if self.count + 1 > (self._mask + 1) * _MAX_LOAD:
            self._grow()
        self._write(key, value)
        self.count += 1

    def _write(self, key: bytes, value: Archived) -> None:
        _SLOT.pack_into(
            self.slots,
            self._position(key),
            key,
            value.digest,
            value.status,
            value.state,
        )

    def _position(self, key: bytes) -> int:
        """Return the place of the key, or the free place for it."""
        number = int.from_bytes(key[:8], 'little') & self._mask
        slots = self.slots
        while True:
            position = number * _SLOT.size
            # The state is the last byte but one; 0 marks a free slot.
            if (
                slots[position + _SLOT.size - 2] == 0
                or slots[position : position + _KEY_BYTES] == key
            ):
                return position
            number = (number + 1) & self._mask

    def _grow(self) -> None:
        before = self.slots
        self.slots = bytearray(2 * len(before))
        self._mask = len(self.slots) // _SLOT.size - 1
        for key, digest, status, state in _SLOT.iter_unpack(before):
            if state:
                self._write(key, Archived(digest, status, state))


class ClaimArchive:
    """Tables by period, so that whole periods are dropped at once."""

    def __init__(self, period_s: float, retention_s: float) -> None:
        self._period_s = period_s
        self._retention_s = retention_s
        self._tables: list[tuple[float, _Table]] = []

    @property
    def count(self) -> int:
        return sum(table.count for _, table in self._tables)

    @property
    def memory_bytes(self) -> int:
        return sum(len(table.slots) for _, table in self._tables)

    def find(self, key: bytes) -> Archived | None:
        for _, table in reversed(self._tables):
            found = table.find(key)
            if found is not None:
                return found
        return None

    def put(self, key: bytes, value: Archived, now: float) -> None:
        """Add a claim that is not archived yet."""
        if not self._tables or now - self._tables[-1][0] >= self._period_s:
            self._tables.append((now, _Table()))
        self._tables[-1][1].put(key, value)

    def expire(self, now: float) -> None:
        """Drop periods whose last claim has passed its retention."""
        limit_s = self._period_s + self._retention_s
        self._tables = [
            (started_at, table)
            for started_at, table in self._tables
            if now - started_at < limit_s
        ]

    def image(self) -> tuple[Period, ...]:
        return tuple(
            Period(started_at, table.count, bytes(table.slots))
            for started_at, table in self._tables
        )

    def restore(self, periods: tuple[Period, ...]) -> None:
        self._tables = [
            (period.started_at, _Table(period.count, period.slots))
            for period in periods
        ]

"""Compact archive of finished claims: 36 bytes each, without answers.

A Python object takes about 1.3 KB per claim, so that 100,000 of them would
use all the memory of a control process. The archive keeps what the reply to a
repeated request needs: the digest, the state and the status.
"""

from __future__ import annotations

import hashlib
import struct
from typing import NamedTuple

import msgspec

_SLOT = struct.Struct('<16s16sHBx')
_KEY_BYTES = 16
_INITIAL_SLOTS = 1_024
# Open addressing needs few probes up to this share of used slots.
_MAX_LOAD_FACTOR = 0.75


class ArchivedClaim(NamedTuple):
    """A finished claim as the archive stores it.

    ``digest`` is a ``short_digest``; ``state`` is greater than 0.
    """

    digest: bytes
    status: int
    state: int


class ArchivePeriod(msgspec.Struct):
    """Snapshot of the claims that were archived during one period.

    The period begins at ``started_at``; ``slots`` is the hash table.
    """

    started_at: float
    count: int = 0
    slots: bytes = b''


def short_digest(*parts: str) -> bytes:
    """Return a 16-byte digest of ``parts``.

    A collision would refuse or repeat one request in 2**64 pairs.
    """
    hashed = hashlib.blake2b(digest_size=_KEY_BYTES)
    for part in parts:
        encoded = part.encode()
        hashed.update(len(encoded).to_bytes(4, 'little'))
        hashed.update(encoded)
    return hashed.digest()


class _ClaimHashTable:
    """Hash table with open addressing in a single bytearray."""

    def __init__(self, count: int = 0, slots: bytes = b'') -> None:
        self.count = count
        self.slots = bytearray(slots or bytes(_INITIAL_SLOTS * _SLOT.size))
        self._mask = len(self.slots) // _SLOT.size - 1

    def find(self, key: bytes) -> ArchivedClaim | None:
        offset = self._slot_offset(key)
        _, digest, status, state = _SLOT.unpack_from(self.slots, offset)
        return ArchivedClaim(digest, status, state) if state else None

    def put(self, key: bytes, value: ArchivedClaim) -> None:
        """Add a key, which must not be in the table yet."""
        if self.count + 1 > (self._mask + 1) * _MAX_LOAD_FACTOR:
            self._grow()
        self._write(key, value)
        self.count += 1

    def _write(self, key: bytes, value: ArchivedClaim) -> None:
        _SLOT.pack_into(
            self.slots,
            self._slot_offset(key),
            key,
            value.digest,
            value.status,
            value.state,
        )

    def _slot_offset(self, key: bytes) -> int:
        """Return the byte offset of the slot of the key, or of a free slot."""
        slot = int.from_bytes(key[:8], 'little') & self._mask
        slots = self.slots
        while True:
            offset = slot * _SLOT.size
            # The state is the second to last byte; 0 marks a free slot.
            if (
                slots[offset + _SLOT.size - 2] == 0
                or slots[offset : offset + _KEY_BYTES] == key
            ):
                return offset
            slot = (slot + 1) & self._mask

    def _grow(self) -> None:
        old_slots = self.slots
        self.slots = bytearray(2 * len(old_slots))
        self._mask = len(self.slots) // _SLOT.size - 1
        for key, digest, status, state in _SLOT.iter_unpack(old_slots):
            if state:
                self._write(key, ArchivedClaim(digest, status, state))


class ClaimArchive:
    """Archived claims, in one hash table per period.

    Expired claims are dropped by whole periods.
    """

    def __init__(self, period_s: float, retention_s: float) -> None:
        self._period_s = period_s
        self._retention_s = retention_s
        self._tables: list[tuple[float, _ClaimHashTable]] = []

    @property
    def count(self) -> int:
        return sum(table.count for _, table in self._tables)

    @property
    def memory_bytes(self) -> int:
        return sum(len(table.slots) for _, table in self._tables)

    def find(self, key: bytes) -> ArchivedClaim | None:
        for _, table in reversed(self._tables):
            claim = table.find(key)
            if claim is not None:
                return claim
        return None

    def put(self, key: bytes, value: ArchivedClaim, now: float) -> None:
        """Add a claim, which must not be archived yet."""
        if not self._tables or now - self._tables[-1][0] >= self._period_s:
            self._tables.append((now, _ClaimHashTable()))
        self._tables[-1][1].put(key, value)

    def expire(self, now: float) -> None:
        """Drop the periods in which the retention of every claim has ended."""
        max_age_s = self._period_s + self._retention_s
        self._tables = [
            (started_at, table)
            for started_at, table in self._tables
            if now - started_at < max_age_s
        ]

    def snapshot(self) -> tuple[ArchivePeriod, ...]:
        return tuple(
            ArchivePeriod(started_at, table.count, bytes(table.slots))
            for started_at, table in self._tables
        )

    def restore(self, periods: tuple[ArchivePeriod, ...]) -> None:
        self._tables = [
            (period.started_at, _ClaimHashTable(period.count, period.slots))
            for period in periods
        ]

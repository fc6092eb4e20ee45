"""Invariants that are checked after each step of a fault schedule."""

from __future__ import annotations

import hashlib

import msgspec

from verbenastream import ids
from verbenastream.process.agreement import messages


class ViolationError(Exception):
    """An invariant is violated; the message says which one and where."""


class Registers:
    """State machine of named integers with a digest of all applied entries."""

    def __init__(self) -> None:
        self.values_by_key: dict[str, int] = {}
        self.digest = b''

    def apply(self, entry: messages.Entry) -> None:
        checksum = hashlib.blake2b(self.digest, digest_size=8)
        checksum.update(b'%d %d ' % (entry.index, entry.term))
        checksum.update(entry.payload)
        self.digest = checksum.digest()
        if entry.kind is messages.EntryKind.COMMAND:
            _, key, value = decode_write(entry.payload)
            self.values_by_key[key] = value

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode((self.digest, self.values_by_key))

    def restore(self, data: bytes) -> None:
        self.digest, self.values_by_key = msgspec.msgpack.decode(
            data, type=tuple[bytes, dict[str, int]]
        )


def encode_write(id: int, key: str, value: int) -> bytes:
    return msgspec.msgpack.encode((id, key, value))


def decode_write(payload: bytes) -> tuple[int, str, int]:
    return msgspec.msgpack.decode(payload, type=tuple[int, str, int])


class InvariantChecker:
    """Checks each step of every replica against all earlier steps."""

    def __init__(self) -> None:
        self._leaders_by_term: dict[ids.Term, ids.ReplicaId] = {}
        self._digests_by_index: dict[int, bytes] = {0: b''}
        self._applied_index_by_command: dict[int, int] = {}
        self._index_by_acknowledged_command: dict[int, int] = {}
        self.highest_applied = 0

    def check_election(self, term: ids.Term, replica: ids.ReplicaId) -> None:
        """Check that a term has at most one leader."""
        first = self._leaders_by_term.setdefault(term, replica)
        if first != replica:
            raise ViolationError(
                f'term {term} has two leaders, {first} and {replica}'
            )

    def check_applied(
        self, replica: str, before: int, entry: messages.Entry, digest: bytes
    ) -> None:
        """Check that all replicas apply the same entries without a gap."""
        if entry.index != before + 1:
            raise ViolationError(
                f'{replica} applies index {entry.index} after index {before}'
            )
        self._check_digest(replica, entry.index, digest)
        if entry.kind is messages.EntryKind.COMMAND:
            command, _, _ = decode_write(entry.payload)
            first = self._applied_index_by_command.setdefault(
                command, entry.index
            )
            if first != entry.index:
                raise ViolationError(
                    f'command {command} is applied at index {first} and'
                    f' {entry.index}'
                )

    def check_restored(
        self, replica: str, before: int, index: int, digest: bytes
    ) -> None:
        """Check a restored snapshot.

        It equals the state that the log produces at ``index`` and is not
        older than the state of the replica.
        """
        if index < before:
            raise ViolationError(
                f'{replica} goes back from index {before} to {index}'
            )
        if index not in self._digests_by_index:
            raise ViolationError(f'{replica} restores unknown index {index}')
        self._check_digest(replica, index, digest)

    def _check_digest(self, replica: str, index: int, digest: bytes) -> None:
        known = self._digests_by_index.setdefault(index, digest)
        if known != digest:
            raise ViolationError(
                f'{replica} has a different history up to index {index}'
            )
        self.highest_applied = max(self.highest_applied, index)

    def record_acknowledgement(self, command: int, index: int) -> None:
        """Record that a client was told that its command is committed."""
        self._index_by_acknowledged_command[command] = index

    def check_final_history(self, index: int, digest: bytes) -> None:
        """Check that the final log holds every acknowledged command."""
        if index < self.highest_applied:
            raise ViolationError(
                f'the log ends at index {index}, but index'
                f' {self.highest_applied} was applied'
            )
        self._check_digest('the last leader', index, digest)
        for command, position in self._index_by_acknowledged_command.items():
            if self._applied_index_by_command.get(command) != position:
                raise ViolationError(
                    f'acknowledged command {command} is not at index'
                    f' {position}'
                )

"""Invariants that are checked after each step of a fault schedule."""

from __future__ import annotations

import hashlib

import msgspec

from verbenastream import ids
from verbenastream.process.agreement import messages


class ViolationError(Exception):
    """An invariant does not hold; the text names which and where."""


class Registers:
    """State machine of named integers with a digest of its whole history."""

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


class Checks:
    """Knows what any replica ever did and compares each new step with it."""

    def __init__(self) -> None:
        self._leaders_by_term: dict[ids.Term, ids.ReplicaId] = {}
        self._digests_by_index: dict[int, bytes] = {0: b''}
        self._index_by_command: dict[int, int] = {}
        self._index_by_acknowledged: dict[int, int] = {}
        self.committed = 0

    def elected(self, term: ids.Term, replica: ids.ReplicaId) -> None:
        """At most one leader in each term."""
        first = self._leaders_by_term.setdefault(term, replica)
        if first != replica:
            raise ViolationError(
                f'term {term} has two leaders, {first} and {replica}'
            )

    def applied(
        self, replica: str, before: int, entry: messages.Entry, digest: bytes
    ) -> None:
        """All replicas apply the same entries, in order, without a gap."""
        if entry.index != before + 1:
            raise ViolationError(
                f'{replica} applies {entry.index} after {before}'
            )
        self._compare(replica, entry.index, digest)
        if entry.kind is messages.EntryKind.COMMAND:
            command, _, _ = decode_write(entry.payload)
            first = self._index_by_command.setdefault(command, entry.index)
            if first != entry.index:
                raise ViolationError(
                    f'command {command} is applied at {first} and'
                    f' {entry.index}'
                )

    def restored(
        self, replica: str, before: int, index: int, digest: bytes
    ) -> None:
        """A snapshot is the state that the log gives, and never older."""
        if index < before:
            raise ViolationError(f'{replica} goes from {before} to {index}')
        if index not in self._digests_by_index:
            raise ViolationError(f'{replica} restores unknown index {index}')
        self._compare(replica, index, digest)

    def _compare(self, replica: str, index: int, digest: bytes) -> None:
        known = self._digests_by_index.setdefault(index, digest)
        if known != digest:
            raise ViolationError(
                f'{replica} has another history up to index {index}'
            )
        self.committed = max(self.committed, index)

    def acknowledged(self, command: int, index: int) -> None:
        """A client was told that its command is in the log."""
        self._index_by_acknowledged[command] = index

    def finished(self, index: int, digest: bytes) -> None:
        """The surviving history contains all that was ever acknowledged."""
        if index < self.committed:
            raise ViolationError(
                f'the log ends at {index}, but {self.committed} was applied'
            )
        self._compare('the last leader', index, digest)
        for command, position in self._index_by_acknowledged.items():
            if self._index_by_command.get(command) != position:
                raise ViolationError(
                    f'acknowledged command {command} is not at {position}'
                )

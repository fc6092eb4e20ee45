"""Small files that are replaced as a whole: identity and snapshot."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import google_crc32c
import msgspec

from verbenastream import ids
from verbenastream.process.agreement import messages
from verbenastream.process.storage import errors

if TYPE_CHECKING:
    from verbenastream.process.storage import disk as disks

IDENTITY_NAME = 'identity'
SNAPSHOT_NAME = 'snapshot'
TEMPORARY_SUFFIX = '.tmp'

_MAGIC = b'\x89VSF'
# Magic, CRC32C of the payload, payload length.
_HEADER = struct.Struct('<4sIQ')


class Identity(msgspec.Struct, frozen=True):
    """``id`` is drawn once for each data folder; ``name`` is the setting."""

    id: ids.ReplicaId
    name: str


def replace(disk: disks.Disk, name: str, payload: bytes) -> None:
    """Replace file ``name``; a crash leaves the old or the new content."""
    temporary = name + TEMPORARY_SUFFIX
    if temporary in disk.names():
        disk.remove(temporary)
    header = _HEADER.pack(_MAGIC, google_crc32c.value(payload), len(payload))
    disk.append(temporary, header + payload)
    disk.sync(temporary)
    disk.rename(temporary, name)
    disk.sync_folder()


def read(disk: disks.Disk, name: str) -> bytes:
    """Return the payload of file ``name``.

    Raises ``DamagedFileError`` if it is not as it was written.
    """
    data = disk.read(name)
    if len(data) < _HEADER.size:
        raise errors.DamagedFileError(name, len(data), 'incomplete header')
    magic, checksum, length = _HEADER.unpack_from(data)
    payload = data[_HEADER.size :]
    if magic != _MAGIC:
        raise errors.DamagedFileError(name, 0, 'unknown format')
    if len(payload) != length or google_crc32c.value(payload) != checksum:
        raise errors.DamagedFileError(
            name, _HEADER.size, 'the checksum does not match'
        )
    return payload


def write_snapshot(disk: disks.Disk, snapshot: messages.Snapshot) -> None:
    """Replace the stored snapshot; it is durable on return."""
    replace(disk, SNAPSHOT_NAME, msgspec.msgpack.encode(snapshot))


def read_snapshot(disk: disks.Disk) -> messages.Snapshot | None:
    """Return the stored snapshot, None if there is none.

    Raises ``DamagedFileError``.
    """
    if SNAPSHOT_NAME not in disk.names():
        return None
    return msgspec.msgpack.decode(
        read(disk, SNAPSHOT_NAME), type=messages.Snapshot
    )


def read_identity(
    disk: disks.Disk, name: str, new_id: ids.ReplicaId
) -> ids.ReplicaId:
    """Return the identity of the folder; an empty one becomes ``new_id``.

    Raises ``WrongFolderError`` if another replica wrote the folder and
    ``DamagedFileError`` if there are files without an identity.
    """
    names = disk.names()
    if IDENTITY_NAME in names:
        identity = msgspec.json.decode(
            read(disk, IDENTITY_NAME), type=Identity
        )
        if identity.name != name:
            raise errors.WrongFolderError(identity.name, name)
        return identity.id
    if any(not found.endswith(TEMPORARY_SUFFIX) for found in names):
        raise errors.DamagedFileError(IDENTITY_NAME, 0, 'missing')
    replace(disk, IDENTITY_NAME, msgspec.json.encode(Identity(new_id, name)))
    return new_id

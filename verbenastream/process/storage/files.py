"""Files that are replaced atomically: identity and snapshot."""

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
    """Owner of a data folder.

    ``id`` is random and created once per folder; ``name`` is the replica's
    name in the settings.
    """

    id: ids.ReplicaId
    name: str


def replace_file(disk: disks.Disk, name: str, payload: bytes) -> None:
    """Replace file ``name`` atomically: a crash leaves old or new content."""
    temporary = name + TEMPORARY_SUFFIX
    if temporary in disk.names():
        disk.remove(temporary)
    header = _HEADER.pack(_MAGIC, google_crc32c.value(payload), len(payload))
    disk.append(temporary, header + payload)
    disk.sync(temporary)
    disk.rename(temporary, name)
    disk.sync_folder()


def read_file(disk: disks.Disk, name: str) -> bytes:
    """Return the payload of file ``name``.

    Raises ``DamagedFileError`` if the content is not what was written.
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
    replace_file(disk, SNAPSHOT_NAME, msgspec.msgpack.encode(snapshot))


def read_snapshot(disk: disks.Disk) -> messages.Snapshot | None:
    """Return the stored snapshot, None if there is none.

    Raises ``DamagedFileError``.
    """
    if SNAPSHOT_NAME not in disk.names():
        return None
    return msgspec.msgpack.decode(
        read_file(disk, SNAPSHOT_NAME), type=messages.Snapshot
    )


def load_or_create_identity(
    disk: disks.Disk, name: str, new_id: ids.ReplicaId
) -> ids.ReplicaId:
    """Return the identity of the folder; an empty folder gets ``new_id``.

    Raises ``WrongFolderError`` if the folder belongs to another replica and
    ``DamagedFileError`` if there are files without an identity.
    """
    names = disk.names()
    if IDENTITY_NAME in names:
        identity = msgspec.json.decode(
            read_file(disk, IDENTITY_NAME), type=Identity
        )
        if identity.name != name:
            raise errors.WrongFolderError(identity.name, name)
        return identity.id
    if any(not file.endswith(TEMPORARY_SUFFIX) for file in names):
        raise errors.DamagedFileError(IDENTITY_NAME, 0, 'missing')
    replace_file(
        disk, IDENTITY_NAME, msgspec.json.encode(Identity(new_id, name))
    )
    return new_id

"""Frames of a log segment: what one fsync makes durable, with a checksum.

A frame holds all records of one group commit. A crash can tear only the last
frame, because each one is fsynced before the next is written. An invalid
frame with a valid one after it is therefore damage and not a torn write.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import struct

import google_crc32c
import msgspec

from verbenastream import ids
from verbenastream.process.agreement import messages

_MAGIC = b'\x89VLF'
# Magic, CRC32C of the rest, frame number, payload length.
_HEADER = struct.Struct('<4sIQI')
_CHECKED = struct.Struct('<QI')


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One write of a replica: term and vote, then changes of the log.

    ``base`` drops the whole log in favour of a snapshot that ends there.
    ``truncate_after`` drops the entries after it.
    """

    term: ids.Term
    voted_for: ids.ReplicaId | None
    base: tuple[ids.LogIndex, ids.Term] | None = None
    truncate_after: ids.LogIndex | None = None
    entries: tuple[messages.Entry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """Records that were written together; ``end`` is the offset after them."""

    number: int
    records: tuple[Record, ...]
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """No frame at ``offset``; ``valid_after`` if one follows later."""

    offset: int
    reason: str
    valid_after: bool


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[Record, ...])


def encode(number: int, records: list[Record]) -> bytes:
    """Return a frame: header, checksum and records."""
    payload = _ENCODER.encode(records)
    checked = _CHECKED.pack(number, len(payload))
    checksum = google_crc32c.value(checked + payload)
    return _HEADER.pack(_MAGIC, checksum, number, len(payload)) + payload


def scan(data: bytes) -> Iterator[Frame | Invalid]:
    """Yield the frames of a segment, at last ``Invalid`` if one is broken."""
    offset = 0
    while offset < len(data):
        found = _read(data, offset)
        if isinstance(found, str):
            yield Invalid(offset, found, _valid_after(data, offset + 1))
            return
        yield found
        offset = found.end


def _read(data: bytes, offset: int) -> Frame | str:
    if len(data) - offset < _HEADER.size:
        return 'incomplete header'
    magic, checksum, number, length = _HEADER.unpack_from(data, offset)
    if magic != _MAGIC:
        return 'no frame starts here'
    end = offset + _HEADER.size + length
    if end > len(data):
        return 'incomplete frame'
    payload = data[offset + _HEADER.size : end]
    if (
        google_crc32c.value(_CHECKED.pack(number, length) + payload)
        != checksum
    ):
        return 'the checksum does not match'
    try:
        return Frame(number, _DECODER.decode(payload), end)
    except msgspec.DecodeError as error:
        return f'unknown records ({error})'


def _valid_after(data: bytes, offset: int) -> bool:
    while (offset := data.find(_MAGIC, offset)) >= 0:
        if isinstance(_read(data, offset), Frame):
            return True
        offset += 1
    return False

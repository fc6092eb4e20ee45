"""Frames of a log segment, each with a checksum.

A frame holds all records of one group commit, which one fsync makes durable.
Each frame is fsynced before the next is written, so that only the last one can
be torn by a crash. An invalid frame before a valid one is therefore damage and
not a torn write.
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
# Magic, CRC32C of all that follows, frame number, payload length.
_HEADER = struct.Struct('<4sIQI')
_CHECKSUMMED_FIELDS = struct.Struct('<QI')


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """One write of a replica: term, vote and changes of the log.

    ``base`` is the last index and term of a snapshot that replaces the whole
    log. Entries after ``truncate_after`` are dropped before ``entries`` are
    appended.
    """

    term: ids.Term
    voted_for: ids.ReplicaId | None
    base: tuple[ids.LogIndex, ids.Term] | None = None
    truncate_after: ids.LogIndex | None = None
    entries: tuple[messages.Entry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """Records that were written together; the frame ends before ``end``."""

    number: int
    records: tuple[LogRecord, ...]
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidFrame:
    """Bytes at ``offset`` that are not a valid frame.

    ``valid_frame_follows`` tells whether there is a valid frame after them.
    """

    offset: int
    reason: str
    valid_frame_follows: bool


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[LogRecord, ...])


def encode(number: int, records: list[LogRecord]) -> bytes:
    """Return the bytes of a frame."""
    payload = _ENCODER.encode(records)
    checksummed_fields = _CHECKSUMMED_FIELDS.pack(number, len(payload))
    checksum = google_crc32c.value(checksummed_fields + payload)
    return _HEADER.pack(_MAGIC, checksum, number, len(payload)) + payload


def scan(data: bytes) -> Iterator[Frame | InvalidFrame]:
    """Yield the frames of a segment up to the first ``InvalidFrame``."""
    offset = 0
    while offset < len(data):
        frame = _read_frame(data, offset)
        if isinstance(frame, str):
            yield InvalidFrame(
                offset, frame, _has_valid_frame(data, offset + 1)
            )
            return
        yield frame
        offset = frame.end


def _read_frame(data: bytes, offset: int) -> Frame | str:
    """Return the frame at ``offset``, or why there is none."""
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
        google_crc32c.value(_CHECKSUMMED_FIELDS.pack(number, length) + payload)
        != checksum
    ):
        return 'the checksum does not match'
    try:
        return Frame(number, _DECODER.decode(payload), end)
    except msgspec.DecodeError as error:
        return f'unknown records ({error})'


def _has_valid_frame(data: bytes, offset: int) -> bool:
    while (offset := data.find(_MAGIC, offset)) >= 0:
        if isinstance(_read_frame(data, offset), Frame):
            return True
        offset += 1
    return False

"""Rebuilds the log from the segments of a data folder."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.storage import errors
from verbenastream.process.storage import frames

if TYPE_CHECKING:
    from verbenastream.process.agreement import messages
    from verbenastream.process.storage import disk as disks

SEGMENT_PREFIX = 'segment-'


@dataclasses.dataclass(slots=True)
class Segment:
    """A segment file; ``last_index`` is the highest index written to it."""

    name: str
    size: int = 0
    last_index: ids.LogIndex = ids.LogIndex(0)


@dataclasses.dataclass(slots=True)
class RecoveredLog:
    """The log as stored in the segments, without regard to the snapshot.

    ``torn_bytes`` counts the bytes of a torn write at the end.
    ``last_valid_data`` is the content of the last segment without them.
    """

    term: ids.Term = ids.Term(0)
    voted_for: ids.ReplicaId | None = None
    entries: list[messages.Entry] = dataclasses.field(default_factory=list)
    segments: list[Segment] = dataclasses.field(default_factory=list)
    last_frame: int = 0
    torn_bytes: int = 0
    last_valid_data: bytes = b''


def segment_name(number: int) -> str:
    """Return the file name of a segment of the log."""
    return f'{SEGMENT_PREFIX}{number:016d}'


def segment_names(disk: disks.Disk) -> list[str]:
    """Return the names of the segment files, in the order of the log."""
    return [
        name
        for name in disk.names()
        if name.startswith(SEGMENT_PREFIX)
        and name.removeprefix(SEGMENT_PREFIX).isdecimal()
    ]


def recover(disk: disks.Disk) -> RecoveredLog:
    """Return the log that is stored on ``disk``.

    Raises ``DamagedFileError`` for damage that a crash cannot cause.
    """
    log = RecoveredLog()
    names = segment_names(disk)
    for position, name in enumerate(names):
        _read_segment(disk, name, log, is_last=position == len(names) - 1)
    return log


def _read_segment(
    disk: disks.Disk, name: str, log: RecoveredLog, is_last: bool
) -> None:
    data = disk.read(name)
    segment = Segment(name)
    log.segments.append(segment)
    for frame in frames.scan(data):
        if isinstance(frame, frames.InvalidFrame):
            if not is_last or frame.valid_frame_follows:
                raise errors.DamagedFileError(name, frame.offset, frame.reason)
            log.torn_bytes = len(data) - frame.offset
            break
        if log.last_frame and frame.number != log.last_frame + 1:
            raise errors.DamagedFileError(
                name,
                segment.size,
                f'frame {frame.number} follows frame {log.last_frame}',
            )
        log.last_frame = frame.number
        for record in frame.records:
            _apply_record(record, name, segment, log)
        segment.size = frame.end
    log.last_valid_data = data[: segment.size]


def _apply_record(
    record: frames.LogRecord, name: str, segment: Segment, log: RecoveredLog
) -> None:
    log.term = record.term
    log.voted_for = record.voted_for
    if record.base is not None:
        log.entries.clear()
    if record.truncate_after is not None and log.entries:
        kept = record.truncate_after + 1 - log.entries[0].index
        del log.entries[max(kept, 0) :]
    for entry in record.entries:
        if log.entries and entry.index != log.entries[-1].index + 1:
            raise errors.DamagedFileError(
                name,
                segment.size,
                f'entry {entry.index} follows entry {log.entries[-1].index}',
            )
        log.entries.append(entry)
        segment.last_index = max(segment.last_index, entry.index)

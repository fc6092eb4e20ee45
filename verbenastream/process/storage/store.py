"""Durable state of one replica: identity, log and snapshot."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import logbook

from verbenastream import ids
from verbenastream.process.agreement import messages
from verbenastream.process.agreement import state as replica_state
from verbenastream.process.storage import errors
from verbenastream.process.storage import files
from verbenastream.process.storage import frames
from verbenastream.process.storage import recovery

if TYPE_CHECKING:
    from verbenastream.process.agreement import events
    from verbenastream.process.storage import disk as disks

LOG = logbook.Logger(__name__)

# Small enough that obsolete entries are deleted soon, and that copying the
# last segment on startup takes only a few milliseconds.
_SEGMENT_BYTES = 4 * 2**20


class Store:
    """Carries out the ``Persist`` actions of the Raft core, in order.

    ``write`` and ``retry`` block; they must not be called from two threads
    at a time::

        store, stored = Store.open(disk, 'control-1', new_id)
        store.write([persist])
    """

    def __init__(
        self,
        disk: disks.Disk,
        segments: list[recovery.Segment],
        last_frame: int,
        segment_bytes: int,
    ) -> None:
        self._disk = disk
        self._segments = segments
        self._last_frame = last_frame
        self._segment_bytes = segment_bytes
        self._failure = ''
        self._unwritten: list[events.Persist] = []
        # Whether the last segment may hold bytes after its known size.
        self._last_segment_is_uncertain = False
        self._next_segment = 1
        if segments:
            last = segments[-1].name.removeprefix(recovery.SEGMENT_PREFIX)
            self._next_segment = int(last) + 1

    @classmethod
    def open(
        cls,
        disk: disks.Disk,
        name: str,
        new_id: ids.ReplicaId,
        segment_bytes: int = _SEGMENT_BYTES,
    ) -> tuple[Store, replica_state.StoredState]:
        """Recover the stored state; an empty folder gets the id ``new_id``.

        Raises ``StorageError``, which names the remedy, if the folder cannot
        be used.
        """
        try:
            return cls._open(disk, name, new_id, segment_bytes)
        except OSError as error:
            raise errors.WriteFailedError('opening', error) from error

    @classmethod
    def _open(
        cls,
        disk: disks.Disk,
        name: str,
        new_id: ids.ReplicaId,
        segment_bytes: int,
    ) -> tuple[Store, replica_state.StoredState]:
        identity = files.load_or_create_identity(disk, name, new_id)
        snapshot = files.read_snapshot(disk)
        log = recovery.recover(disk)
        _rewrite_last_segment(disk, log)
        store = cls(disk, log.segments, log.last_frame, segment_bytes)
        entries = _entries_matching(snapshot, log.entries)
        if snapshot is not None and log.entries and not entries:
            base = (snapshot.index, snapshot.term)
            store._append([frames.LogRecord(log.term, log.voted_for, base)])
        return store, replica_state.StoredState(
            identity, log.term, log.voted_for, snapshot, tuple(entries)
        )

    def write(self, writes: list[events.Persist]) -> None:
        """Make ``writes`` durable with as few fsyncs as possible.

        Raises ``WriteFailedError``; after that every call raises it until
        ``retry`` succeeds, because the state of the file after a failed fsync
        is unknown.
        """
        if self._failure:
            raise errors.WriteFailedError(
                'an earlier write', OSError(self._failure)
            )
        self._unwritten.extend(writes)
        self._complete_writes()

    def retry(self) -> None:
        """Complete the writes of the ``write`` call that failed.

        What the failed call may have left behind is discarded first: the last
        segment is replaced by a copy of its durable part. An fsync that
        failed is never repeated on the same file.

        Raises ``WriteFailedError`` if the disk still refuses writes, and
        ``DamagedFileError`` if the durable part cannot be read back.
        """
        try:
            self._discard_uncertain_data()
        except OSError as error:
            raise errors.WriteFailedError('retrying', error) from error
        self._failure = ''
        self._complete_writes()

    def close(self) -> None:
        """Close the disk."""
        self._disk.close()

    def _complete_writes(self) -> None:
        try:
            while self._unwritten:
                self._write_next()
        except OSError as error:
            self._failure = str(error)
            raise errors.WriteFailedError('writing', error) from error

    def _write_next(self) -> None:
        """Write the next snapshot, or all changes of the log before it."""
        if self._unwritten[0].snapshot is not None:
            self._write_snapshot(self._unwritten[0])
            del self._unwritten[0]
            return
        batch = list(
            itertools.takewhile(
                lambda write: write.snapshot is None, self._unwritten
            )
        )
        self._append([_log_record(write) for write in batch])
        del self._unwritten[: len(batch)]

    def _write_snapshot(self, write: events.Persist) -> None:
        assert write.snapshot is not None
        files.write_snapshot(self._disk, write.snapshot)
        if write.first_kept is None:
            self._restart_log(write)
        else:
            self._remove_obsolete_segments(write.first_kept)

    def _append(
        self, records: list[frames.LogRecord], in_new_segment: bool = False
    ) -> None:
        """Append one frame and make it durable."""
        is_new_segment = (
            in_new_segment
            or not self._segments
            or self._segments[-1].size >= self._segment_bytes
        )
        if is_new_segment:
            name = recovery.segment_name(self._next_segment)
            self._next_segment += 1
            self._segments.append(recovery.Segment(name))
        segment = self._segments[-1]
        data = frames.encode(self._last_frame + 1, records)
        self._last_segment_is_uncertain = True
        self._disk.append(segment.name, data)
        self._disk.sync(segment.name)
        if is_new_segment:
            self._disk.sync_folder()
        self._last_segment_is_uncertain = False
        self._last_frame += 1
        segment.size += len(data)
        for record in records:
            if record.entries:
                last = record.entries[-1].index
                segment.last_index = max(segment.last_index, last)

    def _restart_log(self, write: events.Persist) -> None:
        """Start a new log after a snapshot from the leader."""
        assert write.snapshot is not None
        base = (write.snapshot.index, write.snapshot.term)
        # The old segments hold the term and the vote until the new one does.
        self._append(
            [frames.LogRecord(write.term, write.voted_for, base)],
            in_new_segment=True,
        )
        while len(self._segments) > 1:
            self._remove_segment(self._segments.pop(0))

    def _discard_uncertain_data(self) -> None:
        """Bring the folder to the state after the last successful write."""
        if self._segments and not self._segments[-1].size:
            self._segments.pop()
            self._last_segment_is_uncertain = False
        known_names = {segment.name for segment in self._segments}
        for name in recovery.segment_names(self._disk):
            if name not in known_names:
                self._disk.remove(name)
        if self._last_segment_is_uncertain:
            self._rewrite_durable_part(self._segments[-1])
            self._last_segment_is_uncertain = False
        self._disk.sync_folder()

    def _rewrite_durable_part(self, segment: recovery.Segment) -> None:
        data = self._disk.read(segment.name)[: segment.size]
        last_frame = 0
        for frame in frames.scan(data):
            if isinstance(frame, frames.InvalidFrame):
                raise errors.DamagedFileError(
                    segment.name, frame.offset, frame.reason
                )
            last_frame = frame.number
        if len(data) != segment.size or last_frame != self._last_frame:
            raise errors.DamagedFileError(
                segment.name,
                len(data),
                f'it ends with frame {last_frame} of {self._last_frame}',
            )
        _replace_segment(self._disk, segment.name, data)

    def _remove_obsolete_segments(self, first_kept: ids.LogIndex) -> None:
        """Delete the oldest segments whose entries are all obsolete."""
        while (
            len(self._segments) > 1
            and self._segments[0].last_index < first_kept
        ):
            self._remove_segment(self._segments.pop(0))

    def _remove_segment(self, segment: recovery.Segment) -> None:
        """Remove a segment durably.

        Without the fsync a crash could undo the removal of an older segment
        and keep that of a newer one, which would look like damage.
        """
        self._disk.remove(segment.name)
        self._disk.sync_folder()


def _log_record(write: events.Persist) -> frames.LogRecord:
    return frames.LogRecord(
        write.term,
        write.voted_for,
        truncate_after=write.truncate_after,
        entries=write.entries,
    )


def _rewrite_last_segment(
    disk: disks.Disk, log: recovery.RecoveredLog
) -> None:
    """Replace the last segment by a copy without its torn bytes.

    After a failed fsync the page cache may still return data that never
    reached the disk. A new, fsynced copy guarantees that the data that was
    read is durable.
    """
    if not log.segments:
        return
    if log.torn_bytes:
        LOG.warning(
            '{} ends with {} bytes of an unfinished write, now removed',
            log.segments[-1].name,
            log.torn_bytes,
        )
    _replace_segment(disk, log.segments[-1].name, log.last_valid_data)


def _replace_segment(disk: disks.Disk, name: str, data: bytes) -> None:
    """Replace a segment by a new, fsynced file with ``data``."""
    temporary = name + files.TEMPORARY_SUFFIX
    if temporary in disk.names():
        disk.remove(temporary)
    disk.append(temporary, data)
    disk.sync(temporary)
    disk.rename(temporary, name)
    disk.sync_folder()


def _entries_matching(
    snapshot: messages.Snapshot | None, entries: list[messages.Entry]
) -> list[messages.Entry]:
    """Return ``entries`` if they are consistent with ``snapshot``, else none.

    They are inconsistent if a crash came after the leader's snapshot was
    saved and before the new log was started.
    """
    if not entries:
        return entries
    first = entries[0].index
    last = entries[-1].index
    if snapshot is None:
        if first != 1:
            raise errors.DamagedFileError(
                files.SNAPSHOT_NAME,
                0,
                f'missing, but the log starts at {first}',
            )
        return entries
    if first > snapshot.index + 1:
        raise errors.DamagedFileError(
            files.SNAPSHOT_NAME,
            0,
            f'it ends at {snapshot.index}, but the log starts at {first}',
        )
    if last < snapshot.index:
        return []
    if first <= snapshot.index:
        if entries[snapshot.index - first].term != snapshot.term:
            return []
    return entries

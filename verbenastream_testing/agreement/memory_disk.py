"""A folder in memory that can lose data that was not fsynced."""

from __future__ import annotations

import dataclasses
import errno
import os
import random


class SimulatedCrash(Exception):
    """The process ends in the middle of a file operation."""


@dataclasses.dataclass(slots=True)
class _File:
    """A file whose first ``durable_size`` bytes survive a power loss.

    After a failed fsync the kernel may mark pages clean that never reached
    the disk, so after ``sync_failed`` no later fsync makes data durable.
    """

    data: bytearray = dataclasses.field(default_factory=bytearray)
    durable_size: int = 0
    sync_failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Rename:
    name: str
    new_name: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Create:
    name: str
    file: _File


@dataclasses.dataclass(frozen=True, slots=True)
class _Remove:
    name: str


class MemoryDisk:
    """Implements ``storage.Disk`` in memory with injected faults.

    ``crash_after`` counts down with each operation and raises
    ``SimulatedCrash`` at 0; ``full`` makes appends raise ``OSError`` and
    ``fsync_fails`` fsyncs.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._files: dict[str, _File] = {}
        self._durable_files: dict[str, _File] = {}
        self._folder_changes: list[_Rename | _Create | _Remove] = []
        self.crash_after: int | None = None
        self.full = False
        self.fsync_fails = False
        self.syncs = 0

    def names(self) -> list[str]:
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        return bytes(self._files[name].data)

    def overwrite(self, name: str, data: bytes) -> None:
        """Replace the content, as a faulty device would."""
        self._files[name] = _File(bytearray(data), len(data))
        self._durable_files[name] = self._files[name]

    def append(self, name: str, data: bytes) -> None:
        self._count_operation()
        if self.full:
            self._get_or_create(name).data += data[
                : self._rng.randint(0, len(data))
            ]
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self._get_or_create(name).data += data

    def sync(self, name: str) -> None:
        self._count_operation()
        self.syncs += 1
        file = self._get_or_create(name)
        if self.fsync_fails:
            file.sync_failed = True
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        if not file.sync_failed:
            file.durable_size = len(file.data)

    def rename(self, name: str, new_name: str) -> None:
        self._count_operation()
        self._files[new_name] = self._files.pop(name)
        self._folder_changes.append(_Rename(name, new_name))

    def remove(self, name: str) -> None:
        self._count_operation()
        del self._files[name]
        self._folder_changes.append(_Remove(name))

    def sync_folder(self) -> None:
        self._count_operation()
        self.syncs += 1
        if self.fsync_fails:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        self._durable_files = dict(self._files)
        self._folder_changes = []

    def close(self) -> None:
        pass

    def lose_power(self) -> None:
        """Keep durable data and a random part of the data not yet durable."""
        probability = self._rng.choice((0.0, 0.5, 1.0))
        for change in self._folder_changes:
            if self._rng.random() < probability:
                self._make_durable(change)
        self._folder_changes = []
        self._files = dict(self._durable_files)
        for file in self._files.values():
            self._lose_unsynced_data(file)

    def _make_durable(self, change: _Rename | _Create | _Remove) -> None:
        names = self._durable_files
        match change:
            case _Create(name=name, file=file):
                names[name] = file
            case _Rename(name=name, new_name=new_name) if name in names:
                names[new_name] = names.pop(name)
            case _Remove(name=name):
                names.pop(name, None)

    def _lose_unsynced_data(self, file: _File) -> None:
        rng = self._rng
        end = rng.randint(file.durable_size, len(file.data))
        del file.data[end:]
        if end > file.durable_size and rng.random() < 0.5:
            # Pages reach the disk in any order; some read as zero bytes.
            start = rng.randrange(file.durable_size, end)
            file.data[start:end] = bytes(end - start)
        file.durable_size = len(file.data)
        file.sync_failed = False

    def _get_or_create(self, name: str) -> _File:
        file = self._files.get(name)
        if file is None:
            file = _File()
            self._files[name] = file
            self._folder_changes.append(_Create(name, file))
        return file

    def _count_operation(self) -> None:
        if self.crash_after is None:
            return
        self.crash_after -= 1
        if self.crash_after <= 0:
            self.crash_after = None
            raise SimulatedCrash

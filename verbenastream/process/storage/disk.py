"""File operations on the data folder, behind a protocol for tests."""

from __future__ import annotations

import fcntl
import os
import pathlib
from typing import Protocol

from verbenastream.process.storage import errors

_LOCK_NAME = 'lock'


class Disk(Protocol):
    """File operations on one folder; all of them may raise ``OSError``.

    Data is durable only after ``sync``; a created, renamed or removed name is
    durable only after ``sync_folder``.
    """

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        ...

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it does not exist."""
        ...

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        ...

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file; an existing file ``new_name`` is replaced."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file."""
        ...

    def sync_folder(self) -> None:
        """Make created, renamed and removed names durable."""
        ...

    def close(self) -> None:
        """Close all files."""
        ...


class FolderDisk:
    """A folder of the file system, which this process locks."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._fds_by_name: dict[str, int] = {}
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._folder_fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
            self._lock_fd = os.open(
                folder / _LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600
            )
        except OSError as error:
            raise errors.WriteFailedError(
                f'locking the data folder {folder}', error
            ) from error
        try:
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self.close()
            raise errors.FolderInUseError(str(folder)) from error

    def names(self) -> list[str]:
        """See ``Disk.names``; the lock file is not listed."""
        return sorted(
            path.name
            for path in self._folder.iterdir()
            if path.name != _LOCK_NAME
        )

    def read(self, name: str) -> bytes:
        """See ``Disk.read``."""
        return (self._folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """See ``Disk.append``."""
        remaining = memoryview(data)
        while remaining:
            written = os.write(self._fd(name), remaining)
            remaining = remaining[written:]

    def sync(self, name: str) -> None:
        """See ``Disk.sync``."""
        os.fsync(self._fd(name))

    def rename(self, name: str, new_name: str) -> None:
        """See ``Disk.rename``."""
        self._close_file(name)
        self._close_file(new_name)
        os.rename(self._folder / name, self._folder / new_name)

    def remove(self, name: str) -> None:
        """See ``Disk.remove``."""
        self._close_file(name)
        os.unlink(self._folder / name)

    def sync_folder(self) -> None:
        """See ``Disk.sync_folder``."""
        os.fsync(self._folder_fd)

    def close(self) -> None:
        """Close all files and release the lock of the folder."""
        for name in list(self._fds_by_name):
            self._close_file(name)
        os.close(self._folder_fd)
        os.close(self._lock_fd)

    def _fd(self, name: str) -> int:
        fd = self._fds_by_name.get(name)
        if fd is None:
            fd = os.open(
                self._folder / name,
                os.O_WRONLY | os.O_CREAT | os.O_APPEND,
                0o600,
            )
            self._fds_by_name[name] = fd
        return fd

    def _close_file(self, name: str) -> None:
        fd = self._fds_by_name.pop(name, None)
        if fd is not None:
            os.close(fd)

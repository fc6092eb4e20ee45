"""Errors of the log and snapshot files."""

from __future__ import annotations

from verbenastream import errors

_REJOIN_REMEDY = (
    'Empty the data folder and start the replica again; it joins as a new'
    ' identity and receives the log from the leader.'
)


class StorageError(errors.VerbenastreamError):
    """Base of all errors of the data folder."""


class DamagedFileError(StorageError):
    """A file is damaged in a way that a crash cannot cause."""

    def __init__(self, name: str, offset: int, reason: str) -> None:
        super().__init__(
            f'{name} is damaged at byte {offset}: {reason}',
            _REJOIN_REMEDY,
        )
        self.name = name
        self.offset = offset


class WrongFolderError(StorageError):
    """The data folder belongs to another replica."""

    def __init__(self, owner: str, name: str) -> None:
        super().__init__(
            f'the data folder belongs to replica {owner}, not {name}',
            'Correct "id" or "data_folder" in the settings.',
        )


class FolderInUseError(StorageError):
    """Another process has the data folder open."""

    def __init__(self, folder: str) -> None:
        super().__init__(
            f'another process uses the data folder {folder}',
            'Stop that process first, or give this one its own folder.',
        )


class RestoreError(StorageError):
    """The data folder cannot be restored from the given source."""


class WriteFailedError(StorageError):
    """A write or fsync failed; nothing is acknowledged until a retry works."""

    def __init__(self, operation: str, cause: OSError) -> None:
        super().__init__(
            f'{operation} failed: {cause.strerror or cause}',
            'Free space on the disk, and the replica continues by itself;'
            ' replace the disk if it stays faulty.',
        )

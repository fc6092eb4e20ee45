"""Error kinds of the log and snapshot files."""

from __future__ import annotations

from verbenastream import errors

_REPLACE = (
    'Empty the data folder and start the replica again; it joins as a new'
    ' identity and receives the log from the leader.'
)


class StorageError(errors.VerbenastreamError):
    """Base of all failures of the data folder."""


class DamagedFileError(StorageError):
    """A file has damage that a crash cannot explain."""

    def __init__(self, name: str, offset: int, found: str) -> None:
        super().__init__(
            f'{name} is damaged at byte {offset}: {found}',
            _REPLACE,
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
    """A new first replica cannot be made from the given source."""


class WriteFailedError(StorageError):
    """A write or fsync failed; nothing later may be acknowledged."""

    def __init__(self, operation: str, cause: OSError) -> None:
        super().__init__(
            f'{operation} failed: {cause.strerror or cause}',
            'Free space on the disk or replace it, then restart the replica.',
        )

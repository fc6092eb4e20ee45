"""Log and snapshot files."""

from __future__ import annotations

from verbenastream.process.storage.disk import Disk
from verbenastream.process.storage.disk import FolderDisk
from verbenastream.process.storage.errors import DamagedFileError
from verbenastream.process.storage.errors import FolderInUseError
from verbenastream.process.storage.errors import RestoreError
from verbenastream.process.storage.errors import StorageError
from verbenastream.process.storage.errors import WriteFailedError
from verbenastream.process.storage.errors import WrongFolderError
from verbenastream.process.storage.gauges import register_gauges
from verbenastream.process.storage.store import Store

__all__ = [
    'DamagedFileError',
    'Disk',
    'FolderDisk',
    'FolderInUseError',
    'RestoreError',
    'StorageError',
    'Store',
    'WriteFailedError',
    'WrongFolderError',
    'register_gauges',
]

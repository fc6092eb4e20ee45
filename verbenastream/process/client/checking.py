"""Checks settings files and documents offline."""

from __future__ import annotations

import enum
import pathlib
from typing import Any

from verbenastream.process.client import options
from verbenastream.process import settings
from verbenastream import validation
from verbenastream.version import documents


class FileKind(enum.Enum):
    """Kinds of files that ``check`` accepts."""

    DOCUMENT = 'document'
    ENTRY = 'entry'
    CONTROL = 'control'


def check_file(path: pathlib.Path, kind: FileKind | None) -> FileKind:
    """Check a file; without ``kind`` it is guessed from the keys.

    Raises ``errors.InvalidInputGroup`` with all problems.
    """
    data = options.read_file(path, 'file')
    if kind is None:
        value = validation.parse(data, str(path), documents.MAX_DOCUMENT_BYTES)
        kind = _guess_kind(value)
    match kind:
        case FileKind.DOCUMENT:
            documents.check_document(data, str(path))
        case FileKind.ENTRY:
            settings.load(path, settings.EntrySettings)
        case FileKind.CONTROL:
            settings.load(path, settings.ControlSettings)
    return kind


def _guess_kind(value: Any) -> FileKind:
    if isinstance(value, dict):
        if 'replicas' in value or 'data_folder' in value:
            return FileKind.CONTROL
        if 'callers' in value or 'peers' in value:
            return FileKind.ENTRY
    return FileKind.DOCUMENT

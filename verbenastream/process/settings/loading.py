"""Reads and checks settings files."""

from __future__ import annotations

import pathlib
from typing import TypeVar

from verbenastream import errors
from verbenastream import validation

T = TypeVar('T')

_MAX_SETTINGS_BYTES = 2**20


class SettingsFileError(errors.VerbenastreamError):
    """A settings file cannot be read."""


def load(path: pathlib.Path, kind: type[T]) -> T:
    """Return the settings in ``path`` checked as ``kind``.

    Raises ``SettingsFileError`` if the file cannot be read and
    ``errors.InvalidInputGroup`` with all its problems if it is not valid.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise SettingsFileError(
            f'cannot read settings file {path}: {error.strerror}',
            'Give the path of a readable JSON file.',
        ) from error
    value = validation.parse(data, str(path), _MAX_SETTINGS_BYTES)
    return validation.check(value, kind, str(path))

"""Reads and writes trace files."""

from __future__ import annotations

import pathlib
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from verbenastream.process.traces import errors
from verbenastream.process.traces import format as formats
from verbenastream import wire

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

_DECODER: msgspec.json.Decoder[Any] = msgspec.json.Decoder(formats.Line)


def read(path: pathlib.Path) -> tuple[formats.Header, Iterator[formats.Event]]:
    """Return the header and the events of a trace.

    A torn last line, left by a process that was killed, is left out. Raises
    ``TraceFileError`` with the line number for any other fault.
    """
    lines = _lines(path)
    _, first = next(lines, (0, None))
    if not isinstance(first, formats.Header):
        raise errors.TraceFileError(
            f'{path} does not begin with a header',
            'Record or generate the trace again.',
        )
    if first.version != formats.VERSION:
        raise errors.TraceFileError(
            f'{path} has version {first.version}, this is version '
            f'{formats.VERSION}',
            'Use the release that recorded it.',
        )
    return first, _events(path, lines)


def write(
    path: pathlib.Path, header: formats.Header, events: Iterable[formats.Event]
) -> int:
    """Write a trace and return the number of events."""
    path.parent.mkdir(parents=True, exist_ok=True)
    count = 0
    with path.open('wb') as output:
        output.write(wire.encode(header) + b'\n')
        for event in events:
            output.write(wire.encode(event) + b'\n')
            count += 1
    return count


def _events(
    path: pathlib.Path, lines: Iterator[tuple[int, formats.Line]]
) -> Iterator[formats.Event]:
    at = 0.0
    for number, line in lines:
        if isinstance(line, formats.Header):
            # A process that started again appends to the same file.
            continue
        if line.at < at - 1e-6:
            raise errors.TraceFileError(
                f'{path}:{number} goes back from {at:g} s to {line.at:g} s',
                'Sort the events by "at".',
            )
        at = line.at
        yield line


def _lines(path: pathlib.Path) -> Iterator[tuple[int, formats.Line]]:
    try:
        data = path.open('rb')
    except OSError as error:
        raise errors.TraceFileError(
            f'cannot read trace {path}: {error.strerror}',
            'Give the path of a readable trace file.',
        ) from error
    with data:
        for number, line in enumerate(data, start=1):
            if not line.endswith(b'\n'):
                return
            try:
                yield number, _DECODER.decode(line)
            except msgspec.DecodeError as error:
                raise errors.TraceFileError(
                    f'{path}:{number} is not a trace line: {error}',
                    'See docs/traces.md for the format.',
                ) from error

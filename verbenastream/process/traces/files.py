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

    An incomplete last line, left by a process that was killed, is ignored.
    Raises ``TraceFileError`` with the line number for any other error.
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
    previous_at = 0.0
    for number, line in lines:
        if isinstance(line, formats.Header):
            # A restarted process appends a header to the same file.
            continue
        if line.at < previous_at - 1e-6:
            raise errors.TraceFileError(
                f'{path}:{number} goes back from {previous_at:g} s to '
                f'{line.at:g} s',
                'Sort the events by "at".',
            )
        previous_at = line.at
        yield line


def _lines(path: pathlib.Path) -> Iterator[tuple[int, formats.Line]]:
    try:
        trace_file = path.open('rb')
    except OSError as error:
        raise errors.TraceFileError(
            f'cannot read trace {path}: {error.strerror}',
            'Give the path of a readable trace file.',
        ) from error
    with trace_file:
        for number, line in enumerate(trace_file, start=1):
            if not line.endswith(b'\n'):
                return
            try:
                yield number, _DECODER.decode(line)
            except msgspec.DecodeError as error:
                raise errors.TraceFileError(
                    f'{path}:{number} is not a trace line: {error}',
                    'See docs/traces.md for the format.',
                ) from error

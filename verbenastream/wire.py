"""JSON encoding of messages, log records, settings and documents."""

from __future__ import annotations

import re
from typing import Any
from typing import TypeVar

import msgspec

T = TypeVar('T')

_ENCODER = msgspec.json.Encoder()
_SORTED_ENCODER = msgspec.json.Encoder(order='sorted')
_DECODERS_BY_TYPE: dict[Any, msgspec.json.Decoder[Any]] = {}

# Strings, so that brackets in them are not counted, and brackets.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[][{}]', re.DOTALL)
# Rows are the elements of the lists in an object.
_ROW_DEPTH = 2


def encode(value: Any) -> bytes:
    """Return ``value`` as compact JSON."""
    return _ENCODER.encode(value)


def encode_canonical(value: Any) -> bytes:
    """Return ``value`` as compact JSON with sorted keys, for digests."""
    return _SORTED_ENCODER.encode(value)


def decode(data: bytes | str, kind: type[T]) -> T:
    """Return ``data`` decoded and checked as ``kind``.

    Raises ``msgspec.DecodeError`` for JSON that is malformed or nested too
    deeply and ``msgspec.ValidationError`` for JSON that is not a valid
    ``kind``; both are a ``ValueError``.
    """
    decoder = _DECODERS_BY_TYPE.get(kind)
    if decoder is None:
        decoder = msgspec.json.Decoder(kind)
        _DECODERS_BY_TYPE[kind] = decoder
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError(
            'JSON is nested too deeply, flatten it'
        ) from error


def decode_rows(data: bytes, kind: type[T]) -> T:
    """Decode an object with lists of ``msgspec.Raw`` rows as ``kind``.

    Even a row that is only skipped must be well-formed, and one that is not
    makes ``data`` as a whole unreadable. So each list or object that cannot
    be decoded is replaced by null, to keep the other rows. Raises the same
    errors as ``decode``.
    """
    try:
        return decode(data, kind)
    except msgspec.ValidationError:
        raise
    except msgspec.DecodeError:
        return decode(_without_unreadable_rows(data), kind)


def _without_unreadable_rows(data: bytes) -> bytes:
    parts = []
    kept_until = depth = row_start = 0
    for token in _TOKEN.finditer(data):
        if token[0] in (b'[', b'{'):
            if depth == _ROW_DEPTH:
                row_start = token.start()
            depth += 1
        elif token[0] in (b']', b'}'):
            depth -= 1
            if depth == _ROW_DEPTH and not _is_readable(
                data[row_start : token.end()]
            ):
                parts += [data[kept_until:row_start], b'null']
                kept_until = token.end()
    return b''.join((*parts, data[kept_until:]))


def _is_readable(row: bytes) -> bool:
    try:
        decode(row, msgspec.Raw)
    except msgspec.DecodeError:
        return False
    return True

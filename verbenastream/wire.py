"""JSON encoding of messages, log records, settings and documents."""

from __future__ import annotations

from typing import Any
from typing import TypeVar

import msgspec

T = TypeVar('T')

_ENCODER = msgspec.json.Encoder()
_SORTED_ENCODER = msgspec.json.Encoder(order='sorted')
_DECODERS_BY_TYPE: dict[Any, msgspec.json.Decoder[Any]] = {}


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

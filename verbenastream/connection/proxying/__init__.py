"""Request bodies and headers of a proxy between callers and targets."""

from __future__ import annotations

from verbenastream.connection.proxying.bodies import BUFFERED_BYTES
from verbenastream.connection.proxying.bodies import RequestBody
from verbenastream.connection.proxying.errors import BodyTooLargeError
from verbenastream.connection.proxying.errors import DigestMismatchError
from verbenastream.connection.proxying.errors import DigestRequiredError

__all__ = [
    'BUFFERED_BYTES',
    'BodyTooLargeError',
    'DigestMismatchError',
    'DigestRequiredError',
    'RequestBody',
]

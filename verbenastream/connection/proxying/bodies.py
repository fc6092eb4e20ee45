"""Request bodies, which are buffered if small and streamed if large."""

from __future__ import annotations

import base64
import binascii
from collections.abc import AsyncIterator
import hashlib
from typing import TYPE_CHECKING

from verbenastream.connection.proxying import errors

if TYPE_CHECKING:
    from aiohttp import web

# Bodies up to this size are buffered for retries and for the digest of a keyed
# request; a larger body is streamed and can be sent only once.
BUFFERED_BYTES = 64 * 1024
_CHUNK_BYTES = 64 * 1024


class RequestBody:
    """The body of one caller's request.

    ``head`` is the part that has been read; with ``is_complete`` it is the
    whole body. ``max_bytes`` limits a streamed body too.
    """

    def __init__(
        self,
        request: web.Request,
        head: bytes,
        is_complete: bool,
        max_bytes: int,
    ) -> None:
        self._request = request
        self._head = head
        self._is_complete = is_complete
        self._max_bytes = max_bytes
        self._consumed = False
        self.expected_sha256: str | None = None

    @classmethod
    async def from_request(
        cls, request: web.Request, max_bytes: int
    ) -> RequestBody:
        """Read and buffer the first 64 KiB; raises ``BodyTooLargeError``."""
        length = request.content_length
        if length is not None and length > max_bytes:
            raise errors.BodyTooLargeError(max_bytes)
        head = bytearray()
        while len(head) <= BUFFERED_BYTES:
            chunk = await request.content.readany()
            if not chunk:
                break
            head += chunk
        is_complete = request.content.at_eof() or not head
        if len(head) > max_bytes:
            raise errors.BodyTooLargeError(max_bytes)
        return cls(request, bytes(head), is_complete, max_bytes)

    @property
    def replayable(self) -> bool:
        """Whether the whole body is buffered, so that it can be sent again."""
        return self._is_complete

    @property
    def consumed(self) -> bool:
        """Whether an attempt has started to read a streamed body."""
        return self._consumed and not self._is_complete

    def sha256(self, content_digest: str | None) -> str:
        """Return the SHA-256 of the body as lower-case hex.

        A body above 64 KiB must declare it in ``Content-Digest`` (RFC 9530),
        because a keyed request is claimed before its body is sent. The
        declared digest is checked while the body is streamed. Raises
        ``DigestRequiredError``.
        """
        if self._is_complete:
            return hashlib.sha256(self._head).hexdigest()
        self.expected_sha256 = _declared_sha256(content_digest)
        return self.expected_sha256

    def payload(self) -> bytes | AsyncIterator[bytes]:
        """Return the body, or a stream of it, for the HTTP client."""
        if self._is_complete:
            return self._head
        self._consumed = True
        return self._stream()

    async def _stream(self) -> AsyncIterator[bytes]:
        digest = hashlib.sha256(self._head)
        total = len(self._head)
        delayed_chunk = self._head
        while True:
            chunk = await self._request.content.read(_CHUNK_BYTES)
            if not chunk:
                break
            total += len(chunk)
            if total > self._max_bytes:
                raise errors.BodyTooLargeError(self._max_bytes)
            digest.update(chunk)
            # The last chunk is delayed until the digest is checked, so that a
            # target never receives a complete body that does not match.
            yield delayed_chunk
            delayed_chunk = chunk
        expected = self.expected_sha256
        if expected is not None and digest.hexdigest() != expected:
            raise errors.DigestMismatchError()
        yield delayed_chunk


def _declared_sha256(content_digest: str | None) -> str:
    for member in (content_digest or '').split(','):
        name, _, value = member.strip().partition('=')
        if name == 'sha-256' and value[:1] == ':' and value[-1:] == ':':
            try:
                digest = base64.b64decode(value[1:-1], validate=True)
            except binascii.Error:
                continue
            if len(digest) == hashlib.sha256().digest_size:
                return digest.hex()
    raise errors.DigestRequiredError(BUFFERED_BYTES)

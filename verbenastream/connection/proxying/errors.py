"""Errors of requests and responses that pass through an entry."""

from __future__ import annotations

from verbenastream import errors


class BodyTooLargeError(errors.VerbenastreamError):
    """The body of a request exceeds the limit of the service."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(
            f'the body is larger than {max_bytes} bytes',
            'Send less, or raise "limits.max_body_bytes" in the document.',
        )


class DigestRequiredError(errors.VerbenastreamError):
    """A large keyed request does not declare the digest of its body."""

    def __init__(self, buffered_bytes: int) -> None:
        super().__init__(
            f'a keyed body above {buffered_bytes} bytes needs a digest',
            'Send Content-Digest: sha-256=:BASE64: with the request.',
        )


class DigestMismatchError(errors.VerbenastreamError):
    """The body differs from the digest that the caller declared."""

    def __init__(self) -> None:
        super().__init__(
            'the body does not match its Content-Digest',
            'Compute the SHA-256 of exactly the bytes that are sent.',
        )

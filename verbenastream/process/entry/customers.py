"""Authenticates callers by the key hashes in the documents in force."""

from __future__ import annotations

from collections.abc import Iterable
import hashlib
from typing import TYPE_CHECKING

from verbenastream import ids

if TYPE_CHECKING:
    from verbenastream.version.documents import schema

_SCHEME = 'bearer '


class CustomerDirectory:
    """Finds the customer of a key by the SHA-256 hash of the key."""

    def __init__(self) -> None:
        self._ids_by_hash: dict[ids.ServiceId, dict[str, ids.CustomerId]] = {}

    def update(self, documents: Iterable[schema.Document]) -> None:
        """Replace all customers by those of ``documents``."""
        self._ids_by_hash = {
            ids.ServiceId(document.service): {
                customer.key_sha256: ids.CustomerId(name)
                for name, customer in document.customers.items()
            }
            for document in documents
        }

    def authenticate(
        self, service: ids.ServiceId, authorization: str
    ) -> ids.CustomerId | None:
        """Return the customer of an ``Authorization: Bearer`` header."""
        if not authorization.lower().startswith(_SCHEME):
            return None
        key = authorization[len(_SCHEME) :].strip()
        digest = hashlib.sha256(key.encode('utf-8', 'replace')).hexdigest()
        return self._ids_by_hash.get(service, {}).get(digest)

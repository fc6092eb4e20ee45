"""Counts the bytes of calls between processes."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from verbenastream.process import metrics

# Request or status line and the headers that the library adds, on average.
_FIXED_BYTES = 150


class Traffic:
    """Bytes sent and received in calls by path, headers included.

    Bytes of TCP, IP and TLS are not counted.
    """

    def __init__(self, registry: metrics.Metrics) -> None:
        counter = registry.counter(
            'verbenastream_peer_bytes',
            'Bytes of calls between processes, headers included.',
            ('path', 'direction'),
        )
        self._counter = counter
        self._children_by_labels: dict[tuple[str, str], Any] = {}

    def sent(self, path: str, headers: Mapping[str, str], body: bytes) -> None:
        """Count the bytes of a message that was sent."""
        size = sum(
            len(name) + len(value) + 4 for name, value in headers.items()
        )
        self._child(path, 'sent').inc(size + len(body) + _FIXED_BYTES)

    def received(
        self,
        path: str,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Count the bytes of a message that was received."""
        size = sum(len(name) + len(value) + 4 for name, value in headers)
        self._child(path, 'received').inc(size + len(body))

    def _child(self, path: str, direction: str) -> Any:
        labels = (path, direction)
        child = self._children_by_labels.get(labels)
        if child is None:
            child = self._counter.labels(path, direction)
            self._children_by_labels[labels] = child
        return child

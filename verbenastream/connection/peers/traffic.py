"""Counts the bytes of calls between processes."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from verbenastream.process import metrics

# Average size of the first line and the headers that the HTTP library adds.
_ADDED_BYTES = 150


class TrafficCounter:
    """Counts the bytes sent and received in calls by path, with headers.

    Bytes of TCP, IP and TLS are not counted.
    """

    def __init__(self, registry: metrics.Metrics) -> None:
        counter = registry.counter(
            'verbenastream_peer_bytes',
            'Bytes of calls between processes, headers included.',
            ('path', 'direction'),
        )
        self._counter = counter
        self._counters_by_labels: dict[tuple[str, str], Any] = {}

    def count_sent(
        self, path: str, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Count the bytes of a message that was sent."""
        size = sum(
            len(name) + len(value) + 4 for name, value in headers.items()
        )
        self._counter_for(path, 'sent').inc(size + len(body) + _ADDED_BYTES)

    def count_received(
        self,
        path: str,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Count the bytes of a message that was received."""
        size = sum(len(name) + len(value) + 4 for name, value in headers)
        self._counter_for(path, 'received').inc(size + len(body))

    def _counter_for(self, path: str, direction: str) -> Any:
        labels = (path, direction)
        counter = self._counters_by_labels.get(labels)
        if counter is None:
            counter = self._counter.labels(path, direction)
            self._counters_by_labels[labels] = counter
        return counter

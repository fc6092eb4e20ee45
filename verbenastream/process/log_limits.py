"""Limits the volume of logs and writes them without blocking."""

from __future__ import annotations

import os
import time
from typing import Any

import logbook

from verbenastream import wire

# Limits for the lines of one kind, that is, of one channel and message.
_BURST_LINES = 300.0
_LINES_PER_SECOND = 60.0
# Not limited: their number is bounded by the calls that cause them, and the
# history of a job or of a change is incomplete without them.
_UNLIMITED_MESSAGES = frozenset(
    {
        'job accepted',
        'job ended',
        'job cancelled',
        'configuration in force',
        'upkeep called',
        'move called',
    }
)
# Limits the memory that lines take while the reader does not read.
_MAX_PENDING_BYTES = 262_144


class _TokenBucket:
    """Token bucket that limits the lines of one kind."""

    def __init__(self, now: float) -> None:
        self.tokens = _BURST_LINES
        self.updated_at = now
        self.dropped = 0

    def take(self, now: float) -> bool:
        """Take a token; without one, count the line as dropped."""
        self.tokens = min(
            _BURST_LINES,
            self.tokens + (now - self.updated_at) * _LINES_PER_SECOND,
        )
        self.updated_at = now
        if self.tokens < 1.0:
            self.dropped += 1
            return False
        self.tokens -= 1.0
        return True


class LineLimiter:
    """Decides which records are written.

    Records of a kind below its rate limit are all written. Above the limit
    records are dropped, and the next one that is written has their number.
    """

    def __init__(self) -> None:
        self._buckets_by_kind: dict[tuple[str, str], _TokenBucket] = {}

    def admit(self, record: logbook.LogRecord) -> bool:
        """Return whether to write ``record``.

        Sets ``dropped`` in its extra values if records were dropped before.
        """
        if record.msg in _UNLIMITED_MESSAGES:
            return True
        now = time.monotonic()
        kind = (record.channel, record.msg)
        bucket = self._buckets_by_kind.get(kind)
        if bucket is None:
            bucket = self._buckets_by_kind[kind] = _TokenBucket(now)
        if not bucket.take(now):
            return False
        if bucket.dropped:
            record.extra['dropped'] = bucket.dropped
            bucket.dropped = 0
        return True


class NonBlockingWriter:
    """Writes lines to a file descriptor; drops them while nobody reads."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = bytearray()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write ``line``, or buffer it while the reader does not read."""
        if len(self._pending) + len(line) > _MAX_PENDING_BYTES:
            self._dropped += 1
        else:
            if self._dropped:
                drop_record = {
                    'message': 'lines dropped',
                    'lines': self._dropped,
                }
                self._pending += wire.encode(drop_record) + b'\n'
                self._dropped = 0
            self._pending += line
        self._flush()

    def _flush(self) -> None:
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            pass
        except OSError:
            # The reader has closed its end, so no line can be written.
            self._pending.clear()


class BoundedHandler(logbook.Handler):
    """Log handler that applies the limits and does not block."""

    def __init__(self, descriptor: int, level: int, formatter: Any) -> None:
        super().__init__(level=level)
        self.formatter = formatter
        self._limiter = LineLimiter()
        self._writer = NonBlockingWriter(descriptor)

    def emit(self, record: logbook.LogRecord) -> None:
        if self._limiter.admit(record):
            self._writer.write(self.format(record).encode() + b'\n')

"""Bounds the volume of logs and never waits for their reader."""

from __future__ import annotations

import os
import time
from typing import Any

import logbook

from verbenastream import wire

# Lines of one kind: a burst, then a rate per second.
_BURST = 300.0
_PER_SECOND = 60.0
# Kinds that are bounded by the calls that they answer and that end a story.
_ALWAYS_KEPT = frozenset(
    {
        'job accepted',
        'job ended',
        'job cancelled',
        'configuration in force',
        'upkeep called',
        'move called',
    }
)
# What a reader that stops reading may leave behind in memory.
_MAX_PENDING_BYTES = 262_144


class _Bucket:
    """Lines left for one kind, refilled with time."""

    def __init__(self, now: float) -> None:
        self.left = _BURST
        self.at = now
        self.dropped = 0

    def take(self, now: float) -> bool:
        self.left = min(_BURST, self.left + (now - self.at) * _PER_SECOND)
        self.at = now
        if self.left < 1.0:
            self.dropped += 1
            return False
        self.left -= 1.0
        return True


class LineLimiter:
    """Decides which records are written.

    The first of a kind, rare kinds and everything at ``warning`` that comes
    slowly are kept; a kind that comes faster than its rate is thinned, and
    the next line that is kept tells how many were left out.
    """

    def __init__(self) -> None:
        self._buckets_by_kind: dict[tuple[str, str], _Bucket] = {}

    def keep(self, record: logbook.LogRecord) -> bool:
        """Whether to write ``record``; a kept one may carry ``dropped``."""
        if record.msg in _ALWAYS_KEPT:
            return True
        now = time.monotonic()
        kind = (record.channel, record.msg)
        bucket = self._buckets_by_kind.get(kind)
        if bucket is None:
            bucket = self._buckets_by_kind[kind] = _Bucket(now)
        if not bucket.take(now):
            return False
        if bucket.dropped:
            record.extra['dropped'] = bucket.dropped
            bucket.dropped = 0
        return True


class NonBlockingWriter:
    """Writes lines to a descriptor; drops them if nobody reads."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = bytearray()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        if len(self._pending) + len(line) > _MAX_PENDING_BYTES:
            self._dropped += 1
        else:
            if self._dropped:
                note = {'message': 'lines dropped', 'lines': self._dropped}
                self._pending += wire.encode(note) + b'\n'
                self._dropped = 0
            self._pending += line
        self._send()

    def _send(self) -> None:
        try:
            while self._pending:
                sent = os.write(self._descriptor, self._pending)
                del self._pending[:sent]
        except BlockingIOError:
            pass
        except OSError:
            # The reader is gone; nothing can be reported any more.
            self._pending.clear()


class BoundedHandler(logbook.Handler):
    """Writes formatted records within the limits."""

    def __init__(self, descriptor: int, level: int, formatter: Any) -> None:
        super().__init__(level=level)
        self.formatter = formatter
        self._limiter = LineLimiter()
        self._writer = NonBlockingWriter(descriptor)

    def emit(self, record: logbook.LogRecord) -> None:
        if self._limiter.keep(record):
            self._writer.write(self.format(record).encode() + b'\n')

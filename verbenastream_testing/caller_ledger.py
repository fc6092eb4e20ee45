"""Records of what callers sent and which answers they received."""

from __future__ import annotations

import enum
import pathlib

import msgspec

from verbenastream import wire


class AttemptOutcome(enum.Enum):
    """What the caller knows about the work after one attempt."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    # No byte left the caller, because no entry accepted a connection.
    NOT_SENT = 'not-sent'


class Sent(msgspec.Struct, frozen=True, tag='sent'):
    """An attempt, recorded before its first byte is sent.

    ``tag`` identifies the attempt, ``work`` the piece of work that is the same
    for all its attempts. ``at`` is the planned monotonic time, from which the
    latency is measured.
    """

    tag: str
    work: str
    at: float
    entry: str
    service: str
    operation: str
    customer: str
    idempotent: bool
    key: str | None = None


class Answer(msgspec.Struct, frozen=True, tag='answer', omit_defaults=True):
    """The answer to an attempt.

    ``intact`` is false if the body is not the complete response to this work;
    ``error`` is the type of a connection failure.
    """

    tag: str
    outcome: AttemptOutcome = msgspec.field(name='told')
    status: int | None
    latency_s: float
    intact: bool = True
    error: str | None = None
    retry_after_s: float | None = None


Record = Sent | Answer


class CallerLedger:
    """Keeps records in memory and appends each to an optional file."""

    def __init__(self, path: pathlib.Path | None = None) -> None:
        self.sent_by_tag: dict[str, Sent] = {}
        self.answers_by_tag: dict[str, Answer] = {}
        self._file = None
        if path is not None:
            path.parent.mkdir(parents=True, exist_ok=True)
            self._file = path.open('ab', buffering=0)

    @classmethod
    def read(cls, path: pathlib.Path) -> CallerLedger:
        """Return the records of a file without an incomplete last line."""
        ledger = cls()
        for line in path.read_bytes().split(b'\n')[:-1]:
            ledger._index(wire.decode(line, Record))  # type: ignore
        return ledger

    def add(self, record: Record) -> None:
        self._index(record)
        if self._file is not None:
            self._file.write(wire.encode(record) + b'\n')

    def close(self) -> None:
        if self._file is not None:
            self._file.close()

    def _index(self, record: Record) -> None:
        match record:
            case Sent():
                self.sent_by_tag[record.tag] = record
            case Answer():
                self.answers_by_tag[record.tag] = record

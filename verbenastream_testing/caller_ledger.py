"""The callers' own record of what they sent and what they were told."""

from __future__ import annotations

import enum
import pathlib

import msgspec

from verbenastream import wire


class Told(enum.Enum):
    """What the caller knows after one attempt."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    # No byte left the caller, because no entry accepted a connection.
    NOT_SENT = 'not-sent'


class Sent(msgspec.Struct, frozen=True, tag='sent'):
    """Written before the first byte leaves the caller.

    ``tag`` names this attempt, ``work`` the piece of work that its repeats
    share; ``at`` is the planned monotonic time, from which latency counts.
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
    """What came back for an attempt.

    ``intact`` is false if the body is not the whole response to this work;
    ``error`` holds the kind of connection failure.
    """

    tag: str
    told: Told
    status: int | None
    latency_s: float
    intact: bool = True
    error: str | None = None
    retry_after_s: float | None = None


Line = Sent | Answer


class CallerLedger:
    """Keeps the records in memory and appends each to a file."""

    def __init__(self, path: pathlib.Path | None = None) -> None:
        self.sent_by_tag: dict[str, Sent] = {}
        self.answers_by_tag: dict[str, Answer] = {}
        self._file = None
        if path is not None:
            path.parent.mkdir(parents=True, exist_ok=True)
            self._file = path.open('ab', buffering=0)

    @classmethod
    def read(cls, path: pathlib.Path) -> CallerLedger:
        """Return a ledger file's records; a torn last line is left out."""
        ledger = cls()
        for line in path.read_bytes().split(b'\n')[:-1]:
            ledger._remember(wire.decode(line, Line))  # type: ignore
        return ledger

    def add(self, line: Line) -> None:
        self._remember(line)
        if self._file is not None:
            self._file.write(wire.encode(line) + b'\n')

    def close(self) -> None:
        if self._file is not None:
            self._file.close()

    def _remember(self, line: Line) -> None:
        match line:
            case Sent():
                self.sent_by_tag[line.tag] = line
            case Answer():
                self.answers_by_tag[line.tag] = line

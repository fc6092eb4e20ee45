"""Records of the runs on a target."""

from __future__ import annotations

import enum
import pathlib
import time

import msgspec

from verbenastream import wire


class RunEventKind(enum.Enum):
    START = 'start'
    END = 'end'
    REJECTED = 'rejected'


class RunEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of the ledger file of a target.

    ``tag`` is the caller's identifier of the attempt, ``running`` the number
    of runs in progress including this one, ``at`` the system-wide monotonic
    time in seconds.
    """

    kind: RunEventKind
    at: float
    instance: str
    tag: str
    running: int
    pool: str | None = None
    key: str | None = None
    entry_epoch: int | None = None


class RunLedger:
    """Appends events to a file without buffering.

    Unbuffered writes keep the file complete if the process is killed.
    """

    def __init__(self, path: pathlib.Path, instance: str) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        self._file = path.open('ab', buffering=0)
        self._instance = instance
        self.running = 0

    def start(self, tag: str, pool: str | None, key: str | None) -> None:
        self.running += 1
        self._write(RunEventKind.START, tag, pool, key)

    def end(self, tag: str, pool: str | None, key: str | None) -> None:
        self._write(RunEventKind.END, tag, pool, key)
        self.running -= 1

    def reject(self, tag: str, pool: str | None, key: str | None) -> None:
        self._write(RunEventKind.REJECTED, tag, pool, key)

    def close(self) -> None:
        self._file.close()

    def _write(
        self, kind: RunEventKind, tag: str, pool: str | None, key: str | None
    ) -> None:
        event = RunEvent(
            kind,
            time.monotonic(),
            self._instance,
            tag,
            self.running,
            pool,
            key,
        )
        self._file.write(wire.encode(event) + b'\n')


def read_runs(path: pathlib.Path) -> list[RunEvent]:
    """Return the events of a file without an incomplete last line."""
    if not path.exists():
        return []
    lines = path.read_bytes().split(b'\n')[:-1]
    return [wire.decode(line, RunEvent) for line in lines]

"""Settings and behaviours of the fake target."""

from __future__ import annotations

import enum

import msgspec

from verbenastream.process import settings
from verbenastream.version import fleet


class Fault(enum.Enum):
    """Faults that a fake target can show."""

    NONE = 'none'
    # Answers 500 immediately, so it looks idle.
    FAIL = 'fail'
    # Accepts the request, runs it and never answers.
    HANG = 'hang'
    # Runs for ``factor`` times the requested time.
    SLOW = 'slow'
    # Closes the connection in the middle of the response body.
    TRUNCATE = 'truncate'
    # Runs the request and closes the connection without an answer.
    DROP = 'drop'
    # Announces ``running`` instead of the actual count.
    MISREPORT_RUNNING = 'lie'


class Behaviour(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    fault: Fault = Fault.NONE
    factor: float = 10.0
    running: int = 0


class EntryAddress(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of the peer listener of an entry, which gets announcements."""

    data_centre: str
    address: str
    port: int


class TargetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings file of one fake target.

    ``ledger`` is the path of a file with one JSON line for each start and end
    of a run. ``announced_address`` is the address at which entries reach the
    target if it differs from the listening address.
    """

    id: str
    incarnation: int
    data_centre: str
    rack: str
    address: str
    port: int
    deployment: settings.Deployment
    entries: tuple[EntryAddress, ...]
    ledger: str
    resources: fleet.Resources = fleet.Resources(16, 64)
    slots: int = 8
    connections: int = 64
    announce_interval_s: float = 0.5
    behaviour: Behaviour = Behaviour()
    announced_address: str | None = None


def encode(config: TargetSettings) -> bytes:
    """Return the content of a settings file."""
    return msgspec.json.encode(config)

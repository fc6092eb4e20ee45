"""Types of the settings files of the daemons."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from verbenastream.version.documents import schema as documents

Address = Annotated[
    str, msgspec.Meta(pattern=r'^(\d{1,3}(\.\d{1,3}){3}|[0-9a-fA-F:]+)$')
]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Seconds = Annotated[float, msgspec.Meta(gt=0.0, le=3_600.0)]
SecretHex = Annotated[str, msgspec.Meta(pattern=r'^([0-9a-f]{2}){16,64}$')]


class LogFormat(enum.Enum):
    JSON = 'json'
    TEXT = 'text'


class LogLevel(enum.Enum):
    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    pass


class TlsFiles(_Strict, frozen=True):
    """PEM files of one listener; read again when their content changes."""

    certificate: str
    key: str
    authority: str


class TlsOff(enum.Enum):
    OFF = 'off'


Tls = TlsFiles | TlsOff


class Listener(_Strict, frozen=True):
    """Where a process listens; TLS is off only when it says ``"off"``."""

    address: Address
    port: Port
    tls: Tls


class Peer(_Strict, frozen=True):
    """Address of another process of the deployment."""

    address: Address
    port: Port


class Logging(_Strict, frozen=True):
    format: LogFormat = LogFormat.JSON
    level: LogLevel = LogLevel.INFO


class Deployment(_Strict, frozen=True):
    """Name and shared key of the deployment; the key signs peer messages."""

    name: documents.Name
    key: SecretHex


class EntryTimings(_Strict, frozen=True):
    renew_wait_s: Seconds = 0.5
    balancer_interval_s: Seconds = 2.0
    drain_limit_s: Seconds = 600.0
    # Targets announce every second and are suspected after 1.5 s, so a renewal
    # must be forwarded in less than half a second, network delay included.
    presence_interval_s: Seconds = 0.35
    slot_report_interval_s: Seconds = 0.05


class EntrySettings(_Strict, frozen=True):
    """Settings of verbenastream-entry.

    ``advertised`` is where other entries reach the peer listener if that is
    not the address of the listener itself, for instance behind a proxy.
    """

    id: documents.Name
    data_centre: documents.Name
    region: documents.Name
    deployment: Deployment
    callers: Listener
    peers: Listener
    control: tuple[Peer, ...]
    peer_tls: Tls
    max_header_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 16_384
    logging: Logging = Logging()
    timings: EntryTimings = EntryTimings()
    advertised: Peer | None = None
    trace_file: str | None = None


class Team(_Strict, frozen=True):
    """A team that may write the documents of ``services``."""

    key_sha256: documents.KeyHash
    services: tuple[documents.Name, ...]


class Weights(_Strict, frozen=True):
    """Relative weights of the planner's costs."""

    short_wait: Annotated[float, msgspec.Meta(ge=0.0)] = 1.0
    buffer: Annotated[float, msgspec.Meta(ge=0.0)] = 1.0
    moves: Annotated[float, msgspec.Meta(ge=0.0)] = 1.0


class ControlTimings(_Strict, frozen=True):
    heartbeat_s: Seconds = 0.2
    election_min_s: Seconds = 0.5
    election_max_s: Seconds = 1.0
    entry_lease_s: Seconds = 2.0
    presence_lease_s: Seconds = 2.5
    plan_interval_s: Seconds = 1.0


class ControlSettings(_Strict, frozen=True):
    """Settings of verbenastream-control.

    ``replicas`` is the first membership, by replica name; it is used only
    when the data folder is empty and ``bootstrap`` is true.
    """

    id: documents.Name
    data_centre: documents.Name
    region: documents.Name
    deployment: Deployment
    listener: Listener
    peer_tls: Tls
    data_folder: str
    replicas: dict[str, Peer]
    teams: dict[str, Team]
    bootstrap: bool = True
    weights: Weights = Weights()
    logging: Logging = Logging()
    timings: ControlTimings = ControlTimings()
    trace_file: str | None = None

"""Commands that are replicated through the log of the job queue.

``at`` is the Unix time in seconds on the leader that proposed the command.
"""

from __future__ import annotations

import zlib

import msgspec

from verbenastream import ids
from verbenastream.process.jobqueue import model
from verbenastream import wire


class Configure(msgspec.Struct, frozen=True, tag='configure'):
    """Applies a configuration unless its version is not newer."""

    configuration: model.Configuration
    at: float


class Submit(msgspec.Struct, frozen=True, tag='submit'):
    """Stores a job; has no effect if the id is already known."""

    job: ids.JobId
    queue: ids.QueueId
    spec: model.JobSpec
    at: float


class Cancel(msgspec.Struct, frozen=True, tag='cancel'):
    """Cancels a job, even if its submission has not arrived yet."""

    job: ids.JobId
    queue: ids.QueueId
    at: float


class Start(msgspec.Struct, frozen=True, array_like=True):
    """Starts the next run of a task on ``worker``.

    ``gang_run`` is the run number that all tasks of a gang share, or 0 for a
    task without a gang.
    """

    task: model.TaskKey
    worker: ids.WorkerId
    incarnation: int = msgspec.field(name='born')
    heartbeat_sequence: int = msgspec.field(name='beat')
    gang_run: int = 0


class StartTasks(msgspec.Struct, frozen=True, tag='start'):
    """Starts tasks; the result lists their run numbers, 0 if refused.

    It is committed before the start orders are sent to a worker.
    """

    starts: tuple[Start, ...]
    at: float


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """End of a run that a worker reported, with its last checkpoint."""

    task: model.TaskKey
    run: int
    kind: model.EndKind
    checkpoint: str = ''


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """The lost runs during which their worker crashed.

    ``suspects`` are those that may have crashed it, and ``is_singled_out``
    tells whether these are one isolated task or gang. ``cleared`` are runs
    that lasted long enough to show that their tasks do no harm.
    """

    runs: tuple[tuple[model.TaskKey, int], ...]
    suspects: tuple[tuple[model.TaskKey, int], ...]
    is_singled_out: bool = False
    cleared: tuple[tuple[model.TaskKey, int], ...] = ()


class EndRuns(msgspec.Struct, frozen=True, tag='end', omit_defaults=True):
    """Ends runs: those that workers reported ended, and lost ones.

    Replicas of earlier builds skip ``crash`` and count no crash.
    """

    ends: tuple[RunEnd, ...]
    lost: tuple[tuple[model.TaskKey, int], ...]
    at: float
    crash: CrashReport | None = None


class RequestWave(msgspec.Struct, frozen=True, tag='wave'):
    """Requests maintenance of instances, at most ``at_once`` in parallel."""

    wave: int
    instances: tuple[ids.InstanceId, ...]
    deadline_s: float
    at_once: int
    at: float


class BeginMaintenance(msgspec.Struct, frozen=True, tag='upkeep'):
    """Reserves a slot of the wave for an instance.

    It is committed before the platform is asked to take the instance down.
    """

    wave: int
    instance: ids.InstanceId
    at: float


class RecordMaintenancePhase(msgspec.Struct, frozen=True, tag='upkeep_noted'):
    """Records the new phase of an instance of a wave."""

    wave: int
    instance: ids.InstanceId
    outcome: str
    at: float


class BeginMoves(msgspec.Struct, frozen=True, tag='moves'):
    """Records that instances are about to be moved.

    It is committed before the platform is asked to move them.
    """

    instances: tuple[ids.InstanceId, ...]
    at: float


# A larger command is compressed. The largest are configurations, which hold
# their source and what was decoded from it.
_MIN_COMPRESSED_BYTES = 2**20
_COMPRESSION_LEVEL = 1

Command = (
    Configure
    | Submit
    | Cancel
    | StartTasks
    | EndRuns
    | RequestWave
    | BeginMaintenance
    | RecordMaintenancePhase
    | BeginMoves
)


def encode(command: Command) -> bytes:
    """Return the payload of a log entry with ``command``."""
    data = wire.encode(command)
    if len(data) < _MIN_COMPRESSED_BYTES:
        return data
    return zlib.compress(data, _COMPRESSION_LEVEL)


def decode(payload: bytes) -> Command:
    """Return the command in a payload; raises ``ValueError``."""
    # JSON begins with a brace, which is never the first byte of a zlib stream.
    data = payload if payload[:1] == b'{' else zlib.decompress(payload)
    return wire.decode(data, Command)  # type: ignore[arg-type]

"""Commands of the job queue's log.

``at`` is the Unix time in seconds at the leader that proposed the command.
"""

from __future__ import annotations

import msgspec

from verbenastream import ids
from verbenastream.process.jobqueue import model


class Configure(msgspec.Struct, frozen=True, tag='configure'):
    """Puts a configuration in force unless a later version is."""

    configuration: model.Configuration
    at: float


class Submit(msgspec.Struct, frozen=True, tag='submit'):
    """Stores a job; a known id changes nothing."""

    job: ids.JobId
    queue: ids.QueueId
    spec: model.JobSpec
    at: float


class Cancel(msgspec.Struct, frozen=True, tag='cancel'):
    """Ends a job, also one that has not been submitted yet."""

    job: ids.JobId
    queue: ids.QueueId
    at: float


class Start(msgspec.Struct, frozen=True, array_like=True):
    """Gives a task its next run on ``worker``.

    ``gang_run`` is the run number that all members of a gang share, or 0.
    """

    task: model.TaskKey
    worker: ids.WorkerId
    born: int
    beat: int
    gang_run: int = 0


class StartTasks(msgspec.Struct, frozen=True, tag='start'):
    """Committed before an order leaves; the result lists the run numbers."""

    starts: tuple[Start, ...]
    at: float


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """One end that a worker listed, with its last checkpoint."""

    task: model.TaskKey
    run: int
    kind: model.EndKind
    checkpoint: str = ''


class EndRuns(msgspec.Struct, frozen=True, tag='end'):
    """Ends listed by workers, and runs that can no longer be under way."""

    ends: tuple[RunEnd, ...]
    lost: tuple[tuple[model.TaskKey, int], ...]
    at: float


class RequestWave(msgspec.Struct, frozen=True, tag='wave'):
    """Asks for maintenance of ``instances``, ``at_once`` at most."""

    wave: int
    instances: tuple[ids.InstanceId, ...]
    deadline_s: float
    at_once: int
    at: float


class BeginUpkeep(msgspec.Struct, frozen=True, tag='upkeep'):
    """Committed before the platform is told to take the instance."""

    wave: int
    instance: ids.InstanceId
    at: float


class NoteUpkeep(msgspec.Struct, frozen=True, tag='upkeep_noted'):
    """The platform took the instance, refused, or it has come back."""

    wave: int
    instance: ids.InstanceId
    outcome: str
    at: float


class BeginMoves(msgspec.Struct, frozen=True, tag='moves'):
    """Committed before the platform is told to move the instances."""

    instances: tuple[ids.InstanceId, ...]
    at: float


Command = (
    Configure
    | Submit
    | Cancel
    | StartTasks
    | EndRuns
    | RequestWave
    | BeginUpkeep
    | NoteUpkeep
    | BeginMoves
)

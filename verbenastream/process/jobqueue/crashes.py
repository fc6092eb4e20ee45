"""Attributes crashes of workers to the tasks that ran on them.

A worker that crashes reports nothing, so which of its tasks ended it is
inferred. The first crash makes the tasks suspect that had just started. These
are isolated, so that the crashes that follow single one out. A task that was
singled out repeatedly is given up.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import model

if TYPE_CHECKING:
    from collections.abc import Iterable

# Most tasks that crash their worker do so right after their start.
RECENT_START_S = 0.25
# A task that has run for longer does not count beside an isolated suspect.
_EARLY_CRASH_S = 1.0
# A task that crashes its worker later is suspect after this many crashes.
_MAX_UNSUSPICIOUS_CRASHES = 1
# One crash of an isolated suspect may be a coincidence.
_MAX_ISOLATED_CRASHES = 2
# A task is given up after this many crashes in any case, as some crash their
# worker only after their isolation.
_MAX_CRASHES = 4
# How long a suspect is isolated after its first crash. The time grows with
# each crash, for tasks that do not crash their worker at once.
_FIRST_ISOLATION_S = 0.5
_ISOLATION_GROWTH = 2.0
# A long-running task that has lasted this long is not the cause of a crash.
# Over its life it meets many that others have caused.
_LONG_RUNNING_PROBATION_S = 10.0
# This many other workers that crash at the same moment have a common cause
# outside the tasks: a rack, power, the network.
_MIN_OTHER_CRASHES = 2
# A crash says little about a long-running task if this many crashes of its
# worker were to be expected during its run without it.
_MAX_EXPECTED_CRASHES = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class LostRun:
    """A run that was lost in a crash.

    ``survived_s`` is how long the worker is known to have lived after the
    start, None if this leader knows nothing about the worker.
    """

    key: model.TaskKey
    number: int
    task: model.Task
    step: model.Step
    survived_s: float | None


def is_suspect(task: model.Task) -> bool:
    """Whether the task may have crashed a worker."""
    return (
        task.suspected_crashes > 0 or task.crashes > _MAX_UNSUSPICIOUS_CRASHES
    )


def is_crashing(task: model.Task, step: model.Step) -> bool:
    """Whether the task is given up because it crashes its workers.

    Two crashes that singled it out are not enough for a long-running task,
    which may have been hit by others: it has to run again within seconds.
    """
    if task.crashes >= _MAX_CRASHES:
        return True
    return not step.long_running and (
        task.isolated_crashes >= _MAX_ISOLATED_CRASHES
    )


def isolation_s(task: model.Task) -> float:
    """Return how long nothing starts beside the task, 0 if not suspect."""
    if not is_suspect(task):
        return 0.0
    return _FIRST_ISOLATION_S * _ISOLATION_GROWTH ** (task.crashes - 1)


def unit(key: model.TaskKey, step: model.Step) -> model.TaskKey:
    """Return the key that stands for what is isolated together.

    The tasks of a gang only work together, so they are one unit.
    """
    return key._replace(position=0) if step.gang else key


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """What else has crashed, without a task that is known to crash workers.

    ``other_crashes`` is how many other workers crashed at the same moment, and
    ``crashes_per_s`` how often a worker has crashed lately.
    """

    other_crashes: int = 0
    crashes_per_s: float = 0.0

    def explain(self, run: LostRun) -> bool:
        """Whether the crash under a long-running task has another cause.

        Such a task has to run again within seconds, so it is blamed only for
        crashes that were not to be expected without it.
        """
        if not run.step.long_running:
            return False
        lasted_s = run.survived_s or 0.0
        if self.crashes_per_s * lasted_s > _MAX_EXPECTED_CRASHES:
            return True
        # A crash right after the start is hardly a coincidence.
        return lasted_s >= _EARLY_CRASH_S and (
            self.other_crashes >= _MIN_OTHER_CRASHES or _has_proved_itself(run)
        )


def report(
    lost_runs: Iterable[LostRun],
    surroundings: Surroundings = Surroundings(),
) -> commands.CrashReport | None:
    """Return which lost runs count as crashed and which are suspect.

    Example: of a run that began a minute ago and one that began just now,
    both count, and the second is the suspect. If an isolated suspect was among
    them, those that have survived for longer do not count.
    """
    lost_runs = list(lost_runs)
    cleared = [run for run in lost_runs if _has_proved_itself(run)]
    counted = [run for run in lost_runs if not surroundings.explain(run)]
    has_isolated = any(map(_is_isolated, counted))
    suspects = [run for run in counted if _is_isolated(run) or _is_recent(run)]
    if has_isolated:
        counted = [
            run
            for run in counted
            if _is_isolated(run)
            or _is_recent(run)
            or (run.survived_s or 0.0) < _EARLY_CRASH_S
            or (run.step.long_running and is_suspect(run.task))
        ]
    elif len(counted) == 1:
        suspects = counted
    if not counted and not cleared:
        return None
    units = {unit(run.key, run.step) for run in suspects}
    return commands.CrashReport(
        tuple((run.key, run.number) for run in counted),
        tuple((run.key, run.number) for run in suspects),
        has_isolated and len(units) == 1,
        tuple((run.key, run.number) for run in cleared),
    )


def _has_proved_itself(run: LostRun) -> bool:
    return (
        run.step.long_running
        and (run.survived_s or 0.0) >= _LONG_RUNNING_PROBATION_S
    )


def _is_isolated(run: LostRun) -> bool:
    return (run.survived_s or 0.0) < isolation_s(run.task)


def _is_recent(run: LostRun) -> bool:
    return run.survived_s is not None and run.survived_s < RECENT_START_S


def clear(members: Iterable[model.Task]) -> None:
    """Forget the crashes of a task that has proved to do no harm."""
    for task in members:
        task.crashes = 0
        task.suspected_crashes = 0
        task.isolated_crashes = 0


def count_crash(
    members: Iterable[model.Task],
    run: int,
    is_suspected: bool,
    is_singled_out: bool,
) -> None:
    """Count a crash for a task, or for all tasks of a gang.

    A run of a gang counts once, however many of its workers crash.
    """
    for task in members:
        if task.last_crashed_run < run:
            task.last_crashed_run = run
            task.crashes += 1
            task.suspected_crashes += is_suspected
            task.isolated_crashes += is_suspected and is_singled_out

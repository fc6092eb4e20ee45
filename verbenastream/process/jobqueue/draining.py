"""Selects the runs that a draining worker gives up before it leaves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.process.jobqueue import capacity

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from verbenastream import ids
    from verbenastream.process.jobqueue import model
    from verbenastream.process.jobqueue import workers

Run = tuple['model.TaskKey', int]


def runs_with_room(
    steps_by_run: dict[Run, model.Step],
    siblings_of: Callable[[model.TaskKey], capacity.SiblingCounts],
    others: Iterable[workers.Worker],
    free_capacity_of: Callable[[workers.Worker], model.Resources],
) -> list[Run]:
    """Return the runs that fit together on the ``others``.

    ``siblings_of`` counts the tasks of the same step by location.

    A long-running task that stays on a draining worker stands still from the
    end of the worker until its loss is noticed, so it moves while it can. A
    run without room elsewhere is better left where it is::

        runs = runs_with_room(steps_by_run, siblings_of, workers, free_of)
    """
    others = list(others)
    free_by_worker: dict[ids.WorkerId, model.Resources] = {
        worker.id: free_capacity_of(worker) for worker in others
    }
    selected = []
    for run, step in steps_by_run.items():
        worker = capacity.choose_worker(
            others,
            step,
            siblings_of(run[0]),
            lambda other: free_by_worker[other.id],
        )
        if worker is not None:
            free_by_worker[worker.id] = capacity.subtract(
                free_by_worker[worker.id], capacity.reservation(step)
            )
            selected.append(run)
    return selected

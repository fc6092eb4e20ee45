"""One of six targets fails everything."""

from __future__ import annotations

import concurrent.futures
import statistics
from typing import Any

from bench import request_traces as traces
from bench import rows
from verbenastream import ids
from verbenastream.request import dispatch
from verbenastream.request.routing import outliers
from verbenastream_testing import request_replay as replay

_COMMAND = 'python -m bench.run bench.request_failures'
_SLOTS = 48
_LOAD = 0.6
_FAULT_AT = 5.0
_SECONDS = 20.0
_SEEDS = 3
# With 'flaky', 2% of one target's answers are errors; with 'all flaky', of
# all targets' answers.
_FAULTS = ('fail', 'hang', 'slow', 'flaky', 'all flaky')
_FIGURES = (
    ('errors after 2 s', 'share', 0.001),
    ('errors in the first 2 s', 'share', None),
    ('extra load from retries', 'share', 0.1),
    ('p99 response after 2 s', 's', None),
)
_WORKERS = 2


class _CoolDown(outliers.Detector):
    """Skips a target for 5 s after each failure; kept for comparison."""

    def __init__(self) -> None:
        super().__init__()
        self._until: dict[ids.InstanceId, float] = {}

    def record(
        self, instance: ids.InstanceId, succeeded: bool, now: float
    ) -> None:
        if not succeeded:
            self._until[instance] = now + 5.0

    def is_ejected(self, instance: ids.InstanceId) -> bool:
        return instance in self._until

    def grantable_slots(
        self, instance: ids.InstanceId, free: int, granted: int, now: float
    ) -> int:
        return free if now >= self._until.get(instance, 0.0) else 0


def _cool_down(*arguments: Any, **named: Any) -> dispatch.Dispatcher:
    return dispatch.Dispatcher.from_config(
        *arguments, detector=_CoolDown, **named
    )


def _measure(
    seed: int, fault: str, cool_down: bool
) -> tuple[float, float, float, float]:
    """Return the error shares after and before 2 s, extra load, p99."""
    arrivals = traces.short_only(seed, _LOAD, _SLOTS, _SECONDS, deadline_s=5.0)
    core = _cool_down if cool_down else None
    run = replay.Replay(arrivals, seed=seed, make_dispatcher=core)
    faulty = list(run.targets.values())
    if fault != 'all flaky':
        del faulty[1:]
    fault_at = run.start + _FAULT_AT
    for target in faulty:
        run.schedule(
            fault_at,
            lambda t=target: setattr(t, 'fault', fault.split()[-1]),
        )
    run.run()
    after = [a for a in arrivals if a.time >= fault_at + 2.0]
    during = [a for a in arrivals if fault_at <= a.time < fault_at + 2.0]
    runs = sum(a.runs for a in after + during)
    return (
        statistics.fmean(a.status != 200 for a in after),
        statistics.fmean(a.status != 200 for a in during),
        runs / len(after + during) - 1.0,
        traces.quantile(
            [a.response_s for a in after if a.answered is not None], 0.99
        ),
    )


def run(seed: int) -> list[rows.Row]:
    """Return the medians of three seeds for each kind of fault.

    The baseline is the cool-down in the place of the outlier detection.
    """
    result = []
    cases = [
        (seed + number, fault, cool_down)
        for fault in _FAULTS
        for cool_down in (False, True)
        for number in range(_SEEDS)
    ]
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as executor:
        measured = list(executor.map(_measure, *zip(*cases)))
    for number, fault in enumerate(_FAULTS):
        first = 2 * number * _SEEDS
        own = _medians(measured[first : first + _SEEDS])
        baseline = _medians(measured[first + _SEEDS : first + 2 * _SEEDS])
        counted = fault == 'fail'
        for (name, unit, target), value, other in zip(_FIGURES, own, baseline):
            result.append(
                rows.Row(
                    f'one of six targets, fault {fault}: {name}',
                    value,
                    unit,
                    other,
                    target if counted else None,
                    rows.Bound.AT_MOST,
                    seed,
                    _COMMAND,
                )
            )
    return result


def _medians(
    measured: list[tuple[float, float, float, float]],
) -> list[float]:
    return [statistics.median(values) for values in zip(*measured)]

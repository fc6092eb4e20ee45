"""Benchmarks of requests while one target or all of them are faulty."""

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
_FAULT_AT_S = 5.0
_DURATION_S = 20.0
_SEEDS = 3
# With 'flaky', 2% of the answers of one target are errors; with 'all flaky',
# 2% of those of all targets.
_FAULTS = ('fail', 'hang', 'slow', 'flaky', 'all flaky')
_FIGURES = (
    ('errors after 2 s', 'share', 0.001),
    ('errors in the first 2 s', 'share', None),
    ('extra load from retries', 'share', 0.1),
    ('p99 response after 2 s', 's', None),
)
_WORKERS = 2


class _CooldownDetector(outliers.Detector):
    """Skips a target for 5 s after each failure; the compared baseline."""

    def __init__(self) -> None:
        super().__init__()
        self._skip_until_by_instance: dict[ids.InstanceId, float] = {}

    def record(
        self, instance: ids.InstanceId, succeeded: bool, now: float
    ) -> None:
        if not succeeded:
            self._skip_until_by_instance[instance] = now + 5.0

    def is_ejected(self, instance: ids.InstanceId) -> bool:
        return instance in self._skip_until_by_instance

    def grantable_slots(
        self, instance: ids.InstanceId, free: int, granted: int, now: float
    ) -> int:
        return (
            free
            if now >= self._skip_until_by_instance.get(instance, 0.0)
            else 0
        )


def _cooldown_dispatcher(
    *arguments: Any, **keywords: Any
) -> dispatch.Dispatcher:
    return dispatch.Dispatcher.from_config(
        *arguments, detector=_CooldownDetector, **keywords
    )


def _measure(
    seed: int, fault: str, use_cooldown: bool
) -> tuple[float, float, float, float]:
    """Measure one replay with a fault.

    Return the share of errors later than 2 s after the fault and in the
    first 2 s, the extra load from retries, and the p99 response in seconds.
    """
    arrivals = traces.short_only(
        seed, _LOAD, _SLOTS, _DURATION_S, deadline_s=5.0
    )
    dispatcher_factory = _cooldown_dispatcher if use_cooldown else None
    run = replay.Replay(
        arrivals, seed=seed, make_dispatcher=dispatcher_factory
    )
    faulty_targets = list(run.targets.values())
    if fault != 'all flaky':
        del faulty_targets[1:]
    fault_at = run.start + _FAULT_AT_S
    for target in faulty_targets:
        run.schedule(
            fault_at,
            lambda t=target: setattr(t, 'fault', fault.split()[-1]),
        )
    run.run()
    after_2s = [a for a in arrivals if a.time >= fault_at + 2.0]
    first_2s = [a for a in arrivals if fault_at <= a.time < fault_at + 2.0]
    run_count = sum(a.runs for a in after_2s + first_2s)
    return (
        statistics.fmean(a.status != 200 for a in after_2s),
        statistics.fmean(a.status != 200 for a in first_2s),
        run_count / len(after_2s + first_2s) - 1.0,
        traces.quantile(
            [a.response_s for a in after_2s if a.answered is not None], 0.99
        ),
    )


def run(seed: int) -> list[rows.Row]:
    """Return the medians of three seeds for each kind of fault.

    The baseline replaces the outlier detection by the cooldown detector.
    """
    result = []
    cases = [
        (seed + number, fault, use_cooldown)
        for fault in _FAULTS
        for use_cooldown in (False, True)
        for number in range(_SEEDS)
    ]
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as executor:
        measured = list(executor.map(_measure, *zip(*cases)))
    for number, fault in enumerate(_FAULTS):
        first = 2 * number * _SEEDS
        detector_medians = _medians(measured[first : first + _SEEDS])
        cooldown_medians = _medians(
            measured[first + _SEEDS : first + 2 * _SEEDS]
        )
        has_target = fault == 'fail'
        for (name, unit, target), value, cooldown_value in zip(
            _FIGURES, detector_medians, cooldown_medians
        ):
            result.append(
                rows.Row(
                    f'one of six targets, fault {fault}: {name}',
                    value,
                    unit,
                    cooldown_value,
                    target if has_target else None,
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

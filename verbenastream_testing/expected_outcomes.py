"""Expected outcomes of a replay, stored in a file next to its trace."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

import msgspec

from verbenastream.process import traces
from verbenastream import wire

if TYPE_CHECKING:
    from collections.abc import Iterable

    from verbenastream_testing import verdict


class ExpectedOutcomes(msgspec.Struct, frozen=True):
    """Limits for the verdict on a replay, derived from the trace alone.

    Every request must get an outcome. By default no violation is allowed;
    ``verdict.Verdict`` describes them. ``min_answered_share`` is the share of
    requests that must be answered: all except those that a failure or a
    cancellation in the trace can affect.
    """

    requests: int
    keyed: int
    cancelled: int
    min_answered_share: float
    lost: int = 0
    run_twice: int = 0
    false_not_run: int = 0
    mixed_up: int = 0
    overrun: int = 0
    two_pools: int = 0

    @classmethod
    def from_events(
        cls,
        events: Iterable[traces.Event],
        min_answered_share: float = 0.95,
    ) -> ExpectedOutcomes:
        events = list(events)
        arrivals = [e for e in events if isinstance(e, traces.Arrival)]
        cancelled = {
            e.id for e in events if isinstance(e, traces.Cancellation)
        }
        return cls(
            requests=len(arrivals),
            keyed=sum(arrival.keyed for arrival in arrivals),
            cancelled=len(cancelled),
            min_answered_share=min_answered_share,
        )

    def problems(self, actual: verdict.Verdict, work_count: int) -> list[str]:
        """Return the deviations; ``work_count`` is that of the sent work."""
        problems = []
        if work_count != self.requests:
            problems.append(f'sent {work_count} of {self.requests} requests')
        for name in (
            'lost',
            'run_twice',
            'false_not_run',
            'mixed_up',
            'overrun',
            'two_pools',
        ):
            count = len(getattr(actual, name))
            if count > getattr(self, name):
                problems.append(f'{name.replace("_", " ")}: {count}')
        min_answered = self.min_answered_share * (
            self.requests - self.cancelled
        )
        if actual.answered < min_answered:
            problems.append(
                f'answered {actual.answered}, at least {min_answered:.0f}'
            )
        return problems


def path_for(trace: pathlib.Path) -> pathlib.Path:
    return trace.with_suffix('.outcomes.json')


def write(trace: pathlib.Path, expected: ExpectedOutcomes) -> None:
    path_for(trace).write_bytes(wire.encode(expected) + b'\n')


def read(trace: pathlib.Path) -> ExpectedOutcomes:
    return wire.decode(path_for(trace).read_bytes(), ExpectedOutcomes)

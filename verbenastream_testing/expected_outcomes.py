"""The outcomes that a replay of a trace must reach, in a file beside it."""

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
    """Bounds on what callers may see; they follow from the trace alone.

    Every request gets an outcome. Nothing is lost, run twice, falsely called
    not run, mixed up or above a target's slots. ``min_answered_share`` is the
    share of requests that must be answered: all but those that a failure or
    a cancellation in the trace can touch.
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

    def problems(self, found: verdict.Verdict, works: int) -> list[str]:
        """Return what differs; ``works`` is how many pieces were sent."""
        wrong = []
        if works != self.requests:
            wrong.append(f'sent {works} of {self.requests} requests')
        for name in (
            'lost',
            'run_twice',
            'false_not_run',
            'mixed_up',
            'overrun',
            'two_pools',
        ):
            count = len(getattr(found, name))
            if count > getattr(self, name):
                wrong.append(f'{name.replace("_", " ")}: {count}')
        least = self.min_answered_share * (self.requests - self.cancelled)
        if found.answered < least:
            wrong.append(f'answered {found.answered}, at least {least:.0f}')
        return wrong


def path_for(trace: pathlib.Path) -> pathlib.Path:
    return trace.with_suffix('.outcomes.json')


def write(trace: pathlib.Path, expected: ExpectedOutcomes) -> None:
    path_for(trace).write_bytes(wire.encode(expected) + b'\n')


def read(trace: pathlib.Path) -> ExpectedOutcomes:
    return wire.decode(path_for(trace).read_bytes(), ExpectedOutcomes)

"""Converts the arrivals of a trace to requests of the load generator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.process import traces
from verbenastream_testing import load
from verbenastream_testing import samples

if TYPE_CHECKING:
    from collections.abc import Iterable

# How often a caller repeats a request with a key. Together with the wait
# between two attempts the repeats last longer than an election.
_KEYED_REPEATS = 60


def from_trace(
    events: Iterable[traces.Event], prefix: str = ''
) -> list[load.Work]:
    """Return one request per arrival; ``prefix`` makes the names unique.

    An arrival without a run time never ran when it was recorded; its run time
    is 0.
    """
    return [
        load.Work(
            name=f'{prefix}{event.id}',
            at_s=event.at,
            service=event.service,
            operation=event.operation,
            customer=event.customer,
            caller_key=samples.caller_key(event.customer),
            run_ms=1e3 * (event.run_s or 0.0),
            idempotent=event.idempotent,
            key=f'{prefix}{event.id}' if event.keyed else None,
            body=bytes(event.body_bytes),
            repeats=_KEYED_REPEATS if event.keyed else 0,
        )
        for event in events
        if isinstance(event, traces.Arrival)
    ]

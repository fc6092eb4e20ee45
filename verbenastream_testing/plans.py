"""Turns the arrivals of a trace into work for the load tool."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.process import traces
from verbenastream_testing import load
from verbenastream_testing import samples

if TYPE_CHECKING:
    from collections.abc import Iterable

# A caller asks again this often under its key; with the wait between two
# attempts this outlasts an election.
_KEYED_REPEATS = 60


def from_trace(
    events: Iterable[traces.Event], prefix: str = ''
) -> list[load.Work]:
    """Return one piece of work per arrival; ``prefix`` makes names unique.

    A request without a run time never ran when it was recorded; it is sent
    with none.
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

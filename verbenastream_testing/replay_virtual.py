"""Replays a trace on virtual time, in one process, over the same cores.

The replay in ``request_replay`` drives the entries' dispatchers; this
module feeds it a trace and judges the result by the trace's outcomes.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from verbenastream.process import traces
from verbenastream.request import claims
from verbenastream_testing import request_replay
from verbenastream_testing import verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

_NETWORKS = {
    'codigos-claros': request_replay.MEXICO,
    'soil-carbon-verifiers': request_replay.GHANA,
}
_WORKERS_PER_SERVICE = 6
# A lost target refuses connections; to the entries that is a failure at once.
_LOST = 'fail'


class VirtualReplay:
    """One replay of a trace; the same trace and seed give the same result."""

    def __init__(
        self,
        header: traces.Header,
        events: Iterable[traces.Event],
        entries: int = 12,
    ) -> None:
        self._events = list(events)
        self._works = self._arrivals()
        services = sorted({work.service for work in self._works.values()})
        self._replay = request_replay.Replay(
            list(self._works.values()),
            _NETWORKS.get(header.deployment, request_replay.MEXICO),
            entries=entries,
            services=dict.fromkeys(services, _WORKERS_PER_SERVICE),
            seed=header.seed or 1,
        )
        self._schedule_failures()

    def run(self) -> verdict.Verdict:
        """Run until every request has ended, and judge."""
        self._replay.run()
        told = collections.Counter(
            work.outcome for work in self._works.values()
        )
        overrun = [
            str(name)
            for name, target in self._replay.targets.items()
            if target.overruns
        ]
        return verdict.Verdict(
            sent=len(self._works),
            answered=told[claims.Outcome.RAN],
            not_run=told[claims.Outcome.NOT_RUN],
            unknown=told[claims.Outcome.UNKNOWN],
            not_sent=0,
            lost=self._named(lambda work: work.outcome is None),
            run_twice=self._named(
                lambda work: not work.idempotent and work.runs > 1
            ),
            false_not_run=self._named(
                lambda work: (
                    work.outcome is claims.Outcome.NOT_RUN and work.runs > 0
                )
            ),
            mixed_up=(),
            overrun=tuple(overrun),
            two_pools=(),
            unfinished=(),
        )

    def _named(self, condition) -> tuple[str, ...]:
        return tuple(
            name for name, work in self._works.items() if condition(work)
        )

    def _arrivals(self) -> dict[str, request_replay.Arrival]:
        works: dict[str, request_replay.Arrival] = {}
        for event in self._events:
            match event:
                case traces.Arrival():
                    works[event.id] = request_replay.Arrival(
                        time=event.at,
                        run_s=event.run_s or 0.0,
                        service=event.service,
                        operation=event.operation,
                        customer=event.customer,
                        declared=event.declared,
                        deadline_s=event.deadline_s,
                        idempotent=event.idempotent and not event.keyed,
                    )
                case traces.Cancellation(at=at, id=name) if name in works:
                    works[name].cancel_at = at
        return works

    def _schedule_failures(self) -> None:
        """Let targets fail while their rack or data centre is lost.

        The replay has a rack per worker, so a lost instance or rack stands
        for one worker of each service, a data centre for a third.
        """
        targets = list(self._replay.targets.values())
        for event in self._events:
            if not isinstance(event, traces.Failure):
                continue
            if event.domain is traces.Domain.DATA_CENTRE:
                share = [found for found in targets if found.data_centre == 0]
            else:
                position = sum(event.name.encode()) % _WORKERS_PER_SERVICE
                share = targets[position::_WORKERS_PER_SERVICE]
            self._set_fault(event.at, share, _LOST)
            if event.until is not None:
                self._set_fault(event.until, share, '')

    def _set_fault(
        self, at: float, targets: list[request_replay.Target], fault: str
    ) -> None:
        def change() -> None:
            for target in targets:
                target.fault = fault

        self._replay.at(self._replay.start + at, change)

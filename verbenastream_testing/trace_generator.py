"""Generates seeded traces of both deployments.

``python -m verbenastream_testing.trace_generator mexico --seconds 60 FILE``
writes the trace and, in a file next to it, the expected outcomes of a replay.
"""

from __future__ import annotations

import argparse
import dataclasses
import math
import pathlib
import random
import sys
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process import traces
from verbenastream.version import documents
from verbenastream_testing import expected_outcomes
from verbenastream_testing import samples

if TYPE_CHECKING:
    from collections.abc import Iterator

SAMPLES = {'mexico': samples.MEXICO, 'ghana': samples.GHANA}
_DAY_S = 86_400.0


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Demand and failures of a trace.

    The services peak in turn: in each cycle a service has ``peak_factor``
    times its mean rate for ``peak_s`` seconds and ``rest_factor`` times it
    otherwise. Long work runs ``long_factor`` times longer than short work;
    ``wrong_share`` of the requests declare the wrong class.
    """

    seconds: float = 60.0
    requests_per_s: float = 20.0
    peak_s: float = 4.0
    peak_factor: float = 5.0
    rest_factor: float = 0.05
    short_run_s: float = 0.05
    long_share: float = 0.02
    long_factor: float = 100.0
    wrong_share: float = 0.1
    billed_share: float = 0.1
    cancelled_share: float = 0.01
    cancellation_wave: int = 0
    instances_lost_per_day: float = 21.0
    rack_losses: int = 1
    data_centre_losses: int = 0
    maintenance_notices: int = 1


class TraceGenerator:
    """Draws all events from a seed; the same seed gives the same trace."""

    def __init__(self, sample: samples.Fleet, shape: Shape, seed: int) -> None:
        self._sample = sample
        self._shape = shape
        self._seed = seed
        self._rng = random.Random(f'{sample.region}/{seed}')

    def header(self) -> traces.Header:
        return traces.Header(
            deployment=self._sample.name,
            started_at=0.0,
            process='generator',
            seed=self._seed,
        )

    def events(self) -> list[traces.Event]:
        """Return all events, sorted by time."""
        events: list[traces.Event] = [
            *self._announcements(),
            *self._submissions(),
            *self._requests(),
            *self._cancellation_wave(),
            *self._failures(),
            *self._maintenance(),
        ]
        return sorted(events, key=lambda event: event.at)

    def racks(self) -> list[str]:
        return sorted({event.rack for event in self._announcements()})

    def _announcements(self) -> list[traces.Announced]:
        sample = self._sample
        count = len(sample.services) * sample.workers_per_service
        centres = sample.data_centres
        return [
            traces.Announced(
                at=0.0,
                id=ids.InstanceId(f'worker-{number + 1}'),
                incarnation=ids.Incarnation(1),
                data_centre=ids.DataCentreId(centres[number % len(centres)]),
                rack=ids.RackId(
                    f'{centres[number % len(centres)]}-rack-'
                    f'{number // len(centres) // sample.workers_per_rack + 1}'
                ),
                resources=sample.resources,
            )
            for number in range(count)
        ]

    def _submissions(self) -> Iterator[traces.Submission]:
        for service in self._sample.services:
            yield traces.Submission(
                at=0.0,
                id=ids.SubmissionId(f'first-{service}'),
                base_revision=ids.Revision(0),
                document=samples.document(self._sample, service),
            )

    def rate(self, service: int, at: float) -> float:
        """Return the requests per second of a service at a time."""
        shape = self._shape
        count = len(self._sample.services)
        mean = shape.requests_per_s / count
        peaking_service = int(at / shape.peak_s) % count
        if peaking_service == service:
            return mean * shape.peak_factor
        return mean * shape.rest_factor

    def _requests(self) -> Iterator[traces.Event]:
        shape = self._shape
        max_rate = shape.requests_per_s * shape.peak_factor
        max_rate /= len(self._sample.services)
        for position, service in enumerate(self._sample.services):
            at = 0.0
            number = 0
            while True:
                # Thinning: draw at the maximum rate, keep by the current one.
                at += self._rng.expovariate(max_rate)
                if at >= shape.seconds:
                    break
                if self._rng.random() * max_rate > self.rate(position, at):
                    continue
                number += 1
                yield from self._request(service, f'{service}-{number}', at)

    def _request(
        self, service: str, name: str, at: float
    ) -> Iterator[traces.Event]:
        shape, sample, rng = self._shape, self._sample, self._rng
        is_long = rng.random() < shape.long_share
        declared_long = is_long != (rng.random() < shape.wrong_share)
        billed = not declared_long and rng.random() < shape.billed_share
        operation = sample.short_operation
        if billed:
            operation = sample.billed_operation
        elif declared_long:
            operation = sample.long_operation
        settings = samples.document(sample, service).operations[operation]
        run_s = rng.lognormvariate(math.log(shape.short_run_s), 0.5)
        if is_long:
            run_s *= shape.long_factor
        yield traces.Arrival(
            at=round(at, 6),
            id=name,
            service=ids.ServiceId(service),
            operation=operation,
            customer=ids.CustomerId(rng.choice(sample.customers)),
            declared=settings.work_class,
            deadline_s=settings.deadline_s,
            run_s=round(run_s, 6),
            idempotent=settings.idempotent,
            keyed=billed,
            body_bytes=rng.randrange(0, 4_096),
        )
        if rng.random() < shape.cancelled_share:
            wait = rng.uniform(0.0, 2 * run_s)
            yield traces.Cancellation(round(at + wait, 6), name)

    def _cancellation_wave(self) -> Iterator[traces.Event]:
        shape = self._shape
        if not shape.cancellation_wave:
            return
        at = shape.seconds / 2
        service = self._sample.services[0]
        for number in range(shape.cancellation_wave):
            name = f'wave-{number + 1}'
            yield traces.Arrival(
                at=at,
                id=name,
                service=ids.ServiceId(service),
                operation=self._sample.long_operation,
                customer=ids.CustomerId(self._sample.customers[0]),
                declared=documents.WorkClass.LONG,
                deadline_s=600.0,
                run_s=60.0,
            )
            yield traces.Cancellation(at + 1.0, name)

    def _failures(self) -> Iterator[traces.Failure]:
        shape, rng = self._shape, self._rng
        mean = shape.instances_lost_per_day * shape.seconds / _DAY_S
        workers = [event.id for event in self._announcements()]
        for _ in range(_poisson(rng, mean)):
            yield self._failure(traces.Domain.INSTANCE, rng.choice(workers))
        for _ in range(shape.rack_losses):
            yield self._failure(traces.Domain.RACK, rng.choice(self.racks()))
        for _ in range(shape.data_centre_losses):
            name = rng.choice(self._sample.data_centres)
            yield self._failure(traces.Domain.DATA_CENTRE, name)

    def _failure(self, domain: traces.Domain, name: str) -> traces.Failure:
        at = self._rng.uniform(0.2, 0.7) * self._shape.seconds
        duration = self._rng.uniform(0.1, 0.3) * self._shape.seconds
        return traces.Failure(
            round(at, 6), domain, name, round(at + duration, 6)
        )

    def _maintenance(self) -> Iterator[traces.Maintenance]:
        for _ in range(self._shape.maintenance_notices):
            at = self._rng.uniform(0.1, 0.5) * self._shape.seconds
            yield traces.Maintenance(
                at=round(at, 6),
                domain=traces.Domain.RACK,
                name=self._rng.choice(self.racks()),
                deadline=round(at + 0.2 * self._shape.seconds, 6),
                seconds=0.1 * self._shape.seconds,
            )


def _poisson(rng: random.Random, mean: float) -> int:
    """Return a Poisson variate by counting exponential intervals."""
    count = 0
    at = rng.expovariate(1.0)
    while at < mean:
        count += 1
        at += rng.expovariate(1.0)
    return count


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('deployment', choices=sorted(SAMPLES))
    parser.add_argument('file', type=pathlib.Path)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=60.0)
    parser.add_argument('--rate', type=float, default=20.0)
    parsed = parser.parse_args(arguments)
    shape = Shape(seconds=parsed.seconds, requests_per_s=parsed.rate)
    generator = TraceGenerator(SAMPLES[parsed.deployment], shape, parsed.seed)
    events = generator.events()
    count = traces.write(parsed.file, generator.header(), events)
    expected_outcomes.write(
        parsed.file, expected_outcomes.ExpectedOutcomes.from_events(events)
    )
    print(f'{count} events in {parsed.file}')
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))

"""Generates seeded traces of fleet events."""

from __future__ import annotations

import dataclasses
import random

from verbenastream import ids
from verbenastream.version.documents import schema
from verbenastream.version import fleet
from verbenastream.version import planning

DAY_S = 86_400.0
# Monday 1 January 2024, 00:00 UTC.
START = 1_704_067_200.0


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesDown:
    instances: tuple[ids.InstanceId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementsMissed:
    """The entries detect that the instances stopped announcing themselves."""

    instances: tuple[ids.InstanceId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesUp:
    instances: tuple[ids.InstanceId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceRebooted:
    instance: ids.InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceDrained:
    instance: ids.InstanceId
    epoch: ids.Epoch


@dataclasses.dataclass(frozen=True, slots=True)
class DemandChanged:
    demand: dict[str, planning.Demand]


@dataclasses.dataclass(frozen=True, slots=True)
class NoticeReceived:
    notice: planning.Notice


@dataclasses.dataclass(frozen=True, slots=True)
class NoticeEnded:
    id: str


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentSubmitted:
    document: schema.Document


@dataclasses.dataclass(frozen=True, slots=True)
class ObserverPartitioned:
    """The first data centre no longer sees ``instances``, which are up."""

    instances: frozenset[ids.InstanceId]


Event = (
    InstancesDown
    | AnnouncementsMissed
    | InstancesUp
    | InstanceRebooted
    | InstanceDrained
    | DemandChanged
    | NoticeReceived
    | NoticeEnded
    | DocumentSubmitted
    | ObserverPartitioned
)


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Size and layout of one deployment.

    ``weights`` are those of short wait, buffer and moves.
    """

    name: str
    services: tuple[str, ...]
    data_centres: tuple[str, ...]
    cores: float
    weights: tuple[float, float, float]
    instances: int = 4
    # Commitments, headroom and reserve of the five pools use the whole fleet,
    # as a free instance would hide a reserve that is too small.
    workers: int = 28
    regions: int = 1

    def data_centres_of(self, service: str) -> tuple[str, ...]:
        """Return the data centres of the region that runs ``service``."""
        region = self.services.index(service) % self.regions
        return self.data_centres[region :: self.regions]

    def is_spare(self, service: str) -> bool:
        """Whether it is a spare pool; each region has one."""
        if self.regions == 1:
            return service == 'support'
        return self.services.index(service) < self.regions


MEXICO = Deployment(
    'mexico',
    ('activity', 'occupation', 'product', 'support', 'tariff'),
    ('mx-1', 'mx-2', 'mx-3'),
    16.0,
    (2.0, 1.0, 1.0),
)
GHANA = Deployment(
    'ghana',
    ('audit', 'cocoa', 'cooperative', 'plot', 'support'),
    ('gh-1', 'gh-2', 'gh-3'),
    32.0,
    (1.0, 2.0, 2.0),
)
DEPLOYMENTS = (MEXICO, GHANA)


def two_year_projection(workers: int) -> Deployment:
    """Return the size expected in two years, scaled to ``workers``.

    The projection has 33 pools and 1,200 workers.
    """
    pools = max(5, round(33 * workers / 1_200))
    return Deployment(
        f'two-years-{workers}',
        tuple(f'service-{position:02}' for position in range(pools)),
        tuple(f'dc-{position:02}' for position in range(18)),
        32.0,
        (1.0, 1.0, 1.0),
        # Commitment, headroom and reserve together fill the fleet.
        instances=int(workers / pools * 0.75),
        workers=workers,
        regions=5,
    )


@dataclasses.dataclass
class Trace:
    """Initial fleet and documents, and events by time."""

    seed: int
    start: float
    end: float
    data_centres: tuple[str, ...]
    records: dict[ids.InstanceId, fleet.InstanceRecord]
    documents: dict[str, schema.Document]
    events: list[tuple[float, Event]]
    drain_s: float = 300.0
    reboot_s: float = 900.0
    no_return_share: float = 0.02


def document(
    deployment: Deployment,
    service: str,
    instances: int,
    max_unavailable: int = 1,
) -> schema.Document:
    """Return a document with maintenance windows on nights of working days."""
    return schema.Document(
        service=service,
        team=service,
        instances=instances,
        data_centres=deployment.data_centres_of(service),
        operations={},
        customers={},
        maintenance=schema.MaintenancePolicy(
            windows=(
                schema.MaintenanceWindow(
                    days=(
                        schema.Weekday.MONDAY,
                        schema.Weekday.TUESDAY,
                        schema.Weekday.WEDNESDAY,
                        schema.Weekday.THURSDAY,
                    ),
                    start_hour=2,
                    hours=5,
                ),
            ),
            max_unavailable=max_unavailable,
            drain_timeout_s=600.0,
            escalation=schema.DrainEscalation.CHECKPOINT,
        ),
        headroom=0.2,
        spare=deployment.is_spare(service),
    )


def records(
    deployment: Deployment, rng: random.Random
) -> dict[ids.InstanceId, fleet.InstanceRecord]:
    """Return workers in racks of four, maintained within four weeks."""
    records_by_id = {}
    for position in range(deployment.workers):
        rack = position // 4
        data_centre = deployment.data_centres[
            rack % len(deployment.data_centres)
        ]
        instance = ids.InstanceId(f'{deployment.name}-{position:03}')
        records_by_id[instance] = fleet.InstanceRecord(
            id=instance,
            data_centre=ids.DataCentreId(data_centre),
            rack=ids.RackId(f'rack-{rack:02}'),
            address='127.0.0.1',
            port=10_000 + position,
            resources=fleet.Resources(deployment.cores, 64.0),
            maintained_at=START - rng.uniform(0.0, 21.0) * DAY_S,
        )
    return records_by_id


def generate(
    deployment: Deployment,
    seed: int,
    days: float = 28.0,
    peak_interval_s: float = 600.0,
    max_unavailable: int = 1,
) -> Trace:
    """Return a trace with all kinds of fleet events.

    The services have their peaks of demand in turn, one every
    ``peak_interval_s``.
    """
    rng = random.Random(f'{deployment.name}-{seed}')
    fleet_records = records(deployment, rng)
    end = START + days * DAY_S
    trace = Trace(
        seed=seed,
        start=START,
        end=end,
        data_centres=deployment.data_centres,
        records=fleet_records,
        documents={
            service: document(
                deployment, service, deployment.instances, max_unavailable
            )
            for service in deployment.services
        },
        events=[],
    )
    _add_single_failures(trace, rng, days)
    _add_domain_losses(trace, rng, days)
    _add_notice(trace, rng, days)
    _add_demand(trace, deployment, rng, days, peak_interval_s)
    trace.events.sort(key=lambda item: item[0])
    return trace


def _add_outage(
    trace: Trace,
    at: float,
    instances: tuple[ids.InstanceId, ...],
    duration_s: float,
) -> None:
    trace.events.append((at, InstancesDown(instances)))
    trace.events.append((at + duration_s, InstancesUp(instances)))


def _add_single_failures(
    trace: Trace, rng: random.Random, days: float
) -> None:
    """Add the daily 21 failures and 370 restarts of 1,200 instances."""
    instances = sorted(trace.records)
    instance_days_ratio = len(instances) / 1_200 * days
    for _ in range(round(21 * instance_days_ratio)):
        at = trace.start + rng.uniform(600.0, days * DAY_S)
        _add_outage(
            trace, at, (rng.choice(instances),), rng.uniform(600.0, 7_200.0)
        )
    for _ in range(round(370 * instance_days_ratio)):
        at = trace.start + rng.uniform(600.0, days * DAY_S)
        _add_outage(
            trace, at, (rng.choice(instances),), rng.uniform(20.0, 110.0)
        )


def _add_domain_losses(trace: Trace, rng: random.Random, days: float) -> None:
    """Add losses of a rack and a data centre, and a network partition.

    An instance of another rack fails after the loss of the rack. The
    partition hides all instances from the first data centre.
    """
    by_rack: dict[str, list[ids.InstanceId]] = {}
    by_data_centre: dict[str, list[ids.InstanceId]] = {}
    for record in trace.records.values():
        by_rack.setdefault(record.rack, []).append(record.id)
        by_data_centre.setdefault(record.data_centre, []).append(record.id)
    trace_s = days * DAY_S
    at = trace.start + rng.uniform(0.1, 0.4) * trace_s
    rack = rng.choice(sorted(by_rack))
    outage_s = rng.uniform(1_800.0, 3 * 3_600.0)
    _add_outage(trace, at, tuple(by_rack[rack]), outage_s)
    other_rack = rng.choice(sorted(set(by_rack) - {rack}))
    _add_outage(
        trace, at + outage_s + 60.0, (by_rack[other_rack][0],), 3_600.0
    )
    at = trace.start + rng.uniform(0.5, 0.8) * trace_s
    data_centre = rng.choice(sorted(by_data_centre))
    _add_outage(trace, at, tuple(by_data_centre[data_centre]), 3_600.0)
    partition_at = trace.start + rng.uniform(0.82, 0.95) * trace_s
    trace.events.append(
        (partition_at, ObserverPartitioned(frozenset(trace.records)))
    )
    trace.events.append(
        (partition_at + 3_600.0, ObserverPartitioned(frozenset()))
    )


def _add_notice(trace: Trace, rng: random.Random, days: float) -> None:
    """Add a platform notice that a rack goes down in ten minutes."""
    record = trace.records[rng.choice(sorted(trace.records))]
    rack = (record.data_centre, record.rack)
    rack_instances = tuple(
        other.id
        for other in trace.records.values()
        if (other.data_centre, other.rack) == rack
    )
    at = trace.start + rng.uniform(0.42, 0.48) * days * DAY_S
    notice = planning.Notice(
        id=f'notice-{trace.seed}',
        down_at=at + 600.0,
        until=at + 600.0 + 3_600.0,
        racks=(rack,),
    )
    trace.events.append((at, NoticeReceived(notice)))
    _add_outage(trace, notice.down_at, rack_instances, 3_590.0)
    trace.events.append((notice.until, NoticeEnded(notice.id)))
    trace.events.append((notice.until + 1.0, InstancesUp(rack_instances)))


def _add_demand(
    trace: Trace,
    deployment: Deployment,
    rng: random.Random,
    days: float,
    peak_interval_s: float,
) -> None:
    """Add demand peaks of each service in turn.

    A peak is five times the mean for 5 to 20 s; between peaks the demand is
    a twentieth of the mean. One service has a higher lasting demand for a
    quarter of the trace.
    """
    busy_service = rng.choice(deployment.services)
    busy_from = trace.start + 0.2 * days * DAY_S
    busy_until = trace.start + 0.45 * days * DAY_S
    at = trace.start + peak_interval_s
    peak_index = 0
    while at < trace.end:
        peaking = deployment.services[peak_index % len(deployment.services)]
        peak_length_s = rng.uniform(5.0, 20.0)
        for is_peak, event_at in ((True, at), (False, at + peak_length_s)):
            demand = {}
            for service in deployment.services:
                mean_demand = 0.55 * deployment.instances
                lasting_demand = mean_demand * rng.uniform(0.9, 1.1)
                if service == busy_service and busy_from < at < busy_until:
                    lasting_demand = 1.3 * deployment.instances
                factor = 5.0 if is_peak and service == peaking else 0.05
                demand[service] = planning.Demand(
                    mean_demand * factor, lasting_demand
                )
            trace.events.append((event_at, DemandChanged(demand)))
        at += peak_interval_s
        peak_index += 1

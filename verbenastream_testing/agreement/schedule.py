"""Runs one seeded fault schedule and checks what clients saw."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import random

from verbenastream_testing.agreement import checks as invariants
from verbenastream_testing.agreement import clients as simulated_clients
from verbenastream_testing.agreement import cluster as clusters
from verbenastream_testing.agreement import faults
from verbenastream_testing.agreement import linearizability
from verbenastream_testing.agreement import replica as replicas

_FAULTS_UNTIL_S = 12.0
_RECOVERY_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What one schedule did; ``violation`` is empty if all checks held."""

    seed: int
    violation: str
    completed: int
    unknown: int
    steps: int
    syncs: int
    counts_by_fault: dict[faults.Fault, int]


def run(
    seed: int,
    make_variant: Callable[[], replicas.Variant] = replicas.Variant,
    kinds: tuple[faults.Fault, ...] = tuple(faults.Fault),
) -> Outcome:
    """Run the schedule of ``seed`` with faults of ``kinds``.

    Every fifth schedule has five replicas, the others have three.
    """
    rng = random.Random(seed)
    size = 5 if seed % 5 == 0 else 3
    cluster = clusters.Cluster(rng, size, make_variant)
    injector = faults.Injector(cluster)
    history = simulated_clients.History()
    violation = ''
    try:
        _run(cluster, injector, history, kinds)
    except invariants.ViolationError as error:
        violation = str(error)
    except AssertionError as error:
        violation = f'assertion of the core: {error}'
    return Outcome(
        seed,
        violation,
        history.completed,
        history.unknown,
        cluster.steps,
        sum(r.disk.syncs for r in cluster.replicas_by_name.values()),
        injector.counts_by_fault,
    )


def _run(
    cluster: clusters.Cluster,
    injector: faults.Injector,
    history: simulated_clients.History,
    kinds: tuple[faults.Fault, ...],
) -> None:
    rng = cluster.rng
    cluster.start()
    clients = [
        simulated_clients.Client(cluster, history, habit)
        for habit in simulated_clients.HABITS
    ]
    for client in clients:
        client.start()
    at = 1.5
    while at < _FAULTS_UNTIL_S:
        kind = rng.choice(kinds)
        cluster.at(at, lambda kind=kind: injector.inject(kind))
        at += rng.expovariate(1.0)
    cluster.run_until(_FAULTS_UNTIL_S)
    injector.heal()
    completed = history.completed
    cluster.run_until(_FAULTS_UNTIL_S + _RECOVERY_S)
    for client in clients:
        client.stopped = True
    if history.completed == completed:
        raise invariants.ViolationError('no progress after all faults ended')
    _check_end(cluster)
    key = linearizability.find_violation(history.operations)
    if key is not None:
        raise invariants.ViolationError(
            f'the history of register {key} is not linearizable'
        )


def _check_end(cluster: clusters.Cluster) -> None:
    leader = cluster.leader()
    if leader is None:
        raise invariants.ViolationError('no leader after all faults ended')
    cluster.checks.finished(leader.applied, leader.machine.digest)
    for replica in cluster.replicas_by_name.values():
        if leader.applied - replica.applied > 20:
            raise invariants.ViolationError(
                f'{replica.name} applied {replica.applied} of'
                f' {leader.applied} entries'
            )

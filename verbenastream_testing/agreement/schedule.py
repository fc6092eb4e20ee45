"""Runs a seeded fault schedule and checks the history of its clients."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import random

from verbenastream.process import storage
from verbenastream_testing.agreement import checks as invariants
from verbenastream_testing.agreement import clients as simulated_clients
from verbenastream_testing.agreement import cluster as clusters
from verbenastream_testing.agreement import faults
from verbenastream_testing.agreement import linearizability
from verbenastream_testing.agreement import replica as replicas

_FAULTS_END_S = 12.0
_RECOVERY_S = 10.0
_MAX_FINAL_LAG_ENTRIES = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a schedule; ``violation`` is empty if all checks pass."""

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
    fault_kinds: tuple[faults.Fault, ...] = tuple(faults.Fault),
) -> Outcome:
    """Run the schedule of ``seed`` with faults of ``fault_kinds``.

    Every fifth seed gives five replicas, the others three.
    """
    rng = random.Random(seed)
    size = 5 if seed % 5 == 0 else 3
    cluster = clusters.Cluster(rng, size, make_variant)
    injector = faults.Injector(cluster)
    history = simulated_clients.History()
    violation = ''
    try:
        _run(cluster, injector, history, fault_kinds)
    except invariants.ViolationError as error:
        violation = str(error)
    except AssertionError as error:
        violation = f'assertion failed: {error}'
    except storage.DamagedFileError as error:
        violation = str(error)
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
    fault_kinds: tuple[faults.Fault, ...],
) -> None:
    rng = cluster.rng
    cluster.start()
    clients = [
        simulated_clients.Client(cluster, history, profile)
        for profile in simulated_clients.CLIENT_PROFILES
    ]
    for client in clients:
        client.start()
    fault_at = 1.5
    while fault_at < _FAULTS_END_S:
        fault = rng.choice(fault_kinds)
        cluster.schedule(fault_at, lambda fault=fault: injector.inject(fault))
        fault_at += rng.expovariate(1.0)
    cluster.run_until(_FAULTS_END_S)
    injector.heal()
    completed = history.completed
    cluster.run_until(_FAULTS_END_S + _RECOVERY_S)
    for client in clients:
        client.stopped = True
    if history.completed == completed:
        raise invariants.ViolationError('no progress after all faults ended')
    _check_final_state(cluster)
    key = linearizability.find_violation(history.operations)
    if key is not None:
        raise invariants.ViolationError(
            f'the history of register {key} is not linearizable'
        )


def _check_final_state(cluster: clusters.Cluster) -> None:
    leader = cluster.leader()
    if leader is None:
        raise invariants.ViolationError('no leader after all faults ended')
    cluster.checker.check_final_history(leader.applied, leader.machine.digest)
    for replica in cluster.replicas_by_name.values():
        if leader.applied - replica.applied > _MAX_FINAL_LAG_ENTRIES:
            raise invariants.ViolationError(
                f'{replica.name} applied {replica.applied} of'
                f' {leader.applied} entries'
            )

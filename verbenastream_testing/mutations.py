"""Applies deliberate faults to the code and checks that a feature fails.

``python -m verbenastream_testing.mutations`` copies the repository, applies
one mutation at a time to the copy and runs the features that must detect it.
The exit status is 0 only if every mutation was caught.
"""

from __future__ import annotations

import dataclasses
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_REPOSITORY = pathlib.Path(__file__).parent.parent
_COPIED_FOLDERS = (
    'verbenastream',
    'verbenastream_testing',
    'bench',
    'features',
    'platform',
    'deploy',
)
# A feature that does not end under a mutation counts as failed.
_FEATURE_TIMEOUT_S = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class Mutation:
    """Replaces ``old`` by ``new`` in ``path``; ``features`` must fail."""

    name: str
    path: str
    old: str
    new: str
    features: tuple[str, ...]


MUTATIONS = (
    Mutation(
        'records are acknowledged without fsync',
        'verbenastream/process/storage/store.py',
        '        self._disk.sync(segment.name)\n',
        '        pass\n',
        ('storage.feature', 'agreement_replicator.feature'),
    ),
    Mutation(
        'the lease of a leader never expires',
        'verbenastream/process/agreement/leading.py',
        'return state.now < self.quorum_acked_at() + state.timings.lease_s',
        'return True',
        ('agreement.feature',),
    ),
    Mutation(
        'an entry without a lease serves without a majority',
        'verbenastream/process/entry/quorum.py',
        'return 2 * confirmed > len(self._registered)',
        'return True',
        ('serving_without_control.feature',),
    ),
    Mutation(
        'a transition is applied despite a stale epoch',
        'verbenastream/version/planning/plan.py',
        'if record.epoch != transition.expected_epoch:',
        'if False:',
        ('membership_presence.feature', 'planning.feature'),
    ),
    Mutation(
        'an instance moves between pools without a drain',
        'verbenastream/version/planning/plan.py',
        'allowed = transition.state in _NEXT_STATES[record.state]',
        'allowed = True',
        ('membership_presence.feature', 'planning.feature'),
    ),
    Mutation(
        'non-idempotent work is retried',
        'verbenastream/request/retries/policy.py',
        '    elif not request.idempotent:\n',
        '    elif False:\n',
        ('request.feature',),
    ),
    Mutation(
        'keyed work is retried after bytes were sent',
        'verbenastream/request/retries/policy.py',
        '        if history.bytes_sent:\n',
        '        if False:\n',
        ('request.feature',),
    ),
    Mutation(
        'a key is accepted for a different request',
        'verbenastream/process/state/claims.py',
        'if record.digest != claim.digest or record.service != claim.service:',
        'if False:',
        ('claims_log.feature',),
    ),
    Mutation(
        'signatures are not checked',
        'verbenastream/connection/peers/signature.py',
        '        if not hmac.compare_digest(\n',
        '        if False and not hmac.compare_digest(\n',
        ('peers.feature',),
    ),
    Mutation(
        'a truncated response is ended as complete',
        'verbenastream/process/entry/calls.py',
        '            if call.request.transport is not None:\n'
        '                call.request.transport.abort()\n',
        '            await stream.write_eof()\n',
        ('proxying.feature',),
    ),
    Mutation(
        'a new leader does not wait for the leases of its predecessor',
        'verbenastream/process/jobqueue/dispatcher.py',
        '            until = inherited_until\n',
        '            until = self.took_over_at\n',
        ('jobqueue_faults.feature',),
    ),
    Mutation(
        'a task starts again after it has succeeded',
        'verbenastream/process/jobqueue/state.py',
        'if task.phase in (model.TaskPhase.DONE, model.TaskPhase.FAILED):\n'
        '            return False\n',
        'if task.phase is model.TaskPhase.FAILED:\n            return False\n',
        ('jobqueue.feature',),
    ),
    Mutation(
        'a task starts beyond the limit per worker',
        'verbenastream/process/jobqueue/state.py',
        '        if step.per_worker:\n',
        '        if False:\n',
        ('jobqueue.feature',),
    ),
    Mutation(
        'an older configuration replaces a newer one',
        'verbenastream/process/jobqueue/state.py',
        'command.configuration.version > current.version',
        'True',
        ('jobqueue.feature',),
    ),
    Mutation(
        'the capacity of an ended run is not reused',
        'verbenastream/process/jobqueue/dispatcher.py',
        'the ended runs.\n'
        '            self.scheduler.mark_capacity_freed(worker)',
        'the ended runs.',
        ('jobqueue_load.feature',),
    ),
    Mutation(
        'waiting long-running tasks request no instance',
        'verbenastream/process/jobqueue/demand.py',
        '            load.long_running_workers += needed\n',
        '            pass\n',
        ('jobqueue.feature',),
    ),
    Mutation(
        'a worker is reserved for a task that can have no room there',
        'verbenastream/process/jobqueue/forecasts.py',
        '        if not capacity.fits(capacity.reservation(step), most):\n',
        '        if False:\n',
        ('jobqueue_reservations.feature',),
    ),
    Mutation(
        'nothing is kept free on a reserved worker',
        'verbenastream/process/jobqueue/reservations.py',
        '                free = capacity.subtract(free, reservation.need)\n',
        '                pass\n',
        ('jobqueue_reservations.feature',),
    ),
    Mutation(
        'a waiting call stays with a silent leader',
        'verbenastream/process/node/relay.py',
        '                if self._directory.leader not in (None, leader):\n',
        '                if False:\n',
        ('node_relay.feature',),
    ),
    Mutation(
        'a new owner of slots is not told about abandoned uses',
        'verbenastream/request/slots/holder.py',
        '            if not end_confirmed:\n'
        '                self._abandoned_uses',
        '            if False:\n                self._abandoned_uses',
        ('slots.feature',),
    ),
    Mutation(
        'an owner keeps granting slots after it lost its lease',
        'verbenastream/request/dispatch.py',
        '        self._owner.suspend_grants()\n',
        '',
        ('slots.feature',),
    ),
    Mutation(
        'a request is sent under an expired grant',
        'verbenastream/process/entry/attempts.py',
        'lambda: self._clock() < start.permitted_until',
        'lambda: True',
        ('proxying.feature',),
    ),
    Mutation(
        'the platform is called under an expired permission',
        'verbenastream/connection/sending.py',
        '    if is_permitted is not None and not is_permitted():\n',
        '    if False:\n',
        ('platform_services.feature', 'proxying.feature'),
    ),
    Mutation(
        'the end of a worker is read from a list older than its heartbeat',
        'verbenastream/process/jobqueue/lost_workers.py',
        '    if listing.requested_at <= worker.seen_at + _LISTING_LAG_S:\n',
        '    if False:\n',
        ('worker_leases.feature',),
    ),
    Mutation(
        'a worker whose instance is missing from the list counts as ended',
        'verbenastream/process/jobqueue/lost_workers.py',
        '        announced_at is not None\n',
        '        True\n',
        ('worker_leases.feature',),
    ),
    Mutation(
        'an announced shutdown closes the next process of a worker',
        'verbenastream/process/jobqueue/workers.py',
        '        if not heartbeat.draining:\n',
        '        if False:\n',
        ('worker_leases.feature',),
    ),
    Mutation(
        'a replica without a majority names itself as leader',
        'verbenastream/process/node/replica.py',
        '            directory.forget_leader(self._config.peers)\n',
        '            pass\n',
        ('node_directory.feature',),
    ),
    Mutation(
        'a silent worker counts as ended',
        'verbenastream/process/jobqueue/lost_workers.py',
        "return instance.worker not in ('', worker.id)",
        'return True',
        ('worker_leases.feature',),
    ),
    Mutation(
        'the lease of a worker is not renewed while nothing commits',
        'verbenastream/process/node/service.py',
        '            return self._renew_lease(dispatcher, heartbeat)\n',
        '            return None\n',
        ('worker_leases.feature',),
    ),
    Mutation(
        'tasks stay assigned to silent workers',
        'verbenastream/process/jobqueue/dispatcher.py',
        '        self.scheduler.unassign_silent_workers(now)\n',
        '',
        ('jobqueue_load.feature',),
    ),
    Mutation(
        'a worker gets tasks while its move is committed',
        'verbenastream/process/jobqueue/pending_moves.py',
        '        self._set_taken_down(move, True)\n',
        '',
        ('instance_changes.feature',),
    ),
    Mutation(
        'pools get any instance for constrained tasks',
        'verbenastream/process/jobqueue/constraints.py',
        'if all(constraint.is_met_by(*kind) for kind in kinds):',
        'if True:',
        ('jobqueue_kinds.feature',),
    ),
    Mutation(
        'a new leader repeats maintenance calls without a drain',
        'verbenastream/process/jobqueue/upkeep.py',
        '        self._drain(worker, plan)\n        if id in plan.excluded',
        '        return True\n        if id in plan.excluded',
        ('jobqueue_waves.feature',),
    ),
    Mutation(
        'a new leader counts runs as available that it did not start',
        'verbenastream/process/jobqueue/availability.py',
        'now < worker.first_seen_at + _INHERITED_RUN_DELAY_S',
        'False',
        ('jobqueue_waves.feature',),
    ),
    Mutation(
        'the end of one member completes only that member of a gang',
        'verbenastream/process/jobqueue/state.py',
        'job.siblings(end.task) if step.gang else {end.task: task}',
        '{end.task: task}',
        ('jobqueue_gangs.feature',),
    ),
    Mutation(
        'an instance with a damaged row counts as removed',
        'verbenastream/process/jobqueue/instances.py',
        '            or self.has_unreadable_rows\n',
        '',
        ('instance_changes.feature',),
    ),
    Mutation(
        'an instance that one list misses counts as removed',
        'verbenastream/process/jobqueue/upkeep.py',
        'return listing.requested_at > missing_since',
        'return True',
        ('instance_changes.feature',),
    ),
    Mutation(
        'busy workers are evacuated only right before the deadline',
        'verbenastream/process/jobqueue/evacuation.py',
        'times_s[worker_id] = _RESTART_S * max(rounds, default=0)',
        'times_s[worker_id] = 0.0',
        ('jobqueue_waves.feature',),
    ),
)


class MutationError(RuntimeError):
    """A mutation cannot be applied, or a feature fails without one."""


def _copy(folder: pathlib.Path) -> None:
    for name in _COPIED_FOLDERS:
        shutil.copytree(
            _REPOSITORY / name,
            folder / name,
            ignore=shutil.ignore_patterns('__pycache__'),
        )
    for name in ('docs', 'examples'):
        shutil.copytree(_REPOSITORY / name, folder / name)


def _apply(mutation: Mutation, folder: pathlib.Path) -> None:
    path = folder / mutation.path
    text = path.read_text()
    if mutation.old not in text:
        raise MutationError(f'{mutation.path} has no {mutation.old!r}')
    path.write_text(text.replace(mutation.old, mutation.new))


def _failing_features(
    features: Iterable[str], folder: pathlib.Path
) -> tuple[str, ...]:
    """Return which of the features fail in ``folder``."""
    return tuple(feature for feature in features if _fails(feature, folder))


def _fails(feature: str, folder: pathlib.Path) -> bool:
    command = [sys.executable, '-m', 'behave', '--no-color']
    command += ['--format', 'progress', '--tags', 'not soak']
    try:
        result = subprocess.run(
            [*command, f'features/{feature}'],
            cwd=folder,
            env=dict(os.environ, PYTHONPATH=str(folder)),
            capture_output=True,
            check=False,
            timeout=_FEATURE_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return True
    return result.returncode != 0


def _check_unchanged() -> None:
    """Raise ``MutationError`` if a feature fails without any mutation."""
    features = sorted({name for item in MUTATIONS for name in item.features})
    with tempfile.TemporaryDirectory(prefix='verbenastream-') as name:
        folder = pathlib.Path(name)
        _copy(folder)
        failing = _failing_features(features, folder)
    if failing:
        raise MutationError(f'failed without a mutation: {", ".join(failing)}')


def main() -> int:
    _check_unchanged()
    missed_count = 0
    for mutation in MUTATIONS:
        with tempfile.TemporaryDirectory(prefix='verbenastream-') as name:
            folder = pathlib.Path(name)
            _copy(folder)
            _apply(mutation, folder)
            failing = _failing_features(mutation.features, folder)
        missed_count += not failing
        caught_by = ', '.join(failing) if failing else 'NOT CAUGHT'
        print(f'{mutation.name}: {caught_by}', flush=True)
    print(
        f'{len(MUTATIONS) - missed_count} of {len(MUTATIONS)} changes caught'
    )
    return 1 if missed_count else 0


if __name__ == '__main__':
    sys.exit(main())

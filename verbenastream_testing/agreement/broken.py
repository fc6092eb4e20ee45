"""Replicas with deliberate faults that the checks must detect."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process import agreement
from verbenastream.process.agreement import events
from verbenastream.process import storage
from verbenastream_testing.agreement import replica as replicas

if TYPE_CHECKING:
    from verbenastream_testing.agreement import cluster as clusters


class AcknowledgesBeforeSync(replicas.Variant):
    """Reports writes as durable before they are synced."""

    acknowledges_before_sync = True


class AcknowledgesFailedWrites(replicas.Variant):
    """Reports writes as durable although the disk refused them."""

    def handle_storage_failure(
        self, replica: replicas.Replica, sequence: int, reason: str
    ) -> None:
        replica.handle(events.Persisted(sequence))


class RepeatsFailedSync(replicas.Variant):
    """Repeats an fsync that failed and takes its success as proof."""

    def retry(self, store: storage.Store) -> None:
        segment = store._segments[-1]
        try:
            store._disk.sync(segment.name)
            store._disk.sync_folder()
        except OSError as error:
            raise storage.WriteFailedError('fsync', error) from error
        segment.size = len(store._disk.read(segment.name))
        store._last_frame += 1
        store._unwritten.clear()
        store._failure = ''


class ForgetsVote(replicas.Variant):
    """Does not store term and vote, so it votes again after a restart."""

    def prepare_write(self, write: events.Persist) -> events.Persist:
        return dataclasses.replace(write, term=ids.Term(0), voted_for=None)


class IgnoresLease(replicas.Variant):
    """Serves reads as a leader without a valid lease."""

    def make_core(
        self,
        stored: agreement.StoredState,
        cluster: clusters.Cluster,
        now: float,
    ) -> agreement.RaftCore:
        core = super().make_core(stored, cluster, now)
        core.leading.has_lease = lambda: True  # type: ignore[method-assign]
        return core


class IgnoresLiveLeader(replicas.Variant):
    """Votes despite a live leader, so leases of two leaders overlap."""

    def make_core(
        self,
        stored: agreement.StoredState,
        cluster: clusters.Cluster,
        now: float,
    ) -> agreement.RaftCore:
        core = super().make_core(stored, cluster, now)
        core.state.has_recent_leader = (  # type: ignore[method-assign]
            lambda: False
        )
        return core


class CommitsEarlierTerms(replicas.Variant):
    """Commits entries of earlier terms by counting replicas."""

    def make_core(
        self,
        stored: agreement.StoredState,
        cluster: clusters.Cluster,
        now: float,
    ) -> agreement.RaftCore:
        core = super().make_core(stored, cluster, now)
        start = core.leading.start

        def start_without_term_bound() -> None:
            start()
            core.leading.term_start = core.state.log.base_index

        core.leading.start = (  # type: ignore[method-assign]
            start_without_term_bound
        )
        return core


VARIANTS_BY_NAME: dict[str, type[replicas.Variant]] = {
    'acknowledges before fsync': AcknowledgesBeforeSync,
    'acknowledges refused writes': AcknowledgesFailedWrites,
    'repeats a failed fsync': RepeatsFailedSync,
    'forgets its vote': ForgetsVote,
    'ignores its lease': IgnoresLease,
    'ignore a live leader': IgnoresLiveLeader,
    'commits by counting old terms': CommitsEarlierTerms,
}

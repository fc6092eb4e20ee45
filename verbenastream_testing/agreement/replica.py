"""A simulated replica: Raft core, storage in memory and state machine."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process import agreement
from verbenastream.process.agreement import events
from verbenastream.process.agreement import messages
from verbenastream.process import storage
from verbenastream_testing.agreement import checks as invariants
from verbenastream_testing.agreement import memory_disk

if TYPE_CHECKING:
    from verbenastream_testing.agreement import cluster as clusters

# Small sizes make short schedules reach snapshots and new segments.
LIMITS = agreement.Limits(
    batch_bytes=200,
    snapshot_part_bytes=48,
    kept_entries=6,
    max_learner_lag=8,
)
_SNAPSHOT_ENTRIES = 20
_SEGMENT_BYTES = 2_000
_JOIN_INTERVAL_S = 0.25
_RETRY_INTERVAL_S = 0.25

ResultCallback = Callable[[object], None]


class Variant:
    """The real behaviour; subclasses add faults that the checks must find."""

    acknowledges_before_sync = False

    def make_core(
        self,
        stored: agreement.StoredState,
        cluster: clusters.Cluster,
        now: float,
    ) -> agreement.RaftCore:
        return agreement.RaftCore(stored, cluster.rng, now, limits=LIMITS)

    def prepare_write(self, write: events.Persist) -> events.Persist:
        return write

    def handle_storage_failure(
        self, replica: Replica, sequence: int, reason: str
    ) -> None:
        replica.handle(events.StorageFailed(reason))

    def retry(self, store: storage.Store) -> None:
        store.retry()


class Replica:
    """Executes the actions of a Raft core on virtual time."""

    def __init__(
        self,
        name: str,
        number: int,
        cluster: clusters.Cluster,
        variant: Variant,
    ) -> None:
        self.name = name
        self._number = number
        self._cluster = cluster
        self._variant = variant
        self.disk = memory_disk.MemoryDisk(cluster.rng)
        self.core: agreement.RaftCore | None = None
        self.machine = invariants.Registers()
        self.sync_s = 0.002
        self._store: storage.Store | None = None
        self._start_count = 0
        self._applied = 0
        self._pending_writes: list[events.Persist] = []
        self._write_scheduled = False
        self._next_tick_at = float('inf')
        self._callbacks_by_id: dict[int, ResultCallback] = {}
        self._appended_by_index: dict[int, events.Appended] = {}
        # Clocks of different machines differ in rate by up to 1%.
        self._clock_rate = cluster.rng.uniform(0.99, 1.01)
        self._clock_offset = cluster.rng.uniform(0, 1000)

    @property
    def is_up(self) -> bool:
        return self.core is not None

    @property
    def term(self) -> int:
        return self.core.state.term if self.core is not None else 0

    @property
    def failed(self) -> bool:
        return (
            self.core is not None
            and self.core.state.role is agreement.Role.FAILED
        )

    @property
    def is_candidate(self) -> bool:
        return self.core is not None and self.core.state.role in (
            agreement.Role.PRE_CANDIDATE,
            agreement.Role.CANDIDATE,
        )

    @property
    def applied(self) -> int:
        return self._applied

    def local_time(self) -> float:
        return self._clock_offset + self._clock_rate * self._cluster.now

    def member(self) -> agreement.Member:
        assert self.core is not None
        return agreement.Member(
            self.core.state.identity, self.name, '127.0.0.1', self._number
        )

    # Process lifecycle.

    def start(self) -> None:
        if self.core is not None:
            return
        self._start_count += 1
        try:
            self._store, stored = storage.Store.open(
                self.disk,
                self.name,
                self._cluster.new_identity(self.name),
                _SEGMENT_BYTES,
            )
        except (memory_disk.SimulatedCrash, storage.WriteFailedError):
            self.disk.lose_power()
            return
        self.machine = invariants.Registers()
        self._applied = 0
        if stored.snapshot is not None:
            self._restore(stored.snapshot)
        self._pending_writes = []
        self._write_scheduled = False
        self._next_tick_at = float('inf')
        self.core = self._variant.make_core(
            stored, self._cluster, self.local_time()
        )
        self._schedule_tick()
        self._request_join()

    def bootstrap(self, configuration: agreement.Configuration) -> None:
        self.handle(events.BootstrapRequested(configuration))

    def kill(self, power_loss: bool) -> None:
        """End the process; a power loss also discards unsynced data."""
        self.core = None
        self.disk.crash_after = None
        if power_loss:
            self.disk.lose_power()
        callbacks, self._callbacks_by_id = self._callbacks_by_id, {}
        self._appended_by_index = {}
        for callback in callbacks.values():
            callback(agreement.OutcomeUnknownError('the replica crashed'))

    def wipe_disk(self) -> None:
        """Replace the disk by an empty one, so the next identity is new."""
        self.kill(power_loss=False)
        self.disk = memory_disk.MemoryDisk(self._cluster.rng)

    def _request_join(self) -> None:
        assert self.core is not None
        self._schedule(_JOIN_INTERVAL_S, self._request_join)
        if not self.core.wants_to_join(self.local_time()):
            return
        for other in self._cluster.replicas_by_name.values():
            if other is not self and self._cluster.can_reach(
                self.name, other.name
            ):
                other.handle_join(self.member())

    def handle_join(self, member: agreement.Member) -> None:
        self.handle(events.JoinRequested(member))

    def transfer_leadership(self) -> None:
        self.handle(events.TransferRequested())

    # Clients.

    def propose(
        self, payloads_by_id: dict[int, bytes], callback: ResultCallback
    ) -> None:
        for id in payloads_by_id:
            self._callbacks_by_id[id] = callback
        self.handle(events.Proposed(payloads_by_id))

    def read(self, id: int, callback: ResultCallback) -> None:
        self._callbacks_by_id[id] = callback
        self.handle(events.ReadRequested(id))

    # Events and actions.

    def receive(self, envelope: messages.Envelope) -> None:
        self.handle(events.MessageReceived(envelope))

    def handle_send_failure(self, envelope: messages.Envelope) -> None:
        if self.core is not None and (
            self.core.state.identity == envelope.sender
        ):
            self.handle(events.SendFailed(envelope))

    def _schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` after a delay unless the process has ended."""
        start_count = self._start_count

        def run() -> None:
            if self.core is not None and self._start_count == start_count:
                callback()

        self._cluster.schedule(delay_s, run)

    def handle(self, event: events.Event) -> None:
        if self.core is None:
            return
        for action in self.core.handle(event, self.local_time()):
            self._carry_out(action)
            if self.core is None:
                return
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        assert self.core is not None
        due = self.core.deadline
        if due == float('inf') or self._next_tick_at <= due:
            return
        self._next_tick_at = due
        delay = max(0.0, (due - self.local_time()) / self._clock_rate)
        self._schedule(delay + 1e-6, lambda: self._tick(due))

    def _tick(self, due: float) -> None:
        if self._next_tick_at != due:
            return
        self._next_tick_at = float('inf')
        self.handle(events.Tick())

    def _carry_out(self, action: events.Action) -> None:
        match action:
            case events.Send(envelope=envelope):
                self._cluster.send(self.name, envelope)
            case events.Persist():
                self._persist(action)
            case events.Apply(entries=entries):
                self._apply(entries)
            case events.Restore(snapshot=snapshot):
                self._restore(snapshot)
            case events.Appended(index=index):
                self._appended_by_index[index] = action
            case events.Refused(id=id):
                self._answer(id, action)
            case events.ReadReady(id=id):
                self._answer(id, dict(self.machine.values_by_key))
            case events.SteppedDown(reason=reason):
                appended, self._appended_by_index = (
                    self._appended_by_index,
                    {},
                )
                for command in appended.values():
                    error = agreement.OutcomeUnknownError(reason)
                    self._answer(command.id, error)
            case events.Elected(term=term):
                identity = self.member().id
                self._cluster.checker.check_election(term, identity)

    def _answer(self, id: int, result: object) -> None:
        callback = self._callbacks_by_id.pop(id, None)
        if callback is not None:
            callback(result)

    def _persist(self, write: events.Persist) -> None:
        self._pending_writes.append(write)
        if self._variant.acknowledges_before_sync:
            sequence = write.sequence
            self._schedule(
                0.0, lambda: self.handle(events.Persisted(sequence))
            )
        if not self._write_scheduled:
            self._schedule_write()

    def _write(self) -> None:
        assert self._store is not None
        writes, self._pending_writes = self._pending_writes, []
        prepared = [self._variant.prepare_write(write) for write in writes]
        sequence = writes[-1].sequence
        try:
            self._store.write(prepared)
        except memory_disk.SimulatedCrash:
            self.kill(power_loss=True)
        except storage.WriteFailedError as error:
            self._schedule(_RETRY_INTERVAL_S, lambda: self._retry(sequence))
            self._variant.handle_storage_failure(self, sequence, str(error))
        else:
            self._finish_write(sequence)

    def _retry(self, sequence: int) -> None:
        """Repeat the failed writes as ``GroupCommit`` does."""
        assert self._store is not None
        try:
            self._variant.retry(self._store)
        except memory_disk.SimulatedCrash:
            self.kill(power_loss=True)
        except storage.WriteFailedError:
            self._schedule(_RETRY_INTERVAL_S, lambda: self._retry(sequence))
        else:
            self.handle(events.StorageRecovered())
            self._finish_write(sequence)

    def _finish_write(self, sequence: int) -> None:
        self._write_scheduled = False
        if self._pending_writes:
            self._schedule_write()
        self.handle(events.Persisted(sequence))

    def _schedule_write(self) -> None:
        self._write_scheduled = True
        self._schedule(self.sync_s, self._write)

    def _apply(self, entries: tuple[messages.Entry, ...]) -> None:
        checker = self._cluster.checker
        for entry in entries:
            self.machine.apply(entry)
            checker.check_applied(
                self.name, self._applied, entry, self.machine.digest
            )
            self._applied = entry.index
            appended = self._appended_by_index.pop(entry.index, None)
            if appended is not None and appended.term == entry.term:
                checker.record_acknowledgement(appended.id, entry.index)
                self._answer(appended.id, None)
        assert self.core is not None
        snapshot = self.core.state.log.snapshot
        snapshot_index = snapshot.index if snapshot is not None else 0
        if self._applied - snapshot_index >= _SNAPSHOT_ENTRIES:
            self._schedule(0.0, self._take_snapshot)

    def _take_snapshot(self) -> None:
        index = ids.LogIndex(self._applied)
        self.handle(events.SnapshotTaken(index, self.machine.snapshot()))

    def _restore(self, snapshot: agreement.Snapshot) -> None:
        self.machine.restore(snapshot.data)
        self._cluster.checker.check_restored(
            self.name, self._applied, snapshot.index, self.machine.digest
        )
        self._applied = snapshot.index

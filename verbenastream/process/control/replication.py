"""Connects the Raft core to the disk, the other replicas and the clock."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import pathlib
import random
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING
import uuid

import logbook
import reactivex

from verbenastream.connection import peers as peer_calls
from verbenastream import errors
from verbenastream import ids
from verbenastream.process import agreement
from verbenastream.process.agreement import events
from verbenastream.process.agreement import group_commit
from verbenastream.process.agreement import messages
from verbenastream.process import background
from verbenastream.process import clock
from verbenastream.process.control import joining
from verbenastream.process.control import pending_requests
from verbenastream.process.control import replica_status
from verbenastream.process import settings
from verbenastream.process import storage
from verbenastream import wire

if TYPE_CHECKING:
    from verbenastream.process.settings import ControlSettings
    from verbenastream.process.settings import Peer

LOG = logbook.Logger(__name__)

# The receiver replies after its fsync, which may take longer than a heartbeat
# interval. The core repeats a request on its own before this timeout.
_CALL_TIMEOUT_S = 3.0
# Log entries between two snapshots; a restart replays at most this many.
_SNAPSHOT_ENTRIES = 10_000
# Payload bytes between two snapshots, or the size of the last snapshot if that
# is larger, so that no more is written for snapshots than for the log. With
# the kept entries and two snapshots, which exist side by side while one is
# replaced, it bounds the data folder, and what an empty replica has to fetch.
_SNAPSHOT_LOG_BYTES = 4 * 2**20
_HANDOVER_TIMEOUT_S = 1.0
_LEAVE_TIMEOUT_S = 0.5
_OPENING_INTERVAL_S = 0.5


class StateMachine(Protocol):
    """The replicated state; deterministic, so that all replicas agree."""

    def apply(self, index: ids.LogIndex, payload: bytes) -> Any:
        """Apply one command and return its result."""
        ...

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        ...


class Replicator:
    """One replica of the log.

    ::

        replicator = Replicator.from_config(config, state_machine, peers)
        await replicator.start()
        result = await replicator.propose(payload)
    """

    def __init__(
        self,
        config: ControlSettings,
        state_machine: StateMachine,
        transport: joining.Transport,
        disk: storage.Disk,
        rng: random.Random,
        snapshot_entries: int = _SNAPSHOT_ENTRIES,
        discovery: joining.ReplicaDiscovery | None = None,
        limits: agreement.Limits = agreement.Limits(),
    ) -> None:
        self._config = config
        self._limits = limits
        self._discovery = discovery or joining.ConfiguredReplicas(config)
        self._snapshot_entries = snapshot_entries
        self._state_machine = state_machine
        self._transport = transport
        self._disk = disk
        self._rng = rng
        self.applied: reactivex.Subject[ids.LogIndex] = reactivex.Subject()
        self._core: agreement.RaftCore | None = None
        self._group_commit: group_commit.GroupCommit | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_deadline = 0.0
        self._join_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._pending = pending_requests.PendingRequests()
        self._proposals_by_id: dict[int, bytes] = {}
        self._replies_by_key: dict[
            tuple[ids.ReplicaId, int], asyncio.Future[bytes]
        ] = {}
        self._clock: Callable[[], float] = clock.boot_time
        # Payload bytes that were applied since the last snapshot.
        self._bytes_since_snapshot = 0
        self._opening_failure = ''
        self._opening_task: asyncio.Task[None] | None = None
        self._stopping = False
        self._closed = False

    @classmethod
    def from_config(
        cls,
        config: ControlSettings,
        state_machine: StateMachine,
        peers: joining.Transport,
        discovery: joining.ReplicaDiscovery | None = None,
        limits: agreement.Limits = agreement.Limits(),
    ) -> Replicator:
        """Lock the data folder and return a replica that is not started.

        Raises ``storage.FolderInUseError``.
        """
        disk = storage.FolderDisk(pathlib.Path(config.data_folder))
        return cls(
            config,
            state_machine,
            peers,
            disk,
            random.Random(),
            discovery=discovery,
            limits=limits,
        )

    async def start(self) -> None:
        """Recover from the disk and join the replication of the log.

        If the disk accepts no writes, this is tried again until it does.
        Raises ``storage.StorageError`` if the data folder is damaged.
        """
        try:
            self._open()
        except storage.WriteFailedError as error:
            self._opening_failure = str(error)
            LOG.error('opening the data folder failed: {}', error)
            self._opening_task = asyncio.create_task(self._open_later())

    async def _open_later(self) -> None:
        while self._core is None:
            await asyncio.sleep(_OPENING_INTERVAL_S)
            try:
                self._open()
            except storage.StorageError as error:
                self._opening_failure = str(error)
        LOG.notice('the data folder is open')

    def _open(self) -> None:
        store, stored = storage.Store.open(
            self._disk,
            self._config.id,
            ids.ReplicaId(str(uuid.uuid4())),
        )
        self._opening_failure = ''
        if stored.snapshot is not None:
            self._state_machine.restore(stored.snapshot.data)
        timings = self._config.timings
        self._core = agreement.RaftCore(
            stored,
            self._rng,
            self._clock(),
            agreement.Timings(
                timings.heartbeat_s,
                timings.election_min_s,
                timings.election_max_s,
            ),
            self._limits,
        )
        self._group_commit = group_commit.GroupCommit(store, self._handle)
        self._schedule()
        self._join_task = asyncio.create_task(
            background.run_forever('joining', self._new_joiner().run)
        )

    async def stop(self) -> None:
        """Hand over leadership, finish writes and release the data folder."""
        if self._stopping:
            return
        self._stopping = True
        if self._opening_task is not None:
            self._opening_task.cancel()
        if self._core is None:
            self._disk.close()
            return
        if self._join_task is not None:
            self._join_task.cancel()
        await self._wait_for_follower()
        self._handle(events.TransferRequested())
        await self._announce_leave()
        if self._timer is not None:
            self._timer.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_HANDOVER_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()
        for future in self._replies_by_key.values():
            future.cancel()
        self._pending.fail_all('the replica is stopping')
        self._closed = True
        assert self._group_commit is not None
        await self._group_commit.stop()

    async def _announce_leave(self) -> None:
        """Tell the other voters, any of which may lead next, of the stop."""
        state = self._running_core().state
        if not state.is_voter:
            return
        await asyncio.gather(
            *(
                self._announce_leave_to(member)
                for member in state.configuration.members
                if member.id != state.identity
            )
        )

    async def _announce_leave_to(self, member: messages.Member) -> None:
        state = self._running_core().state
        envelope = messages.Envelope(
            state.identity, member.id, 0, messages.Leave()
        )
        peer = settings.Peer(address=member.address, port=member.port)
        try:
            await self._transport.call_raw(
                peer,
                joining.RAFT_PATH,
                wire.encode(envelope),
                _LEAVE_TIMEOUT_S,
            )
        except peer_calls.PeerError as error:
            LOG.debug('announcing the stop to {} failed: {}', peer, error)

    async def transfer_leadership(self) -> None:
        """Transfer leadership to another replica and stay a voter."""
        await self._wait_for_follower()
        self._handle(events.TransferRequested())

    async def _wait_for_follower(self) -> None:
        """Wait until a follower is up to date, ready to be elected."""
        end = self._clock() + _HANDOVER_TIMEOUT_S
        core = self._running_core()
        while core.is_leader and self._clock() < end:
            last = core.state.log.last_index
            progress = core.leading.progress_by_id.values()
            if any(other.match == last for other in progress):
                return
            await asyncio.sleep(self._config.timings.heartbeat_s / 4)

    async def propose(self, payload: bytes) -> Any:
        """Return the result of ``apply`` once the command is committed.

        Raises ``NotLeaderError`` if the command was not accepted,
        ``CommandTooLargeError`` if no replica would accept it and
        ``OutcomeUnknownError`` if leadership was lost before the commit.
        """
        max_bytes = self._limits.max_command_bytes
        if len(payload) > max_bytes:
            raise agreement.CommandTooLargeError(len(payload), max_bytes)
        if self._stopping or self._core is None:
            raise peer_calls.NotLeaderError(self.leader)
        request_id, future = self._pending.create()
        if not self._proposals_by_id:
            asyncio.get_running_loop().call_soon(self._propose_queued)
        self._proposals_by_id[request_id] = payload
        return await future

    def _propose_queued(self) -> None:
        queued, self._proposals_by_id = self._proposals_by_id, {}
        self._handle(events.Proposed(queued))

    async def read_barrier(self) -> ids.LogIndex:
        """Return an applied index that covers all completed commands.

        Later reads of the state are linearizable. Raises ``NotLeaderError``.
        """
        if self._core is None:
            raise peer_calls.NotLeaderError(None)
        request_id, future = self._pending.create()
        self._handle(events.ReadRequested(request_id))
        return await future

    async def handle_message(self, body: bytes) -> bytes:
        """Process the body of a ``/v1/raft`` call and return the reply.

        The reply is empty if there is none. Raises ``ValueError`` for a body
        that cannot be decoded.
        """
        core = self._core
        if core is None or self._closed:
            return b''
        if core.state.role is agreement.Role.FAILED:
            return b''
        envelope = wire.decode(body, messages.Envelope)
        if isinstance(envelope.message, messages.Join):
            return self._handle_join(envelope, envelope.message)
        if envelope.recipient != core.state.identity:
            return b''
        if isinstance(envelope.message, messages.Leave):
            self._handle(events.LeaveAnnounced(envelope.sender))
            return b''
        if isinstance(envelope.message, messages.TimeoutNow):
            self._handle(events.MessageReceived(envelope))
            return b''
        key = (envelope.sender, envelope.sequence)
        future = asyncio.get_running_loop().create_future()
        self._replies_by_key[key] = future
        self._handle(events.MessageReceived(envelope))
        try:
            return await asyncio.wait_for(future, _CALL_TIMEOUT_S)
        except asyncio.TimeoutError:
            return b''
        finally:
            self._replies_by_key.pop(key, None)

    @property
    def is_open(self) -> bool:
        """Whether the state has been recovered from the data folder."""
        return self._core is not None

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and its lease has not expired."""
        if self._core is None:
            return False
        return self._core.holds_lease(self._clock())

    @property
    def term(self) -> ids.Term:
        """Current term; 0 before the start."""
        if self._core is None:
            return ids.Term(0)
        return self._core.state.term

    @property
    def leader(self) -> Peer | None:
        """Address of the leader as far as it is known."""
        if self._core is None:
            return None
        return self._peer_of(self._core.state.leader)

    def status(self) -> replica_status.ReplicaStatus:
        """Return the state of this replica for operators and metrics."""
        name = self._config.id
        if self._core is None:
            return replica_status.ReplicaStatus.before_opening(
                name, self._opening_failure
            )
        return replica_status.ReplicaStatus.from_core(name, self._core)

    # Events and actions of the core.

    def _running_core(self) -> agreement.RaftCore:
        if self._core is None:
            raise errors.VerbenastreamError(
                'the replica is not started', 'Wait until it is started.'
            )
        return self._core

    def _handle(self, event: events.Event) -> None:
        if self._closed:
            return
        core = self._running_core()
        for action in core.handle(event, self._clock()):
            self._execute(action)
        self._schedule()

    def _schedule(self) -> None:
        """Set the timer for the deadline of the core.

        A timer that fires earlier than necessary is left as it is.
        """
        core = self._running_core()
        if self._stopping or core.deadline == float('inf'):
            return
        if self._timer is not None:
            if self._timer_deadline <= core.deadline:
                return
            self._timer.cancel()
        self._timer_deadline = core.deadline
        self._timer = asyncio.get_running_loop().call_later(
            max(0.0, core.deadline - self._clock()), self._on_timer
        )

    def _on_timer(self) -> None:
        self._timer = None
        self._handle(events.Tick())

    def _execute(self, action: events.Action) -> None:
        match action:
            case events.Send(envelope=envelope):
                self._send(envelope)
            case events.Persist():
                assert self._group_commit is not None
                self._group_commit.submit(action)
            case events.Apply(entries=entries):
                self._apply(entries)
            case events.Restore(snapshot=snapshot):
                self._bytes_since_snapshot = 0
                self._state_machine.restore(snapshot.data)
                self.applied.on_next(snapshot.index)
            case events.Appended():
                self._pending.record_appended(action)
            case events.Refused(id=request_id, leader=leader):
                error = peer_calls.NotLeaderError(self._peer_of(leader))
                self._pending.resolve(request_id, error)
            case events.ReadReady(id=request_id, index=index):
                self._pending.resolve(request_id, index)
            case events.SteppedDown(reason=reason):
                LOG.warning('leadership given up: {}', reason)
                self._pending.fail_appended(reason)
            case events.Elected(term=term):
                LOG.info('elected as leader', extra={'term': term})

    def _apply(self, entries: tuple[messages.Entry, ...]) -> None:
        for entry in entries:
            result = None
            if entry.kind is messages.EntryKind.COMMAND:
                result = self._apply_command(entry)
            self._bytes_since_snapshot += len(entry.payload)
            self._pending.resolve_applied(entry, result)
            self.applied.on_next(entry.index)
        if self._snapshot_is_due():
            asyncio.get_running_loop().call_soon(self._take_snapshot)

    def _apply_command(self, entry: messages.Entry) -> Any:
        try:
            return self._state_machine.apply(entry.index, entry.payload)
        except Exception as error:
            # The command raises the same error on every replica, so the
            # log continues with the next one.
            LOG.exception('command at index {} failed', entry.index)
            return error

    def _snapshot_is_due(self) -> bool:
        state = self._running_core().state
        snapshot = state.log.snapshot
        since = snapshot.index if snapshot else 0
        if state.applied - since >= self._snapshot_entries:
            return True
        snapshot_bytes = len(snapshot.data) if snapshot else 0
        return self._bytes_since_snapshot >= max(
            _SNAPSHOT_LOG_BYTES, snapshot_bytes
        )

    def _take_snapshot(self) -> None:
        if self._closed or not self._snapshot_is_due():
            return
        state = self._running_core().state
        data = self._state_machine.snapshot()
        self._bytes_since_snapshot = 0
        self._handle(events.SnapshotTaken(state.applied, data))

    # Messages between replicas.

    def _peer_of(self, replica: ids.ReplicaId | None) -> Peer | None:
        member = self._running_core().state.configuration.find(replica)
        if member is None:
            return None
        return settings.Peer(address=member.address, port=member.port)

    def _start_task(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _send(self, envelope: messages.Envelope) -> None:
        key = (envelope.recipient, envelope.sequence)
        if isinstance(
            envelope.message,
            (messages.VoteReply, messages.AppendReply, messages.SnapshotReply),
        ):
            future = self._replies_by_key.pop(key, None)
            if future is not None and not future.done():
                future.set_result(wire.encode(envelope))
            return
        peer = self._peer_of(envelope.recipient)
        if peer is not None:
            self._start_task(self._call(peer, envelope))

    async def _call(self, peer: Peer, envelope: messages.Envelope) -> None:
        try:
            body = await self._transport.call_raw(
                peer, joining.RAFT_PATH, wire.encode(envelope), _CALL_TIMEOUT_S
            )
            reply = wire.decode(body, messages.Envelope) if body else None
        except (peer_calls.PeerError, ValueError) as error:
            LOG.debug('call of {} failed: {}', peer, error)
            reply = None
        if reply is None:
            self._handle(events.SendFailed(envelope))
        else:
            self._handle(events.MessageReceived(reply))

    # Creating and joining the membership.

    def _own_member(self) -> messages.Member:
        config = self._config
        own = config.replicas.get(config.id)
        if own is None:
            listener = config.listener
            own = settings.Peer(address=listener.address, port=listener.port)
        identity = self._running_core().state.identity
        return messages.Member(identity, config.id, own.address, own.port)

    def _handle_join(
        self, envelope: messages.Envelope, join: messages.Join
    ) -> bytes:
        core = self._running_core()
        self._handle(events.JoinRequested(join.member))
        reply = messages.JoinReply(
            core.state.identity, core.state.log.last_index > 0
        )
        return wire.encode(
            messages.Envelope(
                core.state.identity, envelope.sender, envelope.sequence, reply
            )
        )

    def _new_joiner(self) -> joining.MembershipJoiner:
        core = self._running_core()
        return joining.MembershipJoiner(
            self._config.id,
            self._discovery,
            self._transport,
            _CALL_TIMEOUT_S,
            wants_to_join=lambda: core.wants_to_join(self._clock()),
            is_empty=lambda: not core.state.log.last_index,
            own_member=self._own_member,
            create_log=lambda configuration: self._handle(
                events.BootstrapRequested(configuration)
            ),
        )

"""A replicated log without a network, written by changing leaders."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import reactivex

from verbenastream.connection import peers
from verbenastream import ids
from verbenastream.process import agreement
from verbenastream.process import clock
from verbenastream.process.jobqueue import state as states

# The lease of a leader ends this long after its followers stop answering.
LEASE_S = 0.5
_SYNC_S = 0.004


class SharedLog:
    """The log entries, appended by the leader of the latest term.

    A replica applies all entries before it becomes the leader, which the read
    barrier ensures for a real replica.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.entries: list[bytes] = []
        self.term = 0
        self.leader: LogReplica | None = None
        # Added to each append while the disk of the leader is slow.
        self.extra_sync_s = 0.0

    def elect(self, replica: LogReplica) -> None:
        """Make ``replica`` the leader of a new term."""
        self.term += 1
        self.leader = replica
        replica.become_leader(self.term)


class LogReplica:
    """A replica with its own state; implements ``replicas.Replica``."""

    def __init__(self, log: SharedLog, name: str) -> None:
        self.name = name
        self.log = log
        self.state = states.JobQueueState()
        self.applied: reactivex.Subject[ids.LogIndex] = reactivex.Subject()
        self.term = ids.Term(0)
        self._lease_until = float('-inf')
        self._connected = False
        self._applied = 0

    def become_leader(self, term: int) -> None:
        """Begin a term as its leader with all entries applied."""
        self.term = ids.Term(term)
        self._connected = True
        self.catch_up()

    def disconnect(self) -> None:
        """Lose all followers; the lease ends ``LEASE_S`` later."""
        if self._connected:
            self._connected = False
            self._lease_until = clock.boot_time() + LEASE_S

    def catch_up(self) -> list[Any]:
        """Apply all new entries and return their results."""
        results = []
        while self._applied < len(self.log.entries):
            payload = self.log.entries[self._applied]
            self._applied += 1
            index = ids.LogIndex(self._applied)
            results.append(self.state.apply(index, payload))
        return results

    @property
    def is_leader(self) -> bool:
        """Whether the replica holds a valid leader lease."""
        return self._connected or clock.boot_time() < self._lease_until

    @property
    def leader(self) -> None:
        """Always None: a replica does not know the current leader."""
        return None

    async def propose(self, payload: bytes) -> Any:
        """Append an entry after a sync.

        The outcome is unknown if the followers stop answering meanwhile.
        """
        if not self.is_leader:
            raise peers.NotLeaderError(None)
        term = self.term
        await asyncio.sleep(_SYNC_S + self.log.extra_sync_s)
        if not self._connected or self.log.term != term:
            if self.log.rng.random() < 0.3 and self.log.term == term:
                # Stored by a majority, but their answers were lost.
                self.log.entries.append(payload)
            raise agreement.OutcomeUnknownError('the followers do not answer')
        self.log.entries.append(payload)
        return self.catch_up()[-1]

    async def read_barrier(self) -> ids.LogIndex:
        """Apply all entries; raises ``NotLeaderError`` without followers."""
        if not self._connected:
            raise peers.NotLeaderError(None)
        self.catch_up()
        return ids.LogIndex(self._applied)

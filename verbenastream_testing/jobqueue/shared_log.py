"""A log that several leaders in turn write to, without a network."""

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

# A leader keeps its lease this long after its followers stopped answering.
LEASE_S = 0.5
_SYNC_S = 0.004


class SharedLog:
    """Entries in order; the leader of the newest term appends.

    A replica applies all entries before it leads, as the read barrier of a
    real one makes sure.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.entries: list[bytes] = []
        self.term = 0
        self.leader: LogReplica | None = None
        # Appends take this much longer while the disk of the leader is slow.
        self.extra_sync_s = 0.0

    def elect(self, replica: LogReplica) -> None:
        """Make ``replica`` the leader of a new term."""
        self.term += 1
        self.leader = replica
        replica.lead(self.term)


class LogReplica:
    """One replica with its own state, as ``replicas.Replica`` asks."""

    def __init__(self, log: SharedLog, name: str) -> None:
        self.name = name
        self.log = log
        self.state = states.JobQueueState()
        self.applied: reactivex.Subject[ids.LogIndex] = reactivex.Subject()
        self.term = ids.Term(0)
        self._lease_until = float('-inf')
        self._connected = False
        self._applied = 0

    def lead(self, term: int) -> None:
        """Begin a term with everything applied."""
        self.term = ids.Term(term)
        self._connected = True
        self.catch_up()

    def cut_off(self) -> None:
        """Followers stop answering; the lease runs on for its time."""
        if self._connected:
            self._connected = False
            self._lease_until = clock.boot_time() + LEASE_S

    def catch_up(self) -> list[Any]:
        """Apply what the log holds; return the results."""
        results = []
        while self._applied < len(self.log.entries):
            payload = self.log.entries[self._applied]
            self._applied += 1
            index = ids.LogIndex(self._applied)
            results.append(self.state.apply(index, payload))
        return results

    @property
    def is_leader(self) -> bool:
        """Whether the lease holds."""
        return self._connected or clock.boot_time() < self._lease_until

    @property
    def leader(self) -> None:
        """Not known here."""
        return None

    async def propose(self, payload: bytes) -> Any:
        """Append after a sync; without followers the outcome is open."""
        if not self.is_leader:
            raise peers.NotLeaderError(None)
        term = self.term
        await asyncio.sleep(_SYNC_S + self.log.extra_sync_s)
        if not self._connected or self.log.term != term:
            if self.log.rng.random() < 0.3 and self.log.term == term:
                # Stored by a majority, but the answer was lost.
                self.log.entries.append(payload)
            raise agreement.OutcomeUnknownError('the followers are gone')
        self.log.entries.append(payload)
        return self.catch_up()[-1]

    async def read_barrier(self) -> ids.LogIndex:
        """Apply everything; fails without followers."""
        if not self._connected:
            raise peers.NotLeaderError(None)
        self.catch_up()
        return ids.LogIndex(self._applied)

"""The part of the log that is held in memory."""

from __future__ import annotations

from verbenastream import ids
from verbenastream.process.agreement import messages
from verbenastream import wire


class MemoryLog:
    """Entries after ``base_index`` and the memberships that they set."""

    def __init__(
        self,
        snapshot: messages.Snapshot | None,
        entries: list[messages.Entry],
    ) -> None:
        self.snapshot = snapshot
        self.entries = entries
        self.base_index = ids.LogIndex(0)
        self.base_term = ids.Term(0)
        if snapshot is not None:
            self.base_index = snapshot.index
            self.base_term = snapshot.term
        if entries:
            self._set_base_before(entries[0])
        self._rebuild_configurations()

    def _set_base_before(self, first: messages.Entry) -> None:
        if first.index == self.base_index + 1:
            return
        # Entries below the snapshot are kept for replicas that lag a little;
        # the term before the first one is unknown, so it serves as the base.
        self.base_index = first.index
        self.base_term = first.term
        del self.entries[0]

    def _rebuild_configurations(self) -> None:
        self._configurations: list[
            tuple[ids.LogIndex, messages.Configuration]
        ] = []
        start = ids.LogIndex(0)
        if self.snapshot is not None:
            start = self.snapshot.index
            self._configurations.append((start, self.snapshot.configuration))
        for entry in self.entries:
            if entry.index > start:
                self._note_configuration(entry)

    def _note_configuration(self, entry: messages.Entry) -> None:
        if entry.kind is messages.EntryKind.CONFIGURATION:
            found = wire.decode(entry.payload, messages.Configuration)
            self._configurations.append((entry.index, found))

    @property
    def configuration(self) -> messages.Configuration:
        """The latest membership, committed or not."""
        if not self._configurations:
            return messages.Configuration()
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> ids.LogIndex:
        """Index of the newest configuration; 0 if there is none."""
        if not self._configurations:
            return ids.LogIndex(0)
        return self._configurations[-1][0]

    @property
    def last_index(self) -> ids.LogIndex:
        """Index of the newest entry, or of the snapshot."""
        return ids.LogIndex(self.base_index + len(self.entries))

    @property
    def last_term(self) -> ids.Term:
        """Term of the newest entry, or of the snapshot."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: ids.LogIndex) -> ids.Term | None:
        """The term of the entry at ``index``; None if it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        if self.snapshot is not None and index == self.snapshot.index:
            return self.snapshot.term
        return None

    def append(self, entries: tuple[messages.Entry, ...]) -> None:
        """Add entries after the last one."""
        self.entries.extend(entries)
        for entry in entries:
            self._note_configuration(entry)

    def truncate_after(self, index: ids.LogIndex) -> None:
        """Drop the entries after ``index``."""
        del self.entries[index - self.base_index :]
        while self._configurations and self._configurations[-1][0] > index:
            self._configurations.pop()

    def between(
        self, after: ids.LogIndex, last: ids.LogIndex
    ) -> tuple[messages.Entry, ...]:
        """Entries ``after + 1`` to ``last``, both held."""
        start = after - self.base_index
        return tuple(self.entries[start : last - self.base_index])

    def batch(
        self, after: ids.LogIndex, max_bytes: int
    ) -> tuple[messages.Entry, ...]:
        """Entries after ``after`` up to ``max_bytes``, at least one."""
        found: list[messages.Entry] = []
        size = 0
        position = after - self.base_index
        while position < len(self.entries):
            entry = self.entries[position]
            size += len(entry.payload)
            if found and size > max_bytes:
                break
            found.append(entry)
            position += 1
        return tuple(found)

    def configuration_at(self, index: ids.LogIndex) -> messages.Configuration:
        """Return the configuration in force at ``index``."""
        found = messages.Configuration()
        for start, configuration in self._configurations:
            if start <= index:
                found = configuration
        return found

    def compact(
        self, snapshot: messages.Snapshot, kept_entries: int
    ) -> ids.LogIndex:
        """Take ``snapshot``, keep some entries below it, return the first.

        The kept entries let a replica that lags a little catch up without
        the whole snapshot.
        """
        base = max(self.base_index, snapshot.index - kept_entries)
        base_term = self.term_at(ids.LogIndex(base))
        assert base_term is not None
        del self.entries[: base - self.base_index]
        self.base_index = ids.LogIndex(base)
        self.base_term = base_term
        self.snapshot = snapshot
        self._configurations = [
            (snapshot.index, snapshot.configuration),
            *(
                item
                for item in self._configurations
                if item[0] > snapshot.index
            ),
        ]
        return ids.LogIndex(base + 1)

    def replace(self, snapshot: messages.Snapshot) -> None:
        """Drop all entries in favour of the leader's snapshot."""
        self.entries = []
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.snapshot = snapshot
        self._configurations = [(snapshot.index, snapshot.configuration)]

"""In-memory copy of the end of the log."""

from __future__ import annotations

from verbenastream import ids
from verbenastream.process.agreement import messages
from verbenastream import wire


class MemoryLog:
    """Log entries after ``base_index`` and the configurations in them."""

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
            self._set_base_from(entries[0])
        self._rebuild_configurations()

    def _set_base_from(self, first: messages.Entry) -> None:
        if first.index == self.base_index + 1:
            return
        # Entries older than the snapshot are kept for replicas that lag a
        # little. The term before the first entry is unknown, so that entry
        # becomes the base and is dropped.
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
                self._record_configuration(entry)

    def _record_configuration(self, entry: messages.Entry) -> None:
        if entry.kind is messages.EntryKind.CONFIGURATION:
            configuration = wire.decode(entry.payload, messages.Configuration)
            self._configurations.append((entry.index, configuration))

    @property
    def configuration(self) -> messages.Configuration:
        """The latest configuration, committed or not."""
        if not self._configurations:
            return messages.Configuration()
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> ids.LogIndex:
        """Index of the latest configuration; 0 if there is none."""
        if not self._configurations:
            return ids.LogIndex(0)
        return self._configurations[-1][0]

    @property
    def last_index(self) -> ids.LogIndex:
        """Index of the last entry, or of the base without entries."""
        return ids.LogIndex(self.base_index + len(self.entries))

    @property
    def last_term(self) -> ids.Term:
        """Term of the last entry, or of the base without entries."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: ids.LogIndex) -> ids.Term | None:
        """Return the term of the entry at ``index``, None if not in memory."""
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
            self._record_configuration(entry)

    def truncate_after(self, index: ids.LogIndex) -> None:
        """Drop the entries after ``index``."""
        del self.entries[index - self.base_index :]
        while self._configurations and self._configurations[-1][0] > index:
            self._configurations.pop()

    def entries_between(
        self, after: ids.LogIndex, last: ids.LogIndex
    ) -> tuple[messages.Entry, ...]:
        """Return entries ``after + 1`` to ``last``; all must be in memory."""
        start = after - self.base_index
        return tuple(self.entries[start : last - self.base_index])

    def bytes_after(self, index: ids.LogIndex) -> int:
        """Return the payload bytes of the entries after ``index``."""
        entries = self.entries[index - self.base_index :]
        return sum(len(entry.payload) for entry in entries)

    def next_batch(
        self, after: ids.LogIndex, max_bytes: int
    ) -> tuple[messages.Entry, ...]:
        """Return at least one entry after ``after``, up to ``max_bytes``."""
        batch: list[messages.Entry] = []
        size = 0
        position = after - self.base_index
        while position < len(self.entries):
            entry = self.entries[position]
            size += len(entry.payload)
            if batch and size > max_bytes:
                break
            batch.append(entry)
            position += 1
        return tuple(batch)

    def configuration_at(self, index: ids.LogIndex) -> messages.Configuration:
        """Return the configuration in force at ``index``."""
        current = messages.Configuration()
        for start, configuration in self._configurations:
            if start <= index:
                current = configuration
        return current

    def compact(
        self, snapshot: messages.Snapshot, kept_entries: int, kept_bytes: int
    ) -> ids.LogIndex:
        """Replace old entries by ``snapshot``; return the first kept index.

        The last entries before the snapshot's end stay, at most
        ``kept_entries`` with ``kept_bytes`` of payload, so that a replica
        that lags a little can catch up without the whole snapshot.
        """
        base = snapshot.index
        first = max(self.base_index, snapshot.index - kept_entries)
        while base > first:
            size = len(self.entries[base - self.base_index - 1].payload)
            if size > kept_bytes:
                break
            kept_bytes -= size
            base = ids.LogIndex(base - 1)
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
        """Replace the whole log by the leader's snapshot."""
        self.entries = []
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.snapshot = snapshot
        self._configurations = [(snapshot.index, snapshot.configuration)]

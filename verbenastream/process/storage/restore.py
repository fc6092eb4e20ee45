"""Restores the first replica from a snapshot file or a data folder.

Use it after the loss of a majority of the control replicas. The restored
replica is the only voter, so it can lead without the others, which then join
it with empty data folders. ::

    python -m verbenastream.process.storage.restore SOURCE SETTINGS
"""

from __future__ import annotations

import pathlib
import sys
import uuid

import cyclopts

from verbenastream import errors as base_errors
from verbenastream import ids
from verbenastream.process.agreement import events
from verbenastream.process.agreement import messages
from verbenastream.process import settings
from verbenastream.process.storage import disk as disks
from verbenastream.process.storage import errors
from verbenastream.process.storage import files
from verbenastream.process.storage import recovery
from verbenastream.process.storage import store as stores
from verbenastream import wire

app = cyclopts.App(name='restore', help=__doc__, help_format='plaintext')


def restore(
    source: pathlib.Path, config: settings.ControlSettings
) -> ids.LogIndex:
    """Restore into the empty data folder of ``config``; return the last index.

    ``source`` is a snapshot file or the data folder of a stopped replica and
    is not changed. Raises ``StorageError`` if it contains no state, or if
    the data folder of ``config`` is not empty.
    """
    folder = pathlib.Path(config.data_folder)
    if folder.exists() and any(folder.iterdir()):
        raise errors.RestoreError(
            f'the data folder {folder} is not empty',
            'Move its files away, or name another folder in the settings.',
        )
    contents_by_name = _read_source(source)
    disk = disks.FolderDisk(folder)
    try:
        return _write_restored_state(disk, contents_by_name, config)
    finally:
        disk.close()


def _read_source(source: pathlib.Path) -> dict[str, bytes]:
    if source.is_file():
        return {files.SNAPSHOT_NAME: source.read_bytes()}
    contents_by_name = {}
    for path in sorted(source.glob('*')):
        if path.suffix == files.TEMPORARY_SUFFIX:
            continue
        if path.name == files.SNAPSHOT_NAME or path.name.startswith(
            recovery.SEGMENT_PREFIX
        ):
            contents_by_name[path.name] = path.read_bytes()
    if not contents_by_name:
        raise errors.RestoreError(
            f'{source} holds neither a snapshot nor a log',
            'Give a snapshot file or the data folder of a replica.',
        )
    return contents_by_name


def _write_restored_state(
    disk: disks.Disk,
    contents_by_name: dict[str, bytes],
    config: settings.ControlSettings,
) -> ids.LogIndex:
    new_id = ids.ReplicaId(str(uuid.uuid4()))
    files.load_or_create_identity(disk, config.id, new_id)
    for name, content in contents_by_name.items():
        disk.append(name, content)
        disk.sync(name)
    disk.sync_folder()
    store, stored = stores.Store.open(disk, config.id, new_id)
    snapshot = stored.snapshot
    last_index = ids.LogIndex(snapshot.index if snapshot else 0)
    last_term = snapshot.term if snapshot else ids.Term(0)
    if stored.entries:
        last_index = stored.entries[-1].index
        last_term = stored.entries[-1].term
    term = ids.Term(max(stored.term, last_term) + 1)
    entry = messages.Entry(
        ids.LogIndex(last_index + 1),
        term,
        messages.EntryKind.CONFIGURATION,
        wire.encode(_single_voter_configuration(new_id, config)),
    )
    store.write([events.Persist(1, term, None, entries=(entry,))])
    return entry.index


def _single_voter_configuration(
    new_id: ids.ReplicaId, config: settings.ControlSettings
) -> messages.Configuration:
    own = config.replicas.get(config.id)
    if own is None:
        raise errors.RestoreError(
            f'"replicas" of the settings does not name {config.id}',
            'Add this replica with its address and port.',
        )
    member = messages.Member(new_id, config.id, own.address, own.port)
    return messages.Configuration(voters=(member,))


@app.default
def main(source: pathlib.Path, settings_file: pathlib.Path) -> int:
    """Restore SOURCE into the data folder that SETTINGS_FILE names.

    Example: restore /backup/snapshot /etc/verbenastream/control.json
    """
    try:
        config = settings.load(settings_file, settings.ControlSettings)
        index = restore(source, config)
    except base_errors.VerbenastreamError as error:
        print(error, file=sys.stderr)
        return 1
    except base_errors.InvalidInputGroup as group:
        for problem in group.problems:
            print(problem, file=sys.stderr)
        return 1
    print(f'restored up to index {index}; start this replica first')
    return 0


if __name__ == '__main__':
    sys.exit(app())

"""Runs one replica as a separate process, for the benchmark.

Serves ``/v1/raft`` to the other replicas and two unauthenticated paths on the
same loopback port: ``/write`` takes a JSON list of texts and answers once all
are committed, ``/status`` returns the status of the replica.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import pathlib
import random
import signal
import time
from typing import Any

from aiohttp import web
import msgspec

from verbenastream.connection import peers
from verbenastream import ids
from verbenastream.process import agreement
from verbenastream.process.agreement import events
from verbenastream.process.control import replication
from verbenastream.process import metrics
from verbenastream.process import settings
from verbenastream.process import storage
from verbenastream import wire


class SlowDisk(storage.FolderDisk):
    """A disk whose fsync takes at least ``delay_s`` seconds."""

    def __init__(self, folder: pathlib.Path, delay_s: float) -> None:
        super().__init__(folder)
        self._delay_s = delay_s

    def sync(self, name: str) -> None:
        super().sync(name)
        if self._delay_s:
            time.sleep(self._delay_s)


def sync_each_entry(store: storage.Store) -> None:
    """Make ``store`` fsync after each entry, as the benchmark's baseline."""
    write_group = store.write

    def write(writes: list[events.Persist]) -> None:
        for write_request in writes:
            if len(write_request.entries) < 2:
                write_group([write_request])
                continue
            truncate_after = write_request.truncate_after
            for entry in write_request.entries:
                write_group(
                    [
                        dataclasses.replace(
                            write_request,
                            entries=(entry,),
                            truncate_after=truncate_after,
                        )
                    ]
                )
                truncate_after = None

    store.write = write  # type: ignore[method-assign]


class TextStateMachine:
    """State machine that counts all texts and keeps the latest ones."""

    def __init__(self) -> None:
        self.count = 0
        self.texts: list[str] = []

    def apply(self, index: ids.LogIndex, payload: bytes) -> int:
        self.count += 1
        self.texts.append(payload.decode())
        if len(self.texts) > 10_000:
            del self.texts[:5_000]
        return self.count

    def snapshot(self) -> bytes:
        return wire.encode((self.count, self.texts))

    def restore(self, data: bytes) -> None:
        self.count, self.texts = msgspec.json.decode(
            data, type=tuple[int, list[str]]
        )


class Server:
    """Serves the replica over HTTP until SIGTERM."""

    def __init__(self, config: settings.ControlSettings, disk: Any) -> None:
        self._config = config
        self._client = peers.PeerClient.from_config(
            config.deployment, config.id, config.peer_tls
        )
        self._machine = TextStateMachine()
        self.replicator = replication.Replicator(
            config, self._machine, self._client, disk, random.Random()
        )

    async def run(self) -> None:
        app = web.Application(client_max_size=16 * 2**20)
        routes = peers.PeerRoutes(
            app, peers.Signer(self._config.deployment), metrics.Metrics()
        )
        routes.add_raw('/v1/raft', self._raft)
        app.router.add_post('/write', self._write)
        app.router.add_get('/status', self._status)
        await self.replicator.start()
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        listener = self._config.listener
        await web.TCPSite(runner, listener.address, listener.port).start()
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopped.set)
        await stopped.wait()
        await self.replicator.stop()
        await runner.cleanup()
        await self._client.close()

    async def _raft(self, sender: str, body: bytes) -> bytes:
        return await self.replicator.handle_message(body)

    async def _write(self, request: web.Request) -> web.Response:
        texts = wire.decode(await request.read(), list[str])
        results = await asyncio.gather(
            *(self.replicator.propose(text.encode()) for text in texts),
            return_exceptions=True,
        )
        for result in results:
            if isinstance(result, peers.NotLeaderError):
                return web.Response(status=421)
            if isinstance(result, agreement.OutcomeUnknownError):
                return web.Response(status=504)
        return web.Response(body=wire.encode(results))

    async def _status(self, request: web.Request) -> web.Response:
        status = self.replicator.status()
        fields = msgspec.to_builtins(status)
        fields['leads'] = self.replicator.is_leader
        return web.Response(body=wire.encode(fields))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('settings', type=pathlib.Path)
    parser.add_argument('--sync-delay-s', type=float, default=0.0)
    parser.add_argument('--sync-each', action='store_true')
    arguments = parser.parse_args()
    config = settings.load(arguments.settings, settings.ControlSettings)
    disk = SlowDisk(pathlib.Path(config.data_folder), arguments.sync_delay_s)
    if arguments.sync_each:
        open_store = storage.Store.open

        def open_syncing_each(*values: Any) -> Any:
            store, stored = open_store(*values)
            sync_each_entry(store)
            return store, stored

        storage.Store.open = open_syncing_each  # type: ignore[method-assign]
    asyncio.run(Server(config, disk).run())


if __name__ == '__main__':
    main()

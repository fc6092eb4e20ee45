"""A TCP proxy in front of one process that applies the faults of each link.

The proxy learns which process a connection comes from by the first message's
Verbenastream-Sender header, so one proxy per destination is enough to give
each link its own faults.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import socket
import struct
from typing import TYPE_CHECKING

from verbenastream_testing import faults

if TYPE_CHECKING:
    from collections.abc import Callable

_CHUNK = 16_384
_HOLD_POLL_S = 0.02
_SENDER = re.compile(rb'(?i)\r\nVerbenastream-Sender: *([^\r\n]+)')
# The sender stands in the header of the first message; a connection whose
# first bytes do not contain a whole header belongs to a caller.
_MAX_HEADER = 16_384


class FaultProxy:
    """Forwards ``listen`` to ``upstream``, each an (address, port) pair."""

    def __init__(
        self,
        destination: faults.Party,
        listen: tuple[str, int],
        upstream: tuple[str, int],
        links: faults.Links,
        seed: int,
    ) -> None:
        self.destination = destination
        self._listen = listen
        self._upstream = upstream
        self._links = links
        self._seed = seed
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self.accepted = 0
        self.bytes_forward = 0
        self.bytes_backward = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, *self._listen)

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        self.accepted += 1
        rng = random.Random(f'{self._seed}/{self.destination}/{self.accepted}')
        try:
            await self._connection(reader, writer, rng)
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # Only ``stop`` cancels; asyncio's stream server would report a
            # cancelled handler as an error.
            pass
        finally:
            self._connections.discard(task)
            writer.close()

    async def _connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        rng: random.Random,
    ) -> None:
        head = await _read_head(reader)
        source = _source(head)

        def current() -> faults.LinkFaults:
            return self._links.between(source, self.destination)

        up_reader, up_writer = await asyncio.open_connection(*self._upstream)
        writers = [up_writer]
        discarding = None
        if current().forward.duplicate:
            second, second_writer = await asyncio.open_connection(
                *self._upstream
            )
            writers.append(second_writer)
            discarding = asyncio.create_task(_discard(second))
        forward = _Pump(reader, writers, lambda: current().forward, rng)
        backward = _Pump(up_reader, [writer], lambda: current().backward, rng)
        pumps = [
            asyncio.create_task(forward.run(head)),
            asyncio.create_task(backward.run(b'')),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.bytes_forward += forward.passed
            self.bytes_backward += backward.passed
            await _end([*pumps, discarding])
            if forward.was_reset or backward.was_reset:
                _reset(writer)
            for upstream in writers:
                upstream.close()


class _Pump:
    """Moves one direction's bytes under the faults in force now."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writers: list[asyncio.StreamWriter],
        current: Callable[[], faults.Faults],
        rng: random.Random,
    ) -> None:
        self._reader = reader
        self._writers = writers
        self._current = current
        self._rng = rng
        self.passed = 0
        self.was_reset = False

    async def run(self, head: bytes) -> None:
        data = head or await self._reader.read(_CHUNK)
        while data:
            if not await self._pass(data):
                return
            data = await self._reader.read(_CHUNK)

    async def _pass(self, data: bytes) -> bool:
        """Forward ``data``; False if the connection ends here."""
        while self._current().hold:
            await asyncio.sleep(_HOLD_POLL_S)
        fault = self._current()
        delay = fault.delay_s + self._rng.uniform(0.0, fault.jitter_s)
        if fault.bytes_per_s is not None:
            delay += len(data) / fault.bytes_per_s
        if delay:
            await asyncio.sleep(delay)
        for limit in (fault.cut_at, fault.reset_at):
            if limit is not None and self.passed + len(data) >= limit:
                await self._write(data[: max(0, limit - self.passed)])
                self.was_reset = limit == fault.reset_at
                return False
        await self._write(data)
        return True

    async def _write(self, data: bytes) -> None:
        self.passed += len(data)
        for writer in self._writers:
            writer.write(data)
            await writer.drain()


async def _read_head(reader: asyncio.StreamReader) -> bytes:
    head = b''
    while b'\r\n\r\n' not in head and len(head) < _MAX_HEADER:
        data = await reader.read(_CHUNK)
        if not data:
            break
        head += data
    return head


def _source(head: bytes) -> faults.Party:
    found = _SENDER.search(head)
    if found is None:
        return faults.ANY
    return faults.Party(found.group(1).decode('latin-1').strip())


async def _discard(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(_CHUNK):
            pass


async def _end(tasks: list[asyncio.Task[None] | None]) -> None:
    present = [task for task in tasks if task is not None]
    for task in present:
        task.cancel()
    await asyncio.gather(*present, return_exceptions=True)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close with a TCP reset instead of an orderly end."""
    found = writer.get_extra_info('socket')
    if found is not None:
        found.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


async def follow_schedule(
    links: faults.Links, schedule: list[faults.Change]
) -> None:
    """Apply each change at its time, counted from now."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    for change in schedule:
        await asyncio.sleep(max(0.0, started + change.at_s - loop.time()))
        links.set(change.source, change.destination, change.faults)

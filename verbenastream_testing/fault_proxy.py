"""A TCP proxy in front of a process that applies the faults of each link.

The Verbenastream-Sender header of the first message identifies the process
that a connection comes from, so one proxy per destination is enough to give
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

_CHUNK_BYTES = 16_384
_HOLD_POLL_S = 0.02
_SENDER_HEADER = re.compile(rb'(?i)\r\nVerbenastream-Sender: *([^\r\n]+)')
# A connection whose first bytes do not contain a complete header within this
# limit is treated as one of a caller.
_MAX_HEADER_BYTES = 16_384


class FaultProxy:
    """Forwards ``listen`` to ``upstream``, both (address, port) pairs."""

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
            await self._forward_connection(reader, writer, rng)
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # Only ``stop`` cancels; asyncio's stream server would report a
            # cancelled handler as an error.
            pass
        finally:
            self._connections.discard(task)
            writer.close()

    async def _forward_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        rng: random.Random,
    ) -> None:
        header = await _read_header(reader)
        source = _parse_sender(header)

        def current_faults() -> faults.LinkFaults:
            return self._links.between(source, self.destination)

        up_reader, up_writer = await asyncio.open_connection(*self._upstream)
        writers = [up_writer]
        discard_task = None
        if current_faults().forward.duplicate:
            second, second_writer = await asyncio.open_connection(
                *self._upstream
            )
            writers.append(second_writer)
            discard_task = asyncio.create_task(_discard(second))
        forward = _Pump(reader, writers, lambda: current_faults().forward, rng)
        backward = _Pump(
            up_reader, [writer], lambda: current_faults().backward, rng
        )
        pumps = [
            asyncio.create_task(forward.run(header)),
            asyncio.create_task(backward.run(b'')),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.bytes_forward += forward.forwarded_bytes
            self.bytes_backward += backward.forwarded_bytes
            await _cancel([*pumps, discard_task])
            if forward.was_reset or backward.was_reset:
                _reset(writer)
            for upstream in writers:
                upstream.close()


class _Pump:
    """Forwards one direction of a connection under its current faults."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writers: list[asyncio.StreamWriter],
        current_faults: Callable[[], faults.Faults],
        rng: random.Random,
    ) -> None:
        self._reader = reader
        self._writers = writers
        self._current_faults = current_faults
        self._rng = rng
        self.forwarded_bytes = 0
        self.was_reset = False

    async def run(self, first_data: bytes) -> None:
        data = first_data or await self._reader.read(_CHUNK_BYTES)
        while data:
            if not await self._forward(data):
                return
            data = await self._reader.read(_CHUNK_BYTES)

    async def _forward(self, data: bytes) -> bool:
        """Forward ``data``; return False if a fault ends the connection."""
        while self._current_faults().hold:
            await asyncio.sleep(_HOLD_POLL_S)
        fault = self._current_faults()
        delay = fault.delay_s + self._rng.uniform(0.0, fault.jitter_s)
        if fault.bytes_per_s is not None:
            delay += len(data) / fault.bytes_per_s
        if delay:
            await asyncio.sleep(delay)
        for limit in (fault.close_after_bytes, fault.reset_after_bytes):
            if limit is not None and self.forwarded_bytes + len(data) >= limit:
                await self._write(data[: max(0, limit - self.forwarded_bytes)])
                self.was_reset = limit == fault.reset_after_bytes
                return False
        await self._write(data)
        return True

    async def _write(self, data: bytes) -> None:
        self.forwarded_bytes += len(data)
        for writer in self._writers:
            writer.write(data)
            await writer.drain()


async def _read_header(reader: asyncio.StreamReader) -> bytes:
    header = b''
    while b'\r\n\r\n' not in header and len(header) < _MAX_HEADER_BYTES:
        data = await reader.read(_CHUNK_BYTES)
        if not data:
            break
        header += data
    return header


def _parse_sender(header: bytes) -> faults.Party:
    match = _SENDER_HEADER.search(header)
    if match is None:
        return faults.ANY
    return faults.Party(match.group(1).decode('latin-1').strip())


async def _discard(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(_CHUNK_BYTES):
            pass


async def _cancel(tasks: list[asyncio.Task[None] | None]) -> None:
    running = [task for task in tasks if task is not None]
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close the connection with a TCP reset."""
    connection = writer.get_extra_info('socket')
    if connection is not None:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


async def follow_schedule(
    links: faults.Links, schedule: list[faults.Change]
) -> None:
    """Apply each change at its time, relative to the call."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    for change in schedule:
        await asyncio.sleep(max(0.0, started + change.at_s - loop.time()))
        links.set(change.source, change.destination, change.faults)

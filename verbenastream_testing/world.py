"""Resources of a scenario: event loop, files, servers and processes."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import shutil
import tempfile
import time
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import aiohttp
from aiohttp import web

from verbenastream import errors
from verbenastream_testing import loopback
from verbenastream_testing import supervisor

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine

T = TypeVar('T')

_POLL_S = 0.02


class ConditionError(errors.VerbenastreamError):
    """A condition did not become true within its time limit."""


async def until(
    description: str,
    condition: Callable[[], Awaitable[T]],
    limit_s: float = 20.0,
) -> T:
    """Return the first true result of ``condition``, polling it.

    The time limit only ends a test that would never pass, so it does not
    affect the result of a test.
    """
    deadline = time.monotonic() + limit_s
    while True:
        result = await condition()
        if result:
            return result
        if time.monotonic() > deadline:
            raise ConditionError(
                f'not within {limit_s:g} s: {description}',
                'Read the logs of the processes in the folder of the run.',
            )
        await asyncio.sleep(_POLL_S)


class World:
    """Resources of a scenario, created on first use, released by ``close``."""

    def __init__(self) -> None:
        self._loop: asyncio.AbstractEventLoop | None = None
        self._folder: tempfile.TemporaryDirectory[str] | None = None
        self._session: aiohttp.ClientSession | None = None
        self._processes: supervisor.Supervisor | None = None
        self._close_callbacks: list[Callable[[], Awaitable[Any]]] = []
        self._free_hosts = iter(range(1, 250))
        self._network: str | None = None

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        if self._loop is None:
            self._loop = asyncio.new_event_loop()
        return self._loop.run_until_complete(coroutine)

    @property
    def folder(self) -> pathlib.Path:
        if self._folder is None:
            self._folder = tempfile.TemporaryDirectory(prefix='verbenastream-')
        return pathlib.Path(self._folder.name)

    @property
    def processes(self) -> supervisor.Supervisor:
        if self._processes is None:
            self._processes = supervisor.Supervisor(self.folder / 'logs')
        return self._processes

    def address(self) -> str:
        """Return an unused loopback address."""
        if self._network is None:
            self._network = loopback.free_network(8000)
        return f'{self._network}.{next(self._free_hosts)}'

    async def session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
            self.on_close(self._session.close)
        return self._session

    def on_close(self, close: Callable[[], Awaitable[Any]]) -> None:
        """Call ``close`` at the end, in reverse order of registration."""
        self._close_callbacks.append(close)

    async def serve(
        self, app: web.Application, address: str, port: int
    ) -> None:
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        self.on_close(runner.cleanup)
        await web.TCPSite(runner, address, port, reuse_address=True).start()

    def copy_folder(self, destination: pathlib.Path) -> None:
        """Copy the folder with logs and ledgers, replacing an earlier copy."""
        if self._folder is None:
            return
        shutil.rmtree(destination, ignore_errors=True)
        # Sockets and files that a process removes meanwhile are left out.
        with contextlib.suppress(shutil.Error):
            shutil.copytree(self._folder.name, destination)

    def close(self) -> None:
        if self._processes is not None:
            # Scenarios that test a stop have done it before; the processes
            # left need not drain.
            self._processes.end_all(limit_s=0.2)
        if self._loop is not None:
            while self._close_callbacks:
                self._loop.run_until_complete(self._close_callbacks.pop()())
            self._loop.run_until_complete(self._loop.shutdown_asyncgens())
            self._loop.close()
        if self._folder is not None:
            self._folder.cleanup()

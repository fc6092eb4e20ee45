"""A stand-in for the platform's load balancer in front of the entries."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Mapping

_TIMEOUT_S = 0.5


class Balancer:
    """Picks among the entries whose ``/readyz`` last answered 200, in turn.

    ``urls_by_entry`` holds each caller listener. Like a platform's balancer
    it learns of a change only by its next check.
    """

    def __init__(
        self, urls_by_entry: Mapping[str, str], interval_s: float = 0.2
    ) -> None:
        self.urls_by_entry = dict(urls_by_entry)
        self.ready: list[str] = []
        self._interval_s = interval_s
        self._turn = 0
        self._task: asyncio.Task[None] | None = None

    async def start(self, session: aiohttp.ClientSession) -> None:
        await self._check_all(session)
        self._task = asyncio.create_task(self._run(session))

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def pick(self, excluded: frozenset[str] = frozenset()) -> str | None:
        """Return the next ready entry, or None if there is none."""
        candidates = [entry for entry in self.ready if entry not in excluded]
        if not candidates:
            return None
        self._turn += 1
        return candidates[self._turn % len(candidates)]

    async def _run(self, session: aiohttp.ClientSession) -> None:
        while True:
            await asyncio.sleep(self._interval_s)
            await self._check_all(session)

    async def _check_all(self, session: aiohttp.ClientSession) -> None:
        entries = sorted(self.urls_by_entry)
        found = await asyncio.gather(
            *(self._is_ready(session, entry) for entry in entries)
        )
        self.ready = [
            entry for entry, ready in zip(entries, found, strict=True) if ready
        ]

    async def _is_ready(
        self, session: aiohttp.ClientSession, entry: str
    ) -> bool:
        try:
            async with session.get(
                f'{self.urls_by_entry[entry]}/readyz',
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return False

"""A simulated load balancer of the platform in front of the entries."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Mapping

_CHECK_TIMEOUT_S = 0.5


class Balancer:
    """Picks entries round robin if their last ``/readyz`` answered 200.

    ``urls_by_entry`` are the URLs of the caller listeners. Like a real load
    balancer it notices a change only at its next check.
    """

    def __init__(
        self, urls_by_entry: Mapping[str, str], interval_s: float = 0.2
    ) -> None:
        self.urls_by_entry = dict(urls_by_entry)
        self.ready: list[str] = []
        self._interval_s = interval_s
        self._pick_count = 0
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
        self._pick_count += 1
        return candidates[self._pick_count % len(candidates)]

    async def _run(self, session: aiohttp.ClientSession) -> None:
        while True:
            await asyncio.sleep(self._interval_s)
            await self._check_all(session)

    async def _check_all(self, session: aiohttp.ClientSession) -> None:
        entries = sorted(self.urls_by_entry)
        readiness = await asyncio.gather(
            *(self._is_ready(session, entry) for entry in entries)
        )
        self.ready = [
            entry
            for entry, ready in zip(entries, readiness, strict=True)
            if ready
        ]

    async def _is_ready(
        self, session: aiohttp.ClientSession, entry: str
    ) -> bool:
        try:
            async with session.get(
                f'{self.urls_by_entry[entry]}/readyz',
                timeout=aiohttp.ClientTimeout(total=_CHECK_TIMEOUT_S),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return False

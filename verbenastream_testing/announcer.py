"""Announces a fake target to the entries and stores its assignment."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from verbenastream.connection import peers
from verbenastream import errors
from verbenastream import ids
from verbenastream.process.membership import messages
from verbenastream.process import settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenastream_testing import target_settings

ENTRIES_PER_ROUND = 2
_TIMEOUT_S = 1.0


class Announcer:
    """Sends announcements to ``entries_per_round`` entries per round.

    Entries of the target's own data centre come first, the others are used if
    those do not answer. The answer with the highest epoch applies, because an
    entry that lags behind may still return an earlier assignment.
    """

    def __init__(
        self,
        config: target_settings.TargetSettings,
        running: Callable[[], int],
        entries_per_round: int = ENTRIES_PER_ROUND,
    ) -> None:
        self._config = config
        self._running = running
        self._entries_per_round = entries_per_round
        self._client = peers.PeerClient.from_config(
            config.deployment, config.id, settings.TlsOff.OFF
        )
        self.leaving = False
        self.incarnation = ids.Incarnation(config.incarnation)
        self.pool: ids.PoolId | None = None
        self.epoch = ids.Epoch(0)

    async def run(self) -> None:
        """Announce until cancelled."""
        while True:
            await self.announce()
            await asyncio.sleep(self._config.announce_interval_s)

    async def announce(self) -> int:
        """Return how many entries answered this round."""
        answered = 0
        for peer in self._entries_by_proximity():
            if answered >= self._entries_per_round:
                break
            answered += await self._announce_to(peer)
        return answered

    async def announce_all(self) -> None:
        """Announce to every entry, so that all learn of a departure."""
        await asyncio.gather(
            *(self._announce_to(peer) for peer in self._entries_by_proximity())
        )

    def reboot(self) -> None:
        """Drop the assignment and announce a new incarnation from now on."""
        self.incarnation = ids.Incarnation(self.incarnation + 1)
        self.leaving = False
        self.pool = None

    async def close(self) -> None:
        await self._client.close()

    def _entries_by_proximity(self) -> list[settings.Peer]:
        own_data_centre = self._config.data_centre
        ordered = sorted(
            self._config.entries,
            key=lambda entry: entry.data_centre != own_data_centre,
        )
        return [settings.Peer(entry.address, entry.port) for entry in ordered]

    def _message(self) -> messages.Announcement:
        config = self._config
        return messages.Announcement(
            id=ids.InstanceId(config.id),
            incarnation=self.incarnation,
            data_centre=ids.DataCentreId(config.data_centre),
            rack=ids.RackId(config.rack),
            address=config.announced_address or config.address,
            port=config.port,
            resources=config.resources,
            slots=config.slots,
            connections=config.connections,
            running=self._running(),
            leaving=self.leaving,
            epoch=self.epoch,
        )

    async def _announce_to(self, peer: settings.Peer) -> bool:
        try:
            reply = await self._client.call(
                peer,
                '/v1/announce',
                self._message(),
                messages.AnnouncementReply,
                _TIMEOUT_S,
            )
        except errors.VerbenastreamError:
            return False
        if reply.epoch >= self.epoch:
            self.epoch = reply.epoch
            self.pool = reply.pool
        return True

"""Handlers of the calls from entries, other replicas and the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import TYPE_CHECKING

from verbenastream.connection import peers
from verbenastream.process import agreement
from verbenastream.process.control import errors
from verbenastream.process import membership
from verbenastream.request import claims
from verbenastream import wire

if TYPE_CHECKING:
    from verbenastream.process.control import claim_batches
    from verbenastream.process.control import duties
    from verbenastream.process.control import feed
    from verbenastream.process.control import fleet_api
    from verbenastream.process.control import fleet_presence
    from verbenastream.process.control import leadership
    from verbenastream.process.control import planning_duty
    from verbenastream.process.control import replicas
    from verbenastream.process import metrics

RawPeerHandler = Callable[[str, bytes], Awaitable[bytes]]


class PeerApi:
    """Serves the authenticated calls of entries, replicas and platform."""

    def __init__(
        self,
        replica: replicas.Replica,
        leader: leadership.Leadership,
        renewal_feed: feed.RenewalFeed,
        batcher: claim_batches.ClaimBatcher,
        presence: fleet_presence.FleetPresence,
        planner: planning_duty.PlanningDuty,
        leader_duties: duties.LeaderDuties,
        fleet: fleet_api.FleetApi,
        registry: metrics.Metrics,
    ) -> None:
        self._replica = replica
        self._leader = leader
        self._renewal_feed = renewal_feed
        self._batcher = batcher
        self._presence = presence
        self._planner = planner
        self._leader_duties = leader_duties
        self._fleet = fleet
        self._claim_latency = registry.latency(
            'verbenastream_claim_seconds',
            'Time of a claim call until its record is committed.',
        )

    def add_routes(self, routes: peers.PeerRoutes) -> None:
        routes.add_raw('/v1/raft', self._raft)
        for path, handler in (
            ('/v1/entries/renew', self._renew),
            ('/v1/claims', self._claims),
            ('/v1/presence', self._presence_report),
            ('/v1/platform/notices', self._fleet.record_notice),
        ):
            routes.add_raw(path, _with_peer_errors(handler))

    async def _raft(self, sender: str, body: bytes) -> bytes:
        return await self._replica.handle_message(body)

    async def _renew(self, sender: str, body: bytes) -> bytes:
        request = wire.decode(body, membership.RenewRequest)
        reply = await self._renewal_feed.renew(sender, request)
        if request.totals is not None:
            self._leader_duties.add_totals(request.totals)
        if request.busy_by_service is not None:
            now = asyncio.get_running_loop().time()
            self._planner.demand.report(
                request.entry.id, request.busy_by_service, now
            )
        return wire.encode(reply)

    async def _claims(self, sender: str, body: bytes) -> bytes:
        self._leader.require_ready()
        batch = wire.decode(body, claims.ClaimBatch)
        entries = {claim.entry for claim in batch.claims}
        entries |= {outcome.entry for outcome in batch.outcomes}
        if entries - {sender}:
            raise peers.ErrorStatusError(
                403,
                f'{sender} sent claims of {", ".join(sorted(entries))}',
                'Claim only for the own entry.',
            )
        with self._claim_latency.time():
            return wire.encode(await self._batcher.submit(batch))

    async def _presence_report(self, sender: str, body: bytes) -> bytes:
        self._leader.require_ready()
        report = wire.decode(body, membership.PresenceReport)
        if report.entry != sender:
            raise peers.ErrorStatusError(
                403,
                f'{sender} sent a report of {report.entry}',
                'Report only for the own entry.',
            )
        now = asyncio.get_running_loop().time()
        wants_complete = self._presence.receive(report, now)
        return wire.encode(
            membership.PresenceReply(wants_complete=wants_complete)
        )


def _with_peer_errors(handler: RawPeerHandler) -> RawPeerHandler:
    """Wrap a handler so that control errors get their HTTP status."""

    async def handle(sender: str, body: bytes) -> Any:
        try:
            return await handler(sender, body)
        except errors.ControlError as error:
            raise peers.ErrorStatusError(
                error.status, error.message, error.remedy
            ) from error
        except agreement.OutcomeUnknownError as error:
            raise peers.ErrorStatusError(
                504, error.message, error.remedy
            ) from error

    return handle

"""The request path of an entry within a test process, without control."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
import msgspec

from verbenastream.connection import peers
from verbenastream.connection import sending
from verbenastream import ids
from verbenastream.process import clock
from verbenastream.process.entry import attempts
from verbenastream.process.entry import calls
from verbenastream.process.entry import claiming
from verbenastream.process.entry import customers
from verbenastream.process.entry import dispatching
from verbenastream.process.entry import keyed
from verbenastream.process.entry import listeners
from verbenastream.process.entry import observing
from verbenastream.process.entry import outbox
from verbenastream.process.membership import view as views
from verbenastream.process import metrics
from verbenastream.process import reports
from verbenastream.process import settings
from verbenastream.process import traces
from verbenastream.request import claims
from verbenastream.request import dispatch
from verbenastream.request import events
from verbenastream.version import documents
from verbenastream.version import fleet
from verbenastream_testing import samples

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from verbenastream_testing import world as worlds

_ENTRY = ids.EntryId('entry-1')
_EPOCH = ids.Epoch(1)
_PORT = 8000
_INITIAL_CLOCK_LAG_S = 10.0
_TICK_S = 0.02
_MAX_BODY_BYTES = 2**20
MAX_HEADER_BYTES = 4096


class ClaimTable:
    """A fake control leader that keeps claims in memory."""

    def __init__(self) -> None:
        self._claims_by_key: dict[str, claims.Claim] = {}
        self.outcomes_by_key: dict[str, claims.ClaimOutcome] = {}

    async def call(
        self, path: str, message: claims.ClaimBatch, reply: type, limit: float
    ) -> claims.ClaimBatchReply:
        for outcome in message.outcomes:
            self.outcomes_by_key[outcome.key] = outcome
        return claims.ClaimBatchReply(
            tuple(self._claim(claim) for claim in message.claims)
        )

    def _claim(self, claim: claims.Claim) -> claims.ClaimReply:
        granted = self._claims_by_key.setdefault(claim.key, claim)
        if granted is claim:
            return claims.ClaimReply(claims.ClaimState.GRANTED)
        if granted.digest != claim.digest:
            return claims.ClaimReply(claims.ClaimState.MISMATCH)
        outcome = self.outcomes_by_key.get(claim.key)
        if outcome is None:
            return claims.ClaimReply(claims.ClaimState.IN_PROGRESS)
        return claims.ClaimReply(claims.ClaimState.ANSWERED, outcome.answer)


@dataclasses.dataclass(slots=True)
class ReceivedRequest:
    """A request as a scripted target received it."""

    headers: dict[str, str]
    body: bytes
    complete: bool


class ScriptedTarget:
    """A target that records requests and answers them with ``respond``."""

    def __init__(
        self, respond: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> None:
        self.respond = respond
        self.received: list[ReceivedRequest] = []
        self.connections: set[object] = set()
        # Address and port that it announces in place of its own, if any.
        self.announced: tuple[str, int] | None = None

    def application(self) -> web.Application:
        app = web.Application(client_max_size=2**30)
        app.router.add_route('*', '/{path:.*}', self._handle)
        return app

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        self.connections.add(request.transport)
        received = ReceivedRequest(dict(request.headers), b'', False)
        self.received.append(received)
        async for chunk in request.content.iter_any():
            received.body += chunk
        received.complete = True
        return await self.respond(request)


class EntryHarness:
    """The request path of one entry with real sockets on loopback."""

    def __init__(self, world: worlds.World) -> None:
        self._world = world
        self._view = views.EntryView()
        self.claims = ClaimTable()
        self.registry = metrics.Metrics()
        self.url = ''
        self._clock_lag_s = 0.0
        # Pauses of the process before its next attempts are sent.
        self.pauses_s: list[float] = []
        self.service = ids.ServiceId(samples.MEXICO.services[0])

    def _time(self) -> float:
        return clock.boot_time() - self._clock_lag_s

    def _sending_time(self) -> float:
        pause_s = self.pauses_s.pop(0) if self.pauses_s else 0.0
        return self._time() + pause_s

    async def start(self, targets: list[ScriptedTarget]) -> None:
        client = peers.PeerClient.from_config(
            settings.Deployment('test', '00' * 32),
            _ENTRY,
            settings.TlsOff.OFF,
        )
        self._world.on_close(client.close)
        driver = dispatching.DispatchDriver(
            _ENTRY,
            dispatch.Dispatcher.from_config(
                _ENTRY, ids.Incarnation(1), random.Random(1), 'mx-1'
            ),
            outbox.Outbox(
                client, _ENTRY, ids.Incarnation(1), lambda envelope: None
            ),
            self._time,
        )
        session = aiohttp.ClientSession(
            auto_decompress=False, trace_configs=[sending.trace_config()]
        )
        self._world.on_close(session.close)
        claimant = claiming.ClaimClient(
            self.claims,  # type: ignore[arg-type]
            _ENTRY,
            ids.Incarnation(1),
        )
        handler = self._make_handler(driver, session, claimant)
        self._start_task(driver.run())
        self._start_task(claimant.run())
        await self._listen(handler)
        await self._register_targets(driver, targets)

    def _make_handler(
        self,
        driver: dispatching.DispatchDriver,
        session: aiohttp.ClientSession,
        claimant: claiming.ClaimClient,
    ) -> calls.CallHandler:
        directory = customers.CustomerDirectory()
        document = samples.document(samples.MEXICO, self.service)
        document = msgspec.structs.replace(
            document,
            limits=documents.RequestLimits(max_body_bytes=_MAX_BODY_BYTES),
        )
        self._view.documents_by_service[self.service] = document
        directory.update([document])
        observer = observing.RequestObserver(
            reports.BurnCounters(_ENTRY, ids.Incarnation(1)),
            traces.TraceRecorder(None, 'test', _ENTRY),
            self.registry,
            lambda: self._view,
        )
        return calls.CallHandler(
            lambda: self._view,
            directory,
            driver,
            attempts.AttemptRunner(session, self._sending_time),
            keyed.KeyClaimer(claimant),
            observer,
        )

    async def _listen(self, handler: calls.CallHandler) -> None:
        address = self._world.address()
        app = listeners.make_caller_app(handler, MAX_HEADER_BYTES)
        await self._world.serve(app, address, _PORT)
        self.url = f'http://{address}:{_PORT}/call/{self.service}'

    async def _register_targets(
        self,
        driver: dispatching.DispatchDriver,
        targets: list[ScriptedTarget],
    ) -> None:
        target_infos = []
        for number, target in enumerate(targets):
            address = self._world.address()
            await self._world.serve(target.application(), address, _PORT)
            record = fleet.InstanceRecord(
                ids.InstanceId(f'worker-{number}'),
                ids.DataCentreId('mx-1'),
                ids.RackId(f'rack-{number}'),
                *(target.announced or (address, _PORT)),
                samples.MEXICO.resources,
                state=fleet.InstanceState.SERVING,
                pool=ids.PoolId(self.service),
                epoch=_EPOCH,
            )
            target_infos.append(events.TargetInfo(record, 0, False, False))
        # A new owner of slots waits until the grants of its predecessor have
        # expired. The clock starts in the past, so no scenario waits for it.
        self._clock_lag_s = _INITIAL_CLOCK_LAG_S
        documents_in_force = tuple(self._view.documents_by_service.values())
        driver.handle(events.DocumentsChanged(documents_in_force))
        driver.handle(events.LeaseChanged(True))
        driver.handle(events.EntriesChanged(_EPOCH, (_ENTRY,)))
        driver.handle(events.TargetsChanged(tuple(target_infos)))
        while self._clock_lag_s > 0:
            self._clock_lag_s = max(0.0, self._clock_lag_s - _TICK_S)
            driver.handle(events.Tick())

    def _start_task(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]

        async def cancel() -> None:
            task.cancel()

        self._world.on_close(cancel)

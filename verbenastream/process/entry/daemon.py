"""Starts, connects and stops the parts of an entry."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import random
import signal
import time
from typing import Any

import aiohttp
import logbook

from verbenastream.connection import peers
from verbenastream.connection import sending
from verbenastream import ids
from verbenastream.process import clock
from verbenastream.process.entry import announcing
from verbenastream.process.entry import attempts
from verbenastream.process.entry import calls
from verbenastream.process.entry import claiming
from verbenastream.process.entry import customers
from verbenastream.process.entry import dispatching
from verbenastream.process.entry import keyed
from verbenastream.process.entry import leader
from verbenastream.process.entry import listeners
from verbenastream.process.entry import observing
from verbenastream.process.entry import outbox
from verbenastream.process.entry import quorum
from verbenastream.process.entry import renewal
from verbenastream.process.entry import targets
from verbenastream.process.membership import messages
from verbenastream.process.membership import view as views
from verbenastream.process import metrics
from verbenastream.process import reports
from verbenastream.process import settings
from verbenastream.process import traces
from verbenastream.request import dispatch
from verbenastream.request import events

LOG = logbook.Logger(__name__)

_LEASE_CHECK_INTERVAL_S = 0.05
_STOP_CHECK_INTERVAL_S = 0.05
# Idle connections are closed before the target closes them, so that few
# requests are sent on a connection that the target is closing.
_KEEPALIVE_TIMEOUT_S = 10.0


class Daemon:
    """One ``verbenastream-entry`` process.

    All parts run on one event loop. ``run`` returns after SIGTERM or SIGINT
    once no request is in flight.
    """

    def __init__(self, config: settings.EntrySettings) -> None:
        self._config = config
        self._id = ids.EntryId(config.id)
        # Wall-clock start time: it grows with each start of this entry.
        self._incarnation = ids.Incarnation(time.time_ns() // 1_000_000)
        self._metrics = metrics.Metrics()
        self._client = peers.PeerClient.from_config(
            config.deployment, config.id, config.peer_tls, self._metrics
        )
        self._recorder = traces.TraceRecorder.from_config(
            config.trace_file, config.deployment.name, config.id
        )
        control = leader.LeaderClient(self._client, config.control)
        public_listener = config.advertised or config.peers
        self._entry_record = messages.EntryRecord(
            self._id,
            self._incarnation,
            ids.DataCentreId(config.data_centre),
            public_listener.address,
            public_listener.port,
        )
        self._lease_keeper = renewal.LeaseKeeper(
            control, self._entry_record, config.timings
        )
        self._quorum = quorum.EntryQuorum(self._id)
        self._outbox = outbox.Outbox(
            self._client, self._id, self._incarnation, self._receive_slots
        )
        self._driver = dispatching.DispatchDriver(
            self._id,
            dispatch.Dispatcher.from_config(
                self._id,
                self._incarnation,
                random.Random(self._incarnation),
                config.data_centre,
            ),
            self._outbox,
            clock.boot_time,
        )
        self._claim_client = claiming.ClaimClient(
            control, self._id, self._incarnation
        )
        self._customers = customers.CustomerDirectory()
        self._presence = announcing.PresenceExchange(
            self._entry_record,
            self._client,
            control,
            lambda: self._lease_keeper.view,
            config.timings.presence_interval_s,
        )
        self._observer = observing.RequestObserver(
            reports.BurnCounters(self._id, self._incarnation),
            self._recorder,
            self._metrics,
            lambda: self._lease_keeper.view,
        )
        self._lease_keeper.load_source = self._observer
        self._tasks: list[asyncio.Task[Any]] = []
        self._lease_valid = False
        self._stopping = asyncio.Event()

    @classmethod
    def from_config(cls, config: settings.EntrySettings) -> Daemon:
        return cls(config)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stopping.set)
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=_KEEPALIVE_TIMEOUT_S
        )
        async with aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            trace_configs=[sending.trace_config()],
            skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
        ) as session:
            # aiohttp repeats PUT, GET and other idempotent methods by itself
            # when a keep-alive connection closes, so that keyed work would run
            # twice. Only the dispatcher decides on a retry.
            session._retry_connection = False
            handler = self._make_handler(session)
            servers = listeners.EntryListeners(
                self._config,
                self._metrics,
                handler,
                self._answer_slots,
                self._presence,
                self._is_ready,
            )
            self._subscribe()
            self._add_gauges()
            self._start_tasks()
            await servers.start()
            LOG.info('entry started', extra={'entry': self._id})
            await self._stopping.wait()
            await self._stop(handler, servers)
        LOG.info('entry stopped', extra={'entry': self._id})

    def _make_handler(
        self, session: aiohttp.ClientSession
    ) -> calls.CallHandler:
        return calls.CallHandler(
            lambda: self._lease_keeper.view,
            self._customers,
            self._driver,
            attempts.AttemptRunner(session, clock.boot_time),
            keyed.KeyClaimer(self._claim_client),
            self._observer,
        )

    def _subscribe(self) -> None:
        self._driver.handle(events.LeaseChanged(False))
        self._lease_keeper.views.subscribe(on_next=self._apply_view)
        self._presence.changes.subscribe(on_next=self._apply_presence)

    def _add_gauges(self) -> None:
        for name, help_text, value in (
            (
                'verbenastream_lease_valid',
                '1 while this entry may send work.',
                lambda: self._lease_valid,
            ),
            (
                'verbenastream_open_requests',
                'Requests that wait or run at this entry.',
                lambda: self._driver.in_flight,
            ),
            (
                'verbenastream_applied_index',
                'Index of the committed state that this entry applies.',
                lambda: self._lease_keeper.view.index,
            ),
            (
                'verbenastream_present_targets',
                'Targets that announce themselves, suspected ones included.',
                lambda: len(self._presence.present_by_id),
            ),
        ):
            self._metrics.gauge(name, help_text).set_function(value)

    def _start_tasks(self) -> None:
        for coroutine in (
            self._lease_keeper.run(),
            self._claim_client.run(),
            self._driver.run(),
            self._presence.run(),
            self._watch_lease(),
        ):
            self._start_task(coroutine)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._stop_on_failure)
        self._tasks.append(task)

    def _stop_on_failure(self, task: asyncio.Task[Any]) -> None:
        """Stop the process when one of its tasks fails."""
        if not task.cancelled() and task.exception() is not None:
            LOG.error('a task of the entry failed: {!r}', task.exception())
            self._stopping.set()

    def _is_ready(self) -> bool:
        return (
            self._lease_valid
            and self._lease_keeper.view.index > 0
            and not self._stopping.is_set()
        )

    def _apply_view(self, view: views.EntryView) -> None:
        self._customers.update(view.documents_by_service.values())
        others = {
            entry.id: settings.Peer(entry.address, entry.port)
            for entry in view.entries_by_id.values()
            if entry.id != self._id
        }
        self._outbox.set_peers(others)
        self._quorum.set_entries(view.entries_by_id)
        self._presence.set_peers(others)
        self._driver.handle(
            events.DocumentsChanged(tuple(view.documents_by_service.values()))
        )
        self._driver.handle(
            events.EntriesChanged(
                view.entry_epoch,
                tuple(entry.id for entry in view.live_entries()),
                tuple(
                    entry.id
                    for entry in view.entries_by_id.values()
                    if entry.leaving
                ),
            )
        )
        self._apply_presence(None)

    def _apply_presence(self, _: object) -> None:
        usable = targets.usable_targets(
            self._lease_keeper.view, self._presence.present_by_id
        )
        self._driver.handle(events.TargetsChanged(usable))

    async def _watch_lease(self) -> None:
        """Notify the dispatcher when the permission to send work changes."""
        while True:
            now = clock.boot_time()
            has_lease = self._lease_keeper.is_valid(now)
            self._presence.set_lease(has_lease)
            valid = has_lease or self._quorum.may_serve(
                self._lease_keeper.view.index, self._presence.peer_leases, now
            )
            if valid != self._lease_valid:
                self._lease_valid = valid
                LOG.info('lease changed', extra={'valid': valid})
                self._driver.handle(events.LeaseChanged(valid))
            await asyncio.sleep(_LEASE_CHECK_INTERVAL_S)

    def _receive_slots(self, envelope: outbox.SlotEnvelope) -> None:
        for message in envelope.messages:
            self._driver.handle(events.PeerMessage(envelope.entry, message))

    async def _answer_slots(
        self, sender: str, envelope: outbox.SlotEnvelope
    ) -> outbox.SlotEnvelope:
        return self._outbox.answer(envelope)

    async def _stop(
        self, handler: calls.CallHandler, servers: listeners.EntryListeners
    ) -> None:
        """Leave the load balancer, finish the open requests and close."""
        LOG.info('entry stops', extra={'in_flight': handler.open_calls})
        # Control removes this entry from the set of slot owners.
        self._lease_keeper.leaving = True
        await asyncio.sleep(self._config.timings.balancer_interval_s)
        handler.stop_accepting()
        drain_deadline = clock.boot_time() + self._config.timings.drain_limit_s
        while (
            handler.open_calls
            or self._driver.in_flight
            or not self._claim_client.idle
        ) and clock.boot_time() < drain_deadline:
            await asyncio.sleep(_STOP_CHECK_INTERVAL_S)
        await servers.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._lease_keeper.send_final_counts()
        self._recorder.close()
        await self._outbox.close()
        await self._client.close()

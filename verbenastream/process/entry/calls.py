"""Handles the requests of callers from admission to the answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import hashlib
from typing import Any
from typing import TYPE_CHECKING
import uuid

import aiohttp
from aiohttp import web
import logbook

from verbenastream.connection import proxying
from verbenastream.connection.proxying import headers as header_rules
from verbenastream import errors
from verbenastream import ids
from verbenastream.process import clock
from verbenastream.process.entry import answers
from verbenastream.process.entry import attempts
from verbenastream.process.entry import keyed
from verbenastream.process.entry import observing
from verbenastream.request import actions
from verbenastream.request import claims
from verbenastream.request import events

if TYPE_CHECKING:
    from verbenastream.process.entry import customers
    from verbenastream.process.entry import dispatching
    from verbenastream.process.membership import view as views
    from verbenastream.version.documents import schema

LOG = logbook.Logger(__name__)

_NON_IDEMPOTENT_METHODS = frozenset({'POST', 'PATCH'})


@dataclasses.dataclass(slots=True)
class Call:
    """A request of a caller that the entry processes."""

    request: web.Request
    info: events.RequestInfo
    body: proxying.RequestBody
    digest: str | None
    progress: observing.AttemptProgress
    complete: bool = True


class CallHandler:
    """Authenticates, claims, queues, forwards and answers requests."""

    def __init__(
        self,
        current_view: Callable[[], views.EntryView],
        directory: customers.CustomerDirectory,
        driver: dispatching.DispatchDriver,
        runner: attempts.AttemptRunner,
        claimer: keyed.KeyClaimer,
        observer: observing.RequestObserver,
    ) -> None:
        self._current_view = current_view
        self._directory = directory
        self._driver = driver
        self._runner = runner
        self._claimer = claimer
        self._observer = observer
        self._accepting = True
        self.open_calls = 0

    def stop_accepting(self) -> None:
        """Answer new requests with 503 from now on."""
        self._accepting = False

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Serve ``ANY /call/{service}/{operation}``."""
        arrived_at = clock.boot_time()
        self.open_calls += 1
        try:
            return await self._answer(request, arrived_at)
        finally:
            self.open_calls -= 1

    async def _answer(
        self, request: web.Request, arrived_at: float
    ) -> web.StreamResponse:
        id = ids.RequestId(uuid.uuid4().hex)
        try:
            call = await self._admit(request, id, arrived_at)
        except answers.RequestRefusedError as error:
            self._observer.record_refusal(
                request.match_info['service'],
                error.status,
                claims.Outcome.NOT_RUN.value,
            )
            return answers.refused_response(id, error)
        if call.info.key is None:
            return await self._observe(call, self._serve(call))
        # A keyed request continues when its caller disconnects, so that its
        # outcome is recorded and a repeat receives the recorded answer.
        return await asyncio.shield(
            asyncio.ensure_future(self._observe(call, self._serve_keyed(call)))
        )

    async def _observe(
        self, call: Call, coroutine: Coroutine[Any, Any, web.StreamResponse]
    ) -> web.StreamResponse:
        self._observer.record_arrival(
            call.info, call.request.content_length or 0
        )
        try:
            response = await coroutine
        except BaseException:
            self._observer.record_cancellation(call.info)
            raise
        self._observer.record_answer(
            call.info, call.progress, response, call.complete
        )
        return response

    async def _admit(
        self, request: web.Request, id: ids.RequestId, arrived_at: float
    ) -> Call:
        if not self._accepting:
            raise answers.RequestRefusedError(
                503, 'this entry is shutting down', retry_after_s=1.0
            )
        service = ids.ServiceId(request.match_info['service'])
        customer = self._directory.authenticate(
            service, request.headers.get('Authorization', '')
        )
        if customer is None:
            raise answers.RequestRefusedError(
                401, 'unknown key. Send Authorization: Bearer KEY'
            )
        document = self._current_view().documents_by_service[service]
        operation_name = request.match_info['operation']
        operation = document.operations.get(operation_name)
        if operation is None:
            raise answers.RequestRefusedError(
                404,
                f'service {service} has no operation {operation_name}. '
                'Use an operation of the document in force',
            )
        if (
            not operation.idempotent
            and request.method not in _NON_IDEMPOTENT_METHODS
        ):
            raise answers.RequestRefusedError(
                405,
                f'operation {operation_name} is not idempotent. '
                'Use POST or PATCH',
            )
        body = await self._read_body(request, document.limits.max_body_bytes)
        key = request.headers.get(header_rules.IDEMPOTENCY_HEADER)
        info = events.RequestInfo(
            id=id,
            service=service,
            operation=operation_name,
            customer=customer,
            deadline=arrived_at + _deadline_s(request, operation),
            work_class=operation.work_class,
            idempotent=operation.idempotent and key is None,
            key=ids.IdempotencyKey(key) if key else None,
        )
        digest = _digest(request, body) if key else None
        return Call(
            request, info, body, digest, observing.AttemptProgress(arrived_at)
        )

    @staticmethod
    async def _read_body(
        request: web.Request, max_bytes: int
    ) -> proxying.RequestBody:
        try:
            return await proxying.RequestBody.from_request(request, max_bytes)
        except proxying.BodyTooLargeError as error:
            raise answers.RequestRefusedError(413, str(error)) from error

    async def _serve_keyed(self, call: Call) -> web.StreamResponse:
        assert call.digest is not None
        reply = await self._claimer.claim(call.info, call.digest)
        if isinstance(reply, web.StreamResponse):
            return reply
        try:
            response = await self._serve(call)
        except BaseException:
            self._claimer.record_unknown(call.info)
            raise
        self._claimer.record_response(call.info, response)
        return response

    async def _serve(self, call: Call) -> web.StreamResponse:
        action_queue = self._driver.register(call.info.id)
        finished = False
        try:
            self._driver.handle(events.RequestArrived(call.info))
            response = await self._run_attempts(call, action_queue)
            finished = True
            return response
        finally:
            if not finished:
                self._driver.handle(events.RequestCancelled(call.info.id))
            self._driver.release(call.info.id)

    async def _run_attempts(
        self,
        call: Call,
        action_queue: asyncio.Queue[dispatching.RequestAction],
    ) -> web.StreamResponse:
        while True:
            action = await action_queue.get()
            match action:
                case actions.Finish():
                    return answers.finished_response(action)
                case actions.StartAttempt():
                    response = await self._attempt(call, action)
                    if response is not None:
                        return response
                case actions.AbortAttempt():
                    # Attempts run in this task, so none is active here.
                    continue

    async def _attempt(
        self, call: Call, start: actions.StartAttempt
    ) -> web.StreamResponse | None:
        retryable = call.info.idempotent and call.body.replayable
        if call.body.consumed:
            self._driver.handle(
                events.AttemptFailed(
                    start.id,
                    start.instance,
                    events.FailureKind.RESET,
                    bytes_sent=True,
                )
            )
            return None
        sent_at = clock.boot_time()
        call.progress.record_attempt(start.instance, sent_at)
        result = await self._runner.run(
            call.request,
            call.body,
            call.info,
            start,
            retry_statuses=retryable,
        )
        match result:
            case attempts.FailedAttempt(event=event):
                self._driver.handle(event)
                return None
            case attempts.BufferedAnswer():
                self._report_completed(start, result.status, sent_at)
                return answers.buffered_response(result)
            case attempts.StreamedAnswer():
                return await self._stream(call, start, result, sent_at)

    async def _stream(
        self,
        call: Call,
        start: actions.StartAttempt,
        answer: attempts.StreamedAnswer,
        sent_at: float,
    ) -> web.StreamResponse:
        self._driver.handle(
            events.AnswerStarted(start.id, start.instance, answer.status)
        )
        stream = answers.streamed_response(answer)
        try:
            await stream.prepare(call.request)
            sha256 = await attempts.stream_answer(
                answer, stream, call.info.deadline - clock.boot_time()
            )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            answer.response.close()
            call.complete = False
            self._driver.handle(
                events.AttemptFailed(
                    start.id,
                    start.instance,
                    events.FailureKind.TRUNCATED,
                    bytes_sent=True,
                    answer_started=True,
                )
            )
            LOG.warning(
                'answer truncated: {}',
                repr(error),
                extra={'request': start.id, 'instance': start.instance},
            )
            # Aborting the connection keeps the caller from taking a truncated
            # answer for a complete one.
            if call.request.transport is not None:
                call.request.transport.abort()
            return stream
        except BaseException:
            answer.response.close()
            raise
        stream[answers.BODY_SHA256] = sha256
        self._report_completed(start, answer.status, sent_at)
        return stream

    def _report_completed(
        self, start: actions.StartAttempt, status: int, sent_at: float
    ) -> None:
        self._driver.handle(
            events.AttemptCompleted(
                start.id, start.instance, status, clock.boot_time() - sent_at
            )
        )


def _deadline_s(request: web.Request, operation: schema.Operation) -> float:
    """Return the caller's deadline, limited by that of the operation."""
    value = request.headers.get(header_rules.DEADLINE_HEADER, '')
    if value.isdecimal() and int(value) > 0:
        return min(int(value) / 1000, operation.deadline_s)
    return operation.deadline_s


def _digest(request: web.Request, body: proxying.RequestBody) -> str:
    try:
        content = body.sha256(
            request.headers.get(header_rules.CONTENT_DIGEST_HEADER)
        )
    except errors.VerbenastreamError as error:
        raise answers.RequestRefusedError(400, str(error)) from error
    parts = f'{request.method}\n{request.path_qs}\n{content}'
    return hashlib.sha256(parts.encode()).hexdigest()

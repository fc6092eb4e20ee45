"""HTTP handlers of operators: documents, history and their progress."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Any
from typing import TYPE_CHECKING
import uuid

from aiohttp import web
import logbook

from verbenastream import errors as base_errors
from verbenastream import ids
from verbenastream.process.control import errors
from verbenastream.process.control import messages
from verbenastream.process.control import operators
from verbenastream.process import state as states
from verbenastream.process.state import documents as document_tables
from verbenastream.version import documents

if TYPE_CHECKING:
    from verbenastream.process.control import in_force as trackers
    from verbenastream.process.control import leadership
    from verbenastream.process.control import log_clock
    from verbenastream.process.control import recording

LOG = logbook.Logger(__name__)

_MAX_WAIT_S = 30.0
_POLL_S = 0.02
_MAX_ID_CHARS = 200
_STATUS_BY_VERDICT = {
    states.Verdict.ACCEPTED: 200,
    states.Verdict.CONFLICT: 409,
    states.Verdict.REJECTED: 422,
    states.Verdict.REUSED: 422,
}
_MESSAGE_BY_VERDICT = {
    states.Verdict.CONFLICT: (
        'the document has changed since its base revision',
        'Look at the difference, merge it, and submit with the current '
        'revision as base.',
    ),
    states.Verdict.REJECTED: (
        'the fleet can never meet the document',
        'Follow the reasons and submit again.',
    ),
    states.Verdict.REUSED: (
        'the submission id belongs to another document',
        'Submit without the id to get a new one.',
    ),
}


class DocumentsApi:
    """Only the leader answers, after a read barrier for reads."""

    def __init__(
        self,
        state: states.ControlState,
        leader: leadership.Leadership,
        tracker: trackers.InForceTracker,
        clock: log_clock.LogClock,
        keys: operators.TeamKeys,
        propose: Callable[[states.Command], Awaitable[Any]],
        read_barrier: Callable[[], Awaitable[Any]],
        trace: recording.TraceLog,
    ) -> None:
        self._trace = trace
        self._state = state
        self._leader = leader
        self._tracker = tracker
        self._clock = clock
        self._keys = keys
        self._propose = propose
        self._read_barrier = read_barrier

    def add_routes(self, app: web.Application) -> None:
        guarded = operators.guarded
        router = app.router
        router.add_post('/v1/documents/{service}', guarded(self.submit))
        router.add_get('/v1/documents/{service}', guarded(self.show))
        router.add_get('/v1/history/{service}', guarded(self.history))
        router.add_get(
            '/v1/history/{service}/{revision}', guarded(self.revision)
        )
        router.add_get('/v1/in-force/{service}', guarded(self.in_force))

    async def submit(self, request: web.Request) -> web.StreamResponse:
        """Accept a document; the query names base revision and id."""
        service = request.match_info['service']
        self._leader.require()
        team = self._keys.authorize(
            request.headers.get('Authorization'), service
        )
        data = await _read(request, documents.MAX_DOCUMENT_BYTES)
        document = documents.check_document(data, 'the document', service)
        if document.team != team:
            raise errors.ForbiddenError(
                f'the document names team {document.team}, the key is of '
                f'team {team}',
                'Correct "team" or use the key of that team.',
            )
        submission = request.query.get('submission_id') or str(uuid.uuid4())
        command = states.SubmitDocument(
            document=document,
            base_revision=ids.Revision(_integer(request, 'base_revision', 0)),
            submission=ids.SubmissionId(submission[:_MAX_ID_CHARS]),
            submitted_at=time.time(),
            at=self._clock.now(),
        )
        result = await self._propose(command)
        self._trace.submitted(command)
        LOG.info(
            'submission for {}: {}',
            service,
            result.verdict.value,
            extra={'revision': result.revision, 'team': team},
        )
        return _answer(result)

    async def show(self, request: web.Request) -> web.StreamResponse:
        await self._read()
        record = self._current(request)
        return operators.answer(
            messages.Shown(
                service=ids.ServiceId(record.document.service),
                revision=record.revision,
                submitted_at=record.submitted_at,
                document=record.document,
                status=self._status(record),
            )
        )

    async def history(self, request: web.Request) -> web.StreamResponse:
        await self._read()
        current = self._current(request)
        service = ids.ServiceId(current.document.service)
        records = self._state.documents.history_by_service[service]
        return operators.answer(
            messages.History(
                service,
                tuple(
                    messages.HistoryItem(
                        record.revision,
                        record.index,
                        record.submission,
                        record.submitted_at,
                    )
                    for record in records
                ),
            )
        )

    async def revision(self, request: web.Request) -> web.StreamResponse:
        await self._read()
        record = self._find(request, request.match_info['revision'])
        return operators.answer(
            messages.HistoryDocument(
                record.revision, record.submitted_at, record.document
            )
        )

    async def in_force(self, request: web.Request) -> web.StreamResponse:
        """Answer when the revision is in force or ``wait_s`` has passed."""
        await self._read()
        loop = asyncio.get_running_loop()
        wait_s = min(_integer(request, 'wait_s', 0), _MAX_WAIT_S)
        deadline = loop.time() + wait_s
        record = self._find(request, request.query.get('revision'))
        while True:
            self._leader.require()
            self._tracker.update(loop.time())
            status = self._status(record)
            if status.in_force or loop.time() >= deadline:
                return operators.answer(status)
            await asyncio.sleep(_POLL_S)

    async def _read(self) -> None:
        await self._read_barrier()

    def _status(
        self, record: document_tables.RevisionRecord
    ) -> messages.InForce:
        now = asyncio.get_running_loop().time()
        return self._tracker.status(record, now)

    def _current(self, request: web.Request) -> document_tables.RevisionRecord:
        service = ids.ServiceId(request.match_info['service'])
        record = self._state.documents.current(service)
        if record is None:
            known = sorted(self._state.documents.history_by_service)
            raise errors.NotFoundError(
                f'there is no document for service {service}',
                'Submit one, or use one of: '
                + (', '.join(known) or 'none')
                + '.',
            )
        return record

    def _find(
        self, request: web.Request, revision: str | None
    ) -> document_tables.RevisionRecord:
        current = self._current(request)
        if revision is None:
            return current
        service = ids.ServiceId(current.document.service)
        records = self._state.documents.history_by_service[service]
        for record in records:
            if str(record.revision) == revision:
                return record
        raise errors.NotFoundError(
            f'revision {revision[:20]} of {service} is not kept',
            f'Use {records[0].revision} to {records[-1].revision}.',
        )


def _answer(result: states.SubmitResult) -> web.StreamResponse:
    status = _STATUS_BY_VERDICT[result.verdict]
    if status == 200:
        return operators.answer(result)
    message, remedy = _MESSAGE_BY_VERDICT[result.verdict]
    return operators.failure(
        status,
        messages.Failure(
            kind=result.verdict.value,
            message=message,
            remedy=remedy,
            result=result,
        ),
    )


async def _read(request: web.Request, limit: int) -> bytes:
    """Return the body; one byte above the limit is enough to refuse it."""
    data = bytearray()
    async for chunk in request.content.iter_any():
        data += chunk
        if len(data) > limit:
            break
    return bytes(data)


def _integer(request: web.Request, name: str, default: int) -> int:
    text = request.query.get(name)
    if text is None:
        return default
    if text.isdecimal() and len(text) < 10:
        return int(text)
    raise base_errors.InvalidInputGroup.from_problems(
        'the query',
        [
            base_errors.Problem(
                f'$.{name}',
                text[:80],
                'not a whole number',
                f'Write {name} as a number, for example {default}.',
            )
        ],
    )

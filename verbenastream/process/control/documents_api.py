"""HTTP handlers for documents, their history and their rollout."""

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
_POLL_INTERVAL_S = 0.02
_MAX_SUBMISSION_ID_CHARS = 200
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
    """Serves the documents to operators.

    Only the leader answers; reads wait for a read barrier first.
    """

    def __init__(
        self,
        state: states.ControlState,
        leader: leadership.Leadership,
        tracker: trackers.InForceTracker,
        clock: log_clock.LogClock,
        team_keys: operators.TeamKeys,
        propose: Callable[[states.Command], Awaitable[Any]],
        read_barrier: Callable[[], Awaitable[Any]],
        trace: recording.TraceLog,
    ) -> None:
        self._trace = trace
        self._state = state
        self._leader = leader
        self._tracker = tracker
        self._clock = clock
        self._team_keys = team_keys
        self._propose = propose
        self._read_barrier = read_barrier

    def add_routes(self, app: web.Application) -> None:
        with_json_errors = operators.with_json_errors
        router = app.router
        router.add_post(
            '/v1/documents/{service}', with_json_errors(self.submit)
        )
        router.add_get('/v1/documents/{service}', with_json_errors(self.show))
        router.add_get('/v1/history/{service}', with_json_errors(self.history))
        router.add_get(
            '/v1/history/{service}/{revision}', with_json_errors(self.revision)
        )
        router.add_get(
            '/v1/in-force/{service}', with_json_errors(self.in_force)
        )

    async def submit(self, request: web.Request) -> web.StreamResponse:
        """Submit a document.

        The query gives the base revision and, optionally, a submission id
        that makes a repeated call idempotent.
        """
        service = request.match_info['service']
        self._leader.require_ready()
        team = self._team_keys.authorize(
            request.headers.get('Authorization'), service
        )
        data = await _read_body(request, documents.MAX_DOCUMENT_BYTES)
        document = documents.check_document(data, 'the document', service)
        if document.team != team:
            raise errors.ForbiddenError(
                f'the document names team {document.team}, but the key '
                f'belongs to team {team}',
                'Correct "team" or use the key of that team.',
            )
        submission = request.query.get('submission_id') or str(uuid.uuid4())
        command = states.SubmitDocument(
            document=document,
            base_revision=ids.Revision(
                _query_integer(request, 'base_revision', 0)
            ),
            submission=ids.SubmissionId(submission[:_MAX_SUBMISSION_ID_CHARS]),
            submitted_at=time.time(),
            at=self._clock.now(),
        )
        result = await self._propose(command)
        self._trace.record_submission(command)
        LOG.info(
            'submission for {}: {}',
            service,
            result.verdict.value,
            extra={'revision': result.revision, 'team': team},
        )
        return _submit_response(result)

    async def show(self, request: web.Request) -> web.StreamResponse:
        await self._wait_for_read_barrier()
        record = self._current_revision(request)
        return operators.json_response(
            messages.DocumentReply(
                service=ids.ServiceId(record.document.service),
                revision=record.revision,
                submitted_at=record.submitted_at,
                document=record.document,
                status=self._in_force_status(record),
            )
        )

    async def history(self, request: web.Request) -> web.StreamResponse:
        await self._wait_for_read_barrier()
        current = self._current_revision(request)
        service = ids.ServiceId(current.document.service)
        records = self._state.documents.history_by_service[service]
        return operators.json_response(
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
        await self._wait_for_read_barrier()
        record = self._find_revision(request, request.match_info['revision'])
        return operators.json_response(
            messages.HistoryDocument(
                record.revision, record.submitted_at, record.document
            )
        )

    async def in_force(self, request: web.Request) -> web.StreamResponse:
        """Answer once the revision is in force or ``wait_s`` has passed."""
        await self._wait_for_read_barrier()
        loop = asyncio.get_running_loop()
        wait_s = min(_query_integer(request, 'wait_s', 0), _MAX_WAIT_S)
        deadline = loop.time() + wait_s
        record = self._find_revision(request, request.query.get('revision'))
        while True:
            self._leader.require_ready()
            self._tracker.update(loop.time())
            status = self._in_force_status(record)
            if status.in_force or loop.time() >= deadline:
                return operators.json_response(status)
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _wait_for_read_barrier(self) -> None:
        await self._read_barrier()

    def _in_force_status(
        self, record: document_tables.RevisionRecord
    ) -> messages.InForce:
        now = asyncio.get_running_loop().time()
        return self._tracker.status(record, now)

    def _current_revision(
        self, request: web.Request
    ) -> document_tables.RevisionRecord:
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

    def _find_revision(
        self, request: web.Request, revision: str | None
    ) -> document_tables.RevisionRecord:
        current = self._current_revision(request)
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


def _submit_response(result: states.SubmitResult) -> web.StreamResponse:
    status = _STATUS_BY_VERDICT[result.verdict]
    if status == 200:
        return operators.json_response(result)
    message, remedy = _MESSAGE_BY_VERDICT[result.verdict]
    return operators.error_response(
        status,
        messages.Failure(
            kind=result.verdict.value,
            message=message,
            remedy=remedy,
            result=result,
        ),
    )


async def _read_body(request: web.Request, limit: int) -> bytes:
    """Return the body of the request.

    Reading stops above ``limit`` bytes: what was read is then enough for
    the document check to refuse the body by its size.
    """
    data = bytearray()
    async for chunk in request.content.iter_any():
        data += chunk
        if len(data) > limit:
            break
    return bytes(data)


def _query_integer(request: web.Request, name: str, default: int) -> int:
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

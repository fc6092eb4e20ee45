"""Authorizes operators by team keys and encodes responses as JSON."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import hashlib
import hmac
from typing import TYPE_CHECKING

from aiohttp import web
import logbook

from verbenastream.connection import peers
from verbenastream import errors as base_errors
from verbenastream.process import agreement
from verbenastream.process.control import errors
from verbenastream.process.control import messages
from verbenastream import wire

if TYPE_CHECKING:
    from collections.abc import Mapping

    from verbenastream.process import settings

LOG = logbook.Logger(__name__)

RequestHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_BEARER = 'Bearer '


class TeamKeys:
    """The keys of the teams, stored as SHA-256 hashes only."""

    def __init__(self, teams: Mapping[str, settings.Team]) -> None:
        self._teams_by_name = dict(teams)

    def authorize(self, header: str | None, service: str) -> str:
        """Return the team whose key is in the ``Authorization`` header.

        Raises ``UnauthorizedError`` without a known key and
        ``ForbiddenError`` if the team may not write ``service``.
        """
        team = self._find_team(header)
        if team is None:
            raise errors.UnauthorizedError(
                'the call has no known team key',
                'Pass the file with your team key as --team-key-file.',
            )
        services = self._teams_by_name[team].services
        if service not in services:
            raise errors.ForbiddenError(
                f'team {team} may not write service {service}',
                'It may write: ' + ', '.join(sorted(services)) + '.',
            )
        return team

    def _find_team(self, header: str | None) -> str | None:
        if header is None or not header.startswith(_BEARER):
            return None
        key = header[len(_BEARER) :].strip().encode()
        digest = hashlib.sha256(key).hexdigest()
        matching_team = None
        # Compares all hashes, so that the response time does not reveal
        # which one matched.
        for name, team in self._teams_by_name.items():
            if hmac.compare_digest(digest, team.key_sha256):
                matching_team = name
        return matching_team


def with_json_errors(handler: RequestHandler) -> RequestHandler:
    """Wrap a handler so that its errors become JSON responses."""

    async def handle(request: web.Request) -> web.StreamResponse:
        try:
            return await handler(request)
        except base_errors.InvalidInputGroup as group:
            return error_response(
                400,
                messages.Failure(
                    kind='invalid',
                    message=str(group.message),
                    remedy='Correct all problems and submit again.',
                    problems=tuple(
                        messages.Problem.from_error(problem)
                        for problem in group.problems
                    ),
                ),
            )
        except errors.ControlError as error:
            return error_response(
                error.status, _failure_body(error.kind, error)
            )
        except peers.NotLeaderError as error:
            return json_response(peers.LeaderHint(leader=error.leader), 421)
        except agreement.OutcomeUnknownError as error:
            return error_response(504, _failure_body('outcome_unknown', error))

    return handle


def json_response(value: object, status: int = 200) -> web.Response:
    """Return a response with ``value`` encoded as JSON."""
    return web.Response(
        status=status,
        body=wire.encode(value),
        content_type='application/json',
    )


def error_response(status: int, value: messages.Failure) -> web.Response:
    return json_response(value, status)


def _failure_body(
    kind: str, error: base_errors.VerbenastreamError
) -> messages.Failure:
    return messages.Failure(kind, error.message, error.remedy)

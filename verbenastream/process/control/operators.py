"""Access of operators: team keys, and error answers as JSON."""

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

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_BEARER = 'Bearer '


class TeamKeys:
    """Team keys, known as SHA-256 only."""

    def __init__(self, teams: Mapping[str, settings.Team]) -> None:
        self._teams_by_name = dict(teams)

    def authorize(self, header: str | None, service: str) -> str:
        """Return the team whose key the ``Authorization`` header carries.

        Raises ``UnauthorizedError`` without a known key and
        ``ForbiddenError`` if the team may not write ``service``.
        """
        team = self._find(header)
        if team is None:
            raise errors.UnauthorizedError(
                'the call carries no known team key',
                'Pass the file with your team key as --team-key-file.',
            )
        services = self._teams_by_name[team].services
        if service not in services:
            raise errors.ForbiddenError(
                f'team {team} may not write service {service}',
                'It may write: ' + ', '.join(sorted(services)) + '.',
            )
        return team

    def _find(self, header: str | None) -> str | None:
        if header is None or not header.startswith(_BEARER):
            return None
        key = header[len(_BEARER) :].strip().encode()
        digest = hashlib.sha256(key).hexdigest()
        found = None
        # All hashes are compared, so the time does not tell which matched.
        for name, team in self._teams_by_name.items():
            if hmac.compare_digest(digest, team.key_sha256):
                found = name
        return found


def guarded(handler: Handler) -> Handler:
    """Turn the errors of a handler into JSON answers."""

    async def handle(request: web.Request) -> web.StreamResponse:
        try:
            return await handler(request)
        except base_errors.InvalidInputGroup as group:
            return failure(
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
            return failure(error.status, _describe(error.kind, error))
        except peers.NotLeaderError as error:
            return answer(peers.LeaderHint(leader=error.leader), 421)
        except agreement.OutcomeUnknownError as error:
            return failure(504, _describe('outcome_unknown', error))

    return handle


def answer(value: object, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=wire.encode(value),
        content_type='application/json',
    )


def failure(status: int, value: messages.Failure) -> web.Response:
    return answer(value, status)


def _describe(
    kind: str, error: base_errors.VerbenastreamError
) -> messages.Failure:
    return messages.Failure(kind, error.message, error.remedy)

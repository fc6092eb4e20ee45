"""Checks a permission right before the bytes of a request are sent.

Between the decision to send and the sending, a request may wait for a
connection, and the process may be paused. A permission that was checked
before the wait may have expired by then.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import aiohttp

from verbenastream import errors

IsPermitted = Callable[[], bool]


class PermissionExpiredError(errors.VerbenastreamError):
    """The permission expired before the request was sent."""

    def __init__(self) -> None:
        super().__init__(
            'the permission to send expired while the request waited',
            'Obtain a new permission and send the request again.',
        )


def trace_config() -> aiohttp.TraceConfig:
    """Return hooks that check the ``trace_request_ctx`` of each request.

    It is a function without arguments, or None. It is called once there is a
    connection; if it returns false, ``PermissionExpiredError`` is raised and
    nothing is sent::

        session = aiohttp.ClientSession(trace_configs=[trace_config()])
        await session.post(url, trace_request_ctx=lambda: now() < expires_at)
    """
    config = aiohttp.TraceConfig()
    config.on_connection_create_end.append(_check)
    config.on_connection_reuseconn.append(_check)
    return config


async def _check(
    session: aiohttp.ClientSession, context: Any, params: Any
) -> None:
    is_permitted: IsPermitted | None = context.trace_request_ctx
    if is_permitted is not None and not is_permitted():
        raise PermissionExpiredError

"""Options that several commands share."""

from __future__ import annotations

import dataclasses
import pathlib
import ssl
from typing import Annotated

import cyclopts

from verbenastream.process.client import errors
from verbenastream.process.client import exit_codes
from verbenastream.process.client import transport


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(frozen=True)
class Connection:
    """How to reach control.

    Parameters
    ----------
    control
        Address and port of a control process; repeat it for each one. All
        are tried until the leader answers.
    authority
        PEM file with the authority that signed the certificates of control.
    plain_http
        Use HTTP without TLS.
    timeout_s
        Seconds to keep trying; an election takes up to 2 s.
    json
        Print JSON instead of text.
    """

    control: Annotated[
        tuple[str, ...],
        cyclopts.Parameter(env_var='VERBENASTREAM_CONTROL', negative=''),
    ] = ()
    authority: Annotated[
        pathlib.Path | None,
        cyclopts.Parameter(env_var='VERBENASTREAM_AUTHORITY'),
    ] = None
    plain_http: Annotated[
        bool,
        cyclopts.Parameter(env_var='VERBENASTREAM_PLAIN_HTTP', negative=''),
    ] = False
    timeout_s: float = 10.0
    json: Annotated[bool, cyclopts.Parameter(negative='')] = False

    def target(self) -> transport.Target:
        """Return the addresses and the TLS context.

        Raises ``ClientError`` if there is no address or the authority file
        cannot be used.
        """
        if not self.control:
            raise errors.ClientError(
                exit_codes.ExitCode.USAGE,
                'no control address is given',
                'Pass --control ADDRESS:PORT or set VERBENASTREAM_CONTROL.',
            )
        return transport.Target(
            self.control, self.timeout_s, self._tls_context()
        )

    def _tls_context(self) -> ssl.SSLContext | None:
        if self.plain_http:
            return None
        try:
            return ssl.create_default_context(
                cafile=None if self.authority is None else str(self.authority)
            )
        except (OSError, ssl.SSLError) as error:
            raise errors.ClientError(
                exit_codes.ExitCode.USAGE,
                f'cannot use authority file {self.authority}: {error}',
                'Pass a PEM file as --authority, or --plain-http.',
            ) from error


def read_file(path: pathlib.Path, description: str) -> bytes:
    """Return the bytes of a file; raises ``ClientError``."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise errors.ClientError(
            exit_codes.ExitCode.USAGE,
            f'cannot read {description} {path}: {error.strerror}',
            'Give the path of a readable file.',
        ) from error

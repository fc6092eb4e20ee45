"""TLS contexts that reload changed certificates without a restart."""

from __future__ import annotations

import asyncio
import hashlib
import pathlib
import ssl

import logbook

from verbenastream import errors
from verbenastream.process import settings

LOG = logbook.Logger(__name__)

_RELOAD_INTERVAL_S = 5.0


class TlsFilesError(errors.VerbenastreamError):
    """The certificate, key or authority file cannot be used."""


class ReloadingContext:
    """An ``ssl.SSLContext`` that reloads its files when they change.

    New handshakes use the new certificate; open connections keep theirs. The
    current certificate stays in use if the files cannot be loaded.
    """

    def __init__(self, files: settings.TlsFiles, purpose: ssl.Purpose) -> None:
        self._files = files
        self.ssl_context = ssl.create_default_context(
            purpose, cafile=_require_file(files.authority)
        )
        if purpose is ssl.Purpose.CLIENT_AUTH:
            self.ssl_context.verify_mode = ssl.CERT_OPTIONAL
        self._digest = ''
        self.reload()

    @classmethod
    def for_server(cls, tls: settings.Tls) -> ReloadingContext | None:
        """Return the context of a listener, None without TLS."""
        return cls._from_config(tls, ssl.Purpose.CLIENT_AUTH)

    @classmethod
    def for_client(cls, tls: settings.Tls) -> ReloadingContext | None:
        """Return the context of a client, None without TLS."""
        return cls._from_config(tls, ssl.Purpose.SERVER_AUTH)

    @classmethod
    def _from_config(
        cls, tls: settings.Tls, purpose: ssl.Purpose
    ) -> ReloadingContext | None:
        match tls:
            case settings.TlsFiles():
                return cls(tls, purpose)
            case settings.TlsOff():
                return None

    def reload(self) -> bool:
        """Load the files and return True if their content has changed.

        Raises ``TlsFilesError`` if they do not form a valid pair.
        """
        digest = self._read_digest()
        if digest == self._digest:
            return False
        try:
            self.ssl_context.load_cert_chain(
                self._files.certificate, self._files.key
            )
            self.ssl_context.load_verify_locations(self._files.authority)
        except (OSError, ssl.SSLError) as error:
            raise TlsFilesError(
                f'cannot load {self._files.certificate}: {error}',
                'Write the key and then its certificate as PEM files.',
            ) from error
        self._digest = digest
        return True

    async def watch(self) -> None:
        """Reload changed files every 5 s until cancelled."""
        while True:
            await asyncio.sleep(_RELOAD_INTERVAL_S)
            try:
                if self.reload():
                    LOG.info('TLS certificate reloaded')
            except errors.VerbenastreamError as error:
                LOG.error('TLS certificate not reloaded: {}', error)

    def _read_digest(self) -> str:
        digest = hashlib.sha256()
        files = self._files
        for path in (files.certificate, files.key, files.authority):
            digest.update(pathlib.Path(_require_file(path)).read_bytes())
        return digest.hexdigest()


def _require_file(path: str) -> str:
    if not pathlib.Path(path).is_file():
        raise TlsFilesError(
            f'TLS file {path} does not exist',
            'Give the path of a PEM file, or "off" for loopback only.',
        )
    return path

"""TLS contexts that are loaded from PEM files and reloaded in place.

A reload changes the certificate for new handshakes; open connections keep
theirs. A new certificate authority is added to the trusted ones; an old one
stays trusted until the process ends.
"""

from __future__ import annotations

import ssl
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING

from cryptography import x509

from catkinreach_core.errors import CatkinreachError, ErrorKind

if TYPE_CHECKING:
    from catkinreach_core.settings.node import TlsFiles


class CertificateError(CatkinreachError):
    """A certificate, key or authority file that can't be used."""

    def __init__(self, detail: str) -> None:
        """Takes a detail that names the file and the fault."""
        super().__init__(ErrorKind.SETTINGS_INVALID, detail)


class ReloadableContext:
    """A TLS context that can be reloaded when its PEM files change."""

    def __init__(self, context: ssl.SSLContext, files: TlsFiles) -> None:
        """Takes the context and the files; ``load`` must be called next."""
        self._context = context
        self._files = files
        self._loaded_mtimes: tuple[int, ...] = ()

    @property
    def context(self) -> ssl.SSLContext:
        """Returns the TLS context, the same one after each reload."""
        return self._context

    @classmethod
    def for_server(cls, files: TlsFiles) -> ReloadableContext | None:
        """Returns a server context, ``None`` without a certificate.

        With an authority, clients must present a certificate signed by it.

        Raises:
            CertificateError: if a file can't be used.
        """
        if not files.certificate:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        if files.authority:
            context.verify_mode = ssl.CERT_REQUIRED
        return cls._load_new(context, files)

    @classmethod
    def for_peer_client(cls, files: TlsFiles) -> ReloadableContext | None:
        """Returns a client context for peers, ``None`` without a certificate.

        The peer's certificate must have its VM id as a DNS name.

        Raises:
            CertificateError: if a file can't be used.
        """
        if not files.certificate:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        return cls._load_new(context, files)

    def reload_if_changed(self) -> bool:
        """Reloads the files if one has changed; returns whether it did.

        Raises:
            CertificateError: if a file can't be used; the context keeps
                its previous certificate.
        """
        if self._file_mtimes() == self._loaded_mtimes:
            return False
        self.load()
        return True

    def load(self) -> None:
        """Loads the files.

        Raises:
            CertificateError: if a file can't be used.
        """
        mtimes = self._file_mtimes()
        _check_validity(Path(self._files.certificate))
        try:
            self._context.load_cert_chain(
                self._files.certificate, self._files.key or None
            )
        except (OSError, ssl.SSLError) as error:
            raise CertificateError(
                f'{self._files.certificate} and {self._files.key} '
                f'do not load: {error}'
            ) from error
        if self._files.authority:
            self._load_authority()
        self._loaded_mtimes = mtimes

    @classmethod
    def _load_new(
        cls, context: ssl.SSLContext, files: TlsFiles
    ) -> ReloadableContext:
        loaded = cls(context, files)
        loaded.load()
        return loaded

    def _load_authority(self) -> None:
        _check_validity(Path(self._files.authority))
        try:
            self._context.load_verify_locations(self._files.authority)
        except (OSError, ssl.SSLError) as error:
            raise CertificateError(
                f'{self._files.authority} does not load: {error}'
            ) from error

    def _file_mtimes(self) -> tuple[int, ...]:
        files = self._files
        paths = (files.certificate, files.key, files.authority)
        return tuple(_mtime_ns(path) for path in paths if path)


def _mtime_ns(path: str) -> int:
    try:
        return Path(path).stat().st_mtime_ns
    except OSError:
        return 0


def _check_validity(path: Path) -> None:
    try:
        certificates = x509.load_pem_x509_certificates(path.read_bytes())
    except (OSError, ValueError) as error:
        raise CertificateError(f'{path} does not load: {error}') from error
    now = datetime.now(tz=UTC)
    for certificate in certificates:
        if certificate.not_valid_after_utc <= now:
            raise CertificateError(
                f'{path} expired at {certificate.not_valid_after_utc}'
            )
        if certificate.not_valid_before_utc > now:
            raise CertificateError(
                f'{path} is not valid before {certificate.not_valid_before_utc}'
            )


__all__ = ('CertificateError', 'ReloadableContext')

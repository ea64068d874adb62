"""TLS contexts from PEM files, reloaded in place.

A reload changes the certificate that new handshakes use; connections that
are open keep theirs. A new authority is added to the trusted ones; trust in
an old one ends with the process.
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
    """A certificate, key or authority that can't be used."""

    def __init__(self, detail: str) -> None:
        """Says which file is at fault and why."""
        super().__init__(ErrorKind.SETTINGS_INVALID, detail)


class ReloadableContext:
    """One TLS context and the files that it was loaded from."""

    def __init__(self, context: ssl.SSLContext, files: TlsFiles) -> None:
        """Keeps the context; ``load`` fills it."""
        self._context = context
        self._files = files
        self._loaded_state: tuple[int, ...] = ()

    @property
    def context(self) -> ssl.SSLContext:
        """Returns the context for listening or connecting."""
        return self._context

    @classmethod
    def for_server(cls, files: TlsFiles) -> ReloadableContext | None:
        """Returns a listening context, ``None`` if TLS is off.

        With an authority, the other side must prove itself as well.

        Raises:
            CertificateError: if a file can't be used.
        """
        if not files.certificate:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        if files.authority:
            context.verify_mode = ssl.CERT_REQUIRED
        return cls._loaded(context, files)

    @classmethod
    def for_peer_client(cls, files: TlsFiles) -> ReloadableContext | None:
        """Returns a context to connect to peers, ``None`` if TLS is off.

        The peer's certificate must name its VM id as a DNS name.

        Raises:
            CertificateError: if a file can't be used.
        """
        if not files.certificate:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        return cls._loaded(context, files)

    def reload_if_changed(self) -> bool:
        """Loads the files again if one has changed since.

        Raises:
            CertificateError: if a file can't be used; the context keeps
                what it had.
        """
        if self._file_state() == self._loaded_state:
            return False
        self.load()
        return True

    def load(self) -> None:
        """Loads the files.

        Raises:
            CertificateError: if a file can't be used.
        """
        state = self._file_state()
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
        self._loaded_state = state

    @classmethod
    def _loaded(
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

    def _file_state(self) -> tuple[int, ...]:
        files = self._files
        paths = (files.certificate, files.key, files.authority)
        return tuple(_modified_ns(path) for path in paths if path)


def _modified_ns(path: str) -> int:
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

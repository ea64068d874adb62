"""Certificate authority for tests. Its keys must not be used elsewhere."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

if TYPE_CHECKING:
    from pathlib import Path

CERTIFICATE_VALIDITY = timedelta(days=1)


@dataclass(frozen=True, slots=True)
class CertificateFiles:
    """PEM files of a certificate and its private key."""

    certificate: Path
    key: Path


class TestAuthority:
    """Issues test certificates and writes them to a directory."""

    __test__ = False

    def __init__(self, directory: Path, name: str = 'authority') -> None:
        """Creates the key and the self-signed certificate of the authority."""
        self._directory = directory
        self._issuer_name = _new_common_name(name)
        self._key = ec.generate_private_key(ec.SECP256R1())
        builder = _new_builder(
            self._issuer_name,
            self._issuer_name,
            self._key,
            CERTIFICATE_VALIDITY,
        )
        certificate = builder.add_extension(
            x509.BasicConstraints(ca=True, path_length=None), critical=True
        ).sign(self._key, hashes.SHA256())
        self._path = directory / f'{name}.pem'
        self._path.write_bytes(_encode_pem(certificate))

    @property
    def path(self) -> Path:
        """Returns the PEM file of the authority's certificate."""
        return self._path

    def issue(
        self,
        *names: str,
        valid_for: timedelta = CERTIFICATE_VALIDITY,
        file_stem: str = '',
    ) -> CertificateFiles:
        """Issues a certificate for DNS names.

        The files are named after ``file_stem``, by default the first name.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = (
            _new_builder(
                _new_common_name(names[0]), self._issuer_name, key, valid_for
            )
            .add_extension(
                x509.SubjectAlternativeName(
                    [x509.DNSName(name) for name in names]
                ),
                critical=False,
            )
            .sign(self._key, hashes.SHA256())
        )
        stem = file_stem or names[0]
        files = CertificateFiles(
            certificate=self._directory / f'{stem}.pem',
            key=self._directory / f'{stem}.key',
        )
        files.certificate.write_bytes(_encode_pem(certificate))
        files.key.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return files


def _new_common_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _new_builder(
    subject: x509.Name,
    issuer: x509.Name,
    key: ec.EllipticCurvePrivateKey,
    valid_for: timedelta,
) -> x509.CertificateBuilder:
    now = datetime.now(tz=UTC)
    return x509.CertificateBuilder(
        issuer_name=issuer,
        subject_name=subject,
        public_key=key.public_key(),
        serial_number=x509.random_serial_number(),
        not_valid_before=now - timedelta(days=2),
        not_valid_after=now + valid_for,
    )


def _encode_pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)


__all__ = ('CertificateFiles', 'TestAuthority')

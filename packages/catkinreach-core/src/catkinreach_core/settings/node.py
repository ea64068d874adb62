"""Typed records of the start-up settings of a ``catkinreachd`` process."""

from __future__ import annotations

from typing import Annotated, Final

from msgspec import Meta, Struct

from ..ids import FailureDomainId, VmId

MAX_PORT: Final = 65_535

Port = Annotated[int, Meta(ge=0, le=MAX_PORT)]


class Address(Struct, frozen=True):
    """A host, usually an IP address, and a TCP port."""

    host: str
    port: Port

    @classmethod
    def from_text(cls, text: str) -> Address:
        """Parses an address of the form ``host:port``.

        Raises:
            ValueError: if the text has another form.
        """
        host, separator, port = text.rpartition(':')
        if not separator or not host:
            raise ValueError(f'expected host:port, found {text!r}')
        return cls(host=host, port=int(port))

    def __str__(self) -> str:
        """Returns the address as ``host:port``."""
        return f'{self.host}:{self.port}'


class TlsFiles(Struct, frozen=True, kw_only=True):
    """Paths of the PEM files of a listener; empty strings turn TLS off.

    Attributes:
        certificate: Certificate of the listener.
        key: Private key of the certificate.
        authority: Certificate authority of the clients, for mutual TLS.
    """

    certificate: str = ''
    key: str = ''
    authority: str = ''


class LogSettings(Struct, frozen=True, kw_only=True):
    """Level and format of the log."""

    level: str = 'info'
    is_json: bool = False


class TraceSettings(Struct, frozen=True, kw_only=True):
    """Destinations of trace spans; an empty destination is not used.

    Attributes:
        file: Path of a file of OTLP JSON lines.
        collector: Address of an OTLP collector.
    """

    file: str = ''
    collector: str = ''


class NodeSettings(Struct, frozen=True, kw_only=True):
    """Start-up settings of one node.

    Attributes:
        vm_id: VM that the node runs on.
        domain_id: Failure domain of the VM.
        caller_address: Address of the listener for callers.
        operator_address: Address of the listener for operators.
        peer_address: Address of the listener for other nodes.
        config_service: Address of the configuration service.
        operator_key_digest: Hex SHA-256 digest of the operator key.
        event_log: Path of the event log; empty for none.
        logs: Level and format of the log.
        traces: Destinations of trace spans.
        caller_tls: PEM files of the listener for callers.
        operator_tls: PEM files of the listener for operators.
        peer_tls: PEM files of the listener for other nodes.
    """

    vm_id: VmId
    domain_id: FailureDomainId
    caller_address: Address
    operator_address: Address
    peer_address: Address
    config_service: Address
    operator_key_digest: str
    event_log: str = ''
    logs: LogSettings = LogSettings()
    traces: TraceSettings = TraceSettings()
    caller_tls: TlsFiles = TlsFiles()
    operator_tls: TlsFiles = TlsFiles()
    peer_tls: TlsFiles = TlsFiles()


__all__ = (
    'Address',
    'LogSettings',
    'NodeSettings',
    'TlsFiles',
    'TraceSettings',
)

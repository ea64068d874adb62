"""Start-up settings of one ``catkinreachd`` process, typed."""

from __future__ import annotations

from msgspec import Struct

from ..ids import FailureDomainId, VmId


class Address(Struct, frozen=True):
    """An IP number and a TCP port."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> Address:
        """Returns the address that ``host:port`` names.

        Raises:
            ValueError: if it names none.
        """
        host, separator, port = text.rpartition(':')
        if not separator or not host:
            raise ValueError(f'no address: {text!r}')
        return cls(host=host, port=int(port))

    def __str__(self) -> str:
        """Returns the address as ``host:port``."""
        return f'{self.host}:{self.port}'


class TlsFiles(Struct, frozen=True, kw_only=True):
    """PEM files of one listening address; empty strings turn TLS off."""

    certificate: str = ''
    key: str = ''
    authority: str = ''


class LogSettings(Struct, frozen=True, kw_only=True):
    """How the process logs."""

    level: str = 'info'
    is_json: bool = False


class TraceSettings(Struct, frozen=True, kw_only=True):
    """Where spans go: a file of OTLP JSON lines, a collector, or nowhere."""

    file: str = ''
    collector: str = ''


class NodeSettings(Struct, frozen=True, kw_only=True):
    """Start-up settings of one process."""

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

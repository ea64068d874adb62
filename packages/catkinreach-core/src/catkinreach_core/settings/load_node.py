"""Loader of the start-up settings of a node."""

from __future__ import annotations

from typing import Any, Final

from msgspec import Struct

from ..ids import FailureDomainId, VmId
from .faults import FaultList
from .ini import IniDocument, IniSection, read_document
from .node import Address, LogSettings, NodeSettings, TlsFiles, TraceSettings
from .schema import OptionSpec, SectionSpec, check_section_kinds, read_records
from .values import ADDRESS, DIGEST, FLAG, NAME, TEXT, one_of


class _NodeOptions(Struct, frozen=True, kw_only=True):
    """Options of the section ``[node]``."""

    vm_id: VmId
    domain_id: FailureDomainId
    caller_address: Address
    operator_address: Address
    peer_address: Address
    config_service: Address
    operator_key_digest: str
    event_log: str = ''


class _TlsOptions(Struct, frozen=True, kw_only=True):
    """Options of the section ``[tls]``."""

    caller_certificate: str = ''
    caller_key: str = ''
    operator_certificate: str = ''
    operator_key: str = ''
    peer_certificate: str = ''
    peer_key: str = ''
    peer_authority: str = ''


_LISTENER_OPTIONS: Final = (
    'caller_address',
    'operator_address',
    'peer_address',
)
_LOG_LEVELS: Final = ('trace', 'debug', 'info', 'success', 'warning', 'error')
_NODE: Final = SectionSpec(
    kind='node',
    build=_NodeOptions,
    is_named=False,
    options=(
        OptionSpec(name='id', field='vm_id', parser=NAME, is_required=True),
        OptionSpec(
            name='failure_domain',
            field='domain_id',
            parser=NAME,
            is_required=True,
        ),
        *(
            OptionSpec(name=name, parser=ADDRESS, is_required=True)
            for name in (*_LISTENER_OPTIONS, 'config_service')
        ),
        OptionSpec(name='operator_key_digest', parser=DIGEST, is_required=True),
        OptionSpec(name='event_log', parser=TEXT),
    ),
)
_LOGS: Final = SectionSpec(
    kind='logs',
    build=LogSettings,
    is_named=False,
    options=(
        OptionSpec(name='level', parser=one_of(*_LOG_LEVELS)),
        OptionSpec(name='json', field='is_json', parser=FLAG),
    ),
)
_TRACES: Final = SectionSpec(
    kind='traces',
    build=TraceSettings,
    is_named=False,
    options=(
        OptionSpec(name='file', parser=TEXT),
        OptionSpec(name='collector', parser=TEXT),
    ),
)
_TLS: Final = SectionSpec(
    kind='tls',
    build=_TlsOptions,
    is_named=False,
    options=tuple(
        OptionSpec(name=name, parser=TEXT)
        for name in _TlsOptions.__struct_fields__
    ),
)
_SECTIONS: Final[tuple[SectionSpec[Any], ...]] = (_NODE, _LOGS, _TRACES, _TLS)


def load_node(text: str, *, source: str) -> NodeSettings:
    """Reads and checks the start-up settings of a node.

    Args:
        text: INI text of at most one megabyte.
        source: Name of the text in fault messages.

    Returns:
        The checked settings.

    Raises:
        SettingsError: if the text has faults; the error carries all of them.
    """
    faults = FaultList(source=source)
    document = read_document(text, faults=faults)
    check_section_kinds(document, _SECTIONS, faults)
    node = read_records(document, _NODE, faults).get('')
    logs = read_records(document, _LOGS, faults).get('', LogSettings())
    traces = read_records(document, _TRACES, faults).get('', TraceSettings())
    tls = read_records(document, _TLS, faults).get('', _TlsOptions())
    _check_node(document, node, faults)
    _check_tls(document, tls, faults)
    if node is None or len(faults):
        faults.raise_all()
    return NodeSettings(
        vm_id=node.vm_id,
        domain_id=node.domain_id,
        caller_address=node.caller_address,
        operator_address=node.operator_address,
        peer_address=node.peer_address,
        config_service=node.config_service,
        operator_key_digest=node.operator_key_digest,
        event_log=node.event_log,
        logs=logs,
        traces=traces,
        caller_tls=TlsFiles(
            certificate=tls.caller_certificate, key=tls.caller_key
        ),
        operator_tls=TlsFiles(
            certificate=tls.operator_certificate, key=tls.operator_key
        ),
        peer_tls=TlsFiles(
            certificate=tls.peer_certificate,
            key=tls.peer_key,
            authority=tls.peer_authority,
        ),
    )


def _check_node(
    document: IniDocument, node: _NodeOptions | None, faults: FaultList
) -> None:
    """Checks that the ``[node]`` section exists and its listeners differ."""
    sections = document.of_kind('node')
    if not sections:
        faults.add(
            line=1, section='node', expected='a [node] section', found='none'
        )
    if node is None:
        return
    first_by_address: dict[Address, str] = {}
    for option in _LISTENER_OPTIONS:
        first = first_by_address.setdefault(getattr(node, option), option)
        if first != option:
            _add_fault(sections[0], option, 'another address', first, faults)


def _check_tls(
    document: IniDocument, tls: _TlsOptions, faults: FaultList
) -> None:
    """Checks that options which depend on each other are set together.

    These are the certificate and the key of each listener, and the
    certificate and the certificate authority of the peer listener.
    """
    for section in document.of_kind('tls')[:1]:
        for listener in ('caller', 'operator', 'peer'):
            option = f'{listener}_certificate'
            key_option = f'{listener}_key'
            if bool(getattr(tls, option)) != bool(getattr(tls, key_option)):
                expected = f'{option} and {key_option} together'
                _add_fault(
                    section, option, expected, 'only one of them', faults
                )
        if bool(tls.peer_authority) != bool(tls.peer_certificate):
            expected = 'peer_authority and peer_certificate together'
            _add_fault(
                section, 'peer_authority', expected, 'one of them', faults
            )


def _add_fault(
    section: IniSection,
    option: str,
    expected: str,
    found: str,
    faults: FaultList,
) -> None:
    faults.add(
        line=section.line_of(option),
        section=section.title,
        option=option,
        expected=expected,
        found=found,
    )


__all__ = ('load_node',)

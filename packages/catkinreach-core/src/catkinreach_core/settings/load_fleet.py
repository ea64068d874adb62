"""Loader of the fleet settings."""

from __future__ import annotations

from typing import TypeVar

from ..ids import (
    FailureDomainId,
    PoolId,
    Revision,
    RouteId,
    ServiceId,
    UpstreamId,
    WorkspaceId,
)
from . import fleet_schema as schema
from .faults import FaultList
from .fleet import FleetSettings, LatencyTargets, QueueBounds
from .fleet_checks import check_fleet
from .ini import IniDocument, read_document
from .schema import SectionSpec, check_section_kinds, read_records

RecordT = TypeVar('RecordT')


def load_fleet(text: str, *, revision: Revision, source: str) -> FleetSettings:
    """Reads and checks the text of the fleet settings.

    Args:
        text: INI text of at most one megabyte.
        revision: Revision under which the text was published.
        source: Name of the text in fault messages.

    Returns:
        The checked settings.

    Raises:
        SettingsError: if the text has faults; the error carries all of them.
    """
    faults = FaultList(source=source)
    document = read_document(text, faults=faults)
    check_section_kinds(document, schema.SECTIONS, faults)
    settings = _read_settings(document, revision, faults)
    check_fleet(document, settings, faults)
    faults.raise_if_any()
    return settings


def _read_settings(
    document: IniDocument, revision: Revision, faults: FaultList
) -> FleetSettings:
    """Reads every section; those with faults are skipped."""
    options = _read_unnamed(
        document, schema.FLEET, schema.FleetOptions(), faults
    )
    domains = read_records(document, schema.FAILURE_DOMAIN, faults)
    pools = read_records(document, schema.POOL, faults)
    upstreams = read_records(document, schema.UPSTREAM, faults)
    services = read_records(document, schema.SERVICE, faults)
    routes = read_records(document, schema.ROUTE, faults)
    workspaces = read_records(document, schema.WORKSPACE, faults)
    return FleetSettings(
        revision=revision,
        max_nodes=options.max_nodes,
        resend_window_s=options.resend_window_s,
        weight_loads_per_minute=options.weight_loads_per_minute,
        targets=_read_unnamed(
            document, schema.TARGETS, LatencyTargets(), faults
        ),
        queue=_read_unnamed(document, schema.QUEUE, QueueBounds(), faults),
        failure_domains={
            FailureDomainId(name): domain for name, domain in domains.items()
        },
        pools={PoolId(name): pool for name, pool in pools.items()},
        upstreams={
            UpstreamId(name): upstream for name, upstream in upstreams.items()
        },
        services={
            ServiceId(name): service for name, service in services.items()
        },
        routes={RouteId(name): route for name, route in routes.items()},
        workspaces={
            WorkspaceId(name): workspace
            for name, workspace in workspaces.items()
        },
    )


def _read_unnamed(
    document: IniDocument,
    spec: SectionSpec[RecordT],
    default: RecordT,
    faults: FaultList,
) -> RecordT:
    """Returns the record of a section without a name, or the default."""
    return read_records(document, spec, faults).get('', default)


__all__ = ('load_fleet',)

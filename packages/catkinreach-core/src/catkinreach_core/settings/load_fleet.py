"""Loads the fleet's settings: text in, typed settings or all faults out."""

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
from .schema import SectionSpec, check_kinds, read_records

RecordT = TypeVar('RecordT')


def load_fleet(text: str, *, revision: Revision, source: str) -> FleetSettings:
    """Reads and checks the fleet's text.

    Args:
        text: INI text of at most one megabyte.
        revision: Revision under which the text was published.
        source: Name of the text for faults.

    Returns:
        The settings, fit to be put in force.

    Raises:
        SettingsError: The text has faults; the error carries all of them.
    """
    faults = FaultList(source=source)
    document = read_document(text, faults=faults)
    check_kinds(document, schema.SECTIONS, faults)
    settings = _read_settings(document, revision, faults)
    check_fleet(document, settings, faults)
    faults.raise_if_any()
    return settings


def _read_settings(
    document: IniDocument, revision: Revision, faults: FaultList
) -> FleetSettings:
    """Reads every section; those with faults are left out."""
    bounds = _single(document, schema.FLEET, schema.FleetOptions(), faults)
    domains = read_records(document, schema.FAILURE_DOMAIN, faults)
    pools = read_records(document, schema.POOL, faults)
    upstreams = read_records(document, schema.UPSTREAM, faults)
    services = read_records(document, schema.SERVICE, faults)
    routes = read_records(document, schema.ROUTE, faults)
    workspaces = read_records(document, schema.WORKSPACE, faults)
    return FleetSettings(
        revision=revision,
        max_nodes=bounds.max_nodes,
        resend_window_s=bounds.resend_window_s,
        weight_loads_per_minute=bounds.weight_loads_per_minute,
        targets=_single(document, schema.TARGETS, LatencyTargets(), faults),
        queue=_single(document, schema.QUEUE, QueueBounds(), faults),
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


def _single(
    document: IniDocument,
    spec: SectionSpec[RecordT],
    default: RecordT,
    faults: FaultList,
) -> RecordT:
    """Reads a section without a name, or takes the default."""
    return read_records(document, spec, faults).get('', default)


__all__ = ('load_fleet',)

"""Decodes the operator's configuration document into the catalog."""

from __future__ import annotations

from typing import Final

import msgspec
from msgspec import Struct, field

from catkinreach_core.documents import DocumentError, decode_document
from catkinreach_core.gateway.catalog import (
    CallerLimits,
    Catalog,
    EngineTraits,
    Route,
    RouteKind,
    ServiceShare,
    ServiceTraits,
    WorkspacePolicy,
    find_prioritized_services,
    routes_by_host,
)
from catkinreach_core.gateway.header_text import is_sendable_name
from catkinreach_core.ids import RouteId, ServiceId, WorkspaceId
from catkinreach_core.ranges import (
    Amount,
    Count,
    Milliseconds,
    PositiveCount,
    Revision,
)

from .boot import MS_PER_S
from .sendable_text import is_target_part

ROUTE_KINDS: Final = {
    'idempotent': RouteKind.IDEMPOTENT,
    'non_idempotent': RouteKind.NON_IDEMPOTENT,
    'streaming': RouteKind.STREAM,
}
UNIT_TOKENS: Final = 'tokens'


class _Split(Struct):
    service: str
    weight: Amount


class _Route(Struct, rename='kebab'):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds = 1000.0
    gap_aim_ms: Milliseconds = 300.0
    priority: Count = 5
    service: str = ''
    weighted_split: list[_Split] = field(default_factory=list)
    max_attempts: Count = 1
    public: bool = False
    resumable: bool = False


class _Engine(Struct, rename='kebab'):
    kv_tokens: Count
    kv_token_bytes: Count
    link_mbps: Amount
    handle_ttl_s: Amount = 0.5
    stride: Count = 1
    stage_switch_s: Amount = 6.0


class _Service(Struct, rename='kebab'):
    name: str
    health_path: str = '/health'
    max_connections: Count = 100
    cold_per_s: Amount = 0.0
    engine: _Engine | None = None


class _Tenant(Struct, rename='kebab'):
    name: str
    api_keys: list[str] = field(default_factory=list)
    priority: Count | None = None
    unit: str = ''
    plain_tokens: Amount = 1.0
    # A limit over all nodes together, not per node or connection.
    rate_per_s: Amount = 0.0
    burst: Amount = 0.0


class _Limits(Struct, rename='kebab'):
    max_header_bytes: PositiveCount = 16_384
    max_body_bytes: Count = 4 * 1024 * 1024
    header_timeout_ms: Milliseconds = 3000.0
    idle_timeout_ms: Milliseconds = 15_000.0


class _Config(Struct):
    version: Revision
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


_DECODER = msgspec.json.Decoder(_Config)


def read_catalog(document: bytes) -> Catalog:
    """Decodes a configuration document.

    Raises:
        DocumentError: if the document is malformed.
    """
    config = decode_document(_DECODER, document)
    tenants = config.tenants or []
    routes = [_route(route) for route in config.routes]
    return Catalog(
        version=config.version,
        routes=dict(routes_by_host(routes)),
        prioritized_services=find_prioritized_services(routes),
        services={
            ServiceId(service.name): _service(service)
            for service in config.services
        },
        workspaces={
            key: _workspace(tenant)
            for tenant in tenants
            for key in tenant.api_keys
        },
        has_workspaces=config.tenants is not None,
        limits=CallerLimits(
            max_head_bytes=config.limits.max_header_bytes,
            max_body_bytes=config.limits.max_body_bytes,
            head_timeout_s=config.limits.header_timeout_ms / MS_PER_S,
            idle_timeout_s=config.limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def _route(route: _Route) -> Route:
    shares = tuple(
        ServiceShare(ServiceId(split.service), split.weight)
        for split in route.weighted_split
        if split.weight > 0
    )
    return Route(
        route_id=RouteId(route.name),
        host=route.host,
        prefix=route.prefix,
        kind=_kind(route.kind),
        shares=shares or (ServiceShare(ServiceId(route.service), 1.0),),
        timeout_s=route.timeout_ms / MS_PER_S,
        target_s=route.target_latency_ms / MS_PER_S,
        gap_target_s=route.gap_aim_ms / MS_PER_S,
        max_attempts=route.max_attempts,
        priority=route.priority,
        is_public=route.public,
        is_resumable=route.resumable,
    )


def _kind(name: str) -> RouteKind:
    if name not in ROUTE_KINDS:
        raise DocumentError(f'unknown kind of route {name!r}')
    return ROUTE_KINDS[name]


def _service(service: _Service) -> ServiceTraits:
    engine = service.engine
    if not is_target_part(service.health_path):
        raise DocumentError(f'health path of {service.name!r} is no target')
    return ServiceTraits(
        service_id=ServiceId(service.name),
        max_connections=service.max_connections,
        health_path=service.health_path,
        cold_per_s=service.cold_per_s,
        engine=None
        if engine is None
        else EngineTraits(
            memory_tokens=engine.kv_tokens,
            token_bytes=engine.kv_token_bytes,
            link_mbps=engine.link_mbps,
            handle_ttl_s=engine.handle_ttl_s,
            event_tokens=engine.stride,
            stage_switch_s=engine.stage_switch_s,
        ),
    )


def _workspace(tenant: _Tenant) -> WorkspacePolicy:
    if not is_sendable_name(tenant.name):
        raise DocumentError(f'tenant {tenant.name!r} fits into no header')
    return WorkspacePolicy(
        workspace_id=WorkspaceId(tenant.name),
        rate=tenant.rate_per_s,
        burst=tenant.burst,
        counts_tokens=tenant.unit == UNIT_TOKENS,
        plain_cost=tenant.plain_tokens,
        priority=tenant.priority,
    )


__all__ = ('read_catalog',)

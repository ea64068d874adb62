"""Schema of the fleet settings: their sections and options."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from msgspec import Struct

from ..ids import (
    FailureDomainId,
    PoolId,
    RouteId,
    ServiceId,
    UpstreamId,
    WorkspaceId,
)
from .fleet import (
    DomainState,
    FailureDomain,
    LatencyTargets,
    Pool,
    PoolRole,
    QueueBounds,
    QueuePolicy,
    Route,
    RouteAccess,
    Service,
    ServiceKind,
    Upstream,
    Workspace,
)
from .schema import OptionSpec, SectionSpec
from .values import (
    ADDRESS,
    DIGESTS,
    DURATION,
    FLAG,
    METHODS,
    NAME,
    NAMES,
    NUMBER,
    PATH,
    TEXT,
    enum_value,
    whole_number,
)

if TYPE_CHECKING:
    from .node import Address

MAX_NODES: Final = 4096
"""Largest number of nodes that the settings allow."""

MAX_PLACES: Final = 10_000
"""Largest number of concurrent requests that an upstream may be set to."""


class FleetOptions(Struct, frozen=True, kw_only=True):
    """Options of the section ``[fleet]``."""

    max_nodes: int = 9
    resend_window_s: float = 600.0
    weight_loads_per_minute: float = 60.0


def _domain(name: str, **fields: Any) -> FailureDomain:
    return FailureDomain(domain_id=FailureDomainId(name), **fields)


def _pool(name: str, **fields: Any) -> Pool:
    return Pool(pool_id=PoolId(name), **fields)


def _upstream(name: str, *, address: Address, **fields: Any) -> Upstream:
    return Upstream(
        upstream_id=UpstreamId(name),
        host=address.host,
        port=address.port,
        **fields,
    )


def _service(name: str, **fields: Any) -> Service:
    return Service(service_id=ServiceId(name), **fields)


def _route(name: str, **fields: Any) -> Route:
    return Route(route_id=RouteId(name), **fields)


def _workspace(name: str, **fields: Any) -> Workspace:
    return Workspace(workspace_id=WorkspaceId(name), **fields)


FLEET: Final = SectionSpec(
    kind='fleet',
    build=FleetOptions,
    is_named=False,
    options=(
        OptionSpec(
            name='max_nodes', parser=whole_number(at_least=1, at_most=MAX_NODES)
        ),
        OptionSpec(name='resend_window_s', parser=DURATION),
        OptionSpec(name='weight_loads_per_minute', parser=NUMBER),
    ),
)
TARGETS: Final = SectionSpec(
    kind='targets',
    build=LatencyTargets,
    is_named=False,
    options=(
        OptionSpec(name='first_token_s', parser=DURATION),
        OptionSpec(name='between_tokens_s', parser=DURATION),
    ),
)
QUEUE: Final = SectionSpec(
    kind='queue',
    build=QueueBounds,
    is_named=False,
    options=(
        OptionSpec(name='policy', parser=enum_value(QueuePolicy)),
        OptionSpec(name='max_requests', parser=whole_number(at_least=1)),
        OptionSpec(name='max_tokens', parser=whole_number(at_least=1)),
        OptionSpec(name='max_age_s', parser=DURATION),
    ),
)
FAILURE_DOMAIN: Final = SectionSpec(
    kind='failure-domain',
    build=_domain,
    options=(OptionSpec(name='state', parser=enum_value(DomainState)),),
)
POOL: Final = SectionSpec(
    kind='pool',
    build=_pool,
    options=(
        OptionSpec(name='role', parser=enum_value(PoolRole), is_required=True),
        OptionSpec(name='model', parser=TEXT),
        OptionSpec(name='version', parser=TEXT),
        OptionSpec(
            name='cold_places',
            parser=whole_number(at_least=1, at_most=MAX_PLACES),
        ),
        OptionSpec(name='warmup_requests', parser=whole_number(at_least=1)),
    ),
)
UPSTREAM: Final = SectionSpec(
    kind='upstream',
    build=_upstream,
    options=(
        OptionSpec(name='pool', field='pool_id', parser=NAME, is_required=True),
        OptionSpec(name='address', parser=ADDRESS, is_required=True),
        OptionSpec(
            name='failure_domain',
            field='domain_id',
            parser=NAME,
            is_required=True,
        ),
        OptionSpec(
            name='places', parser=whole_number(at_least=1, at_most=MAX_PLACES)
        ),
        OptionSpec(name='kv_pieces', parser=whole_number(at_least=1)),
        OptionSpec(name='fencing', field='is_fencing', parser=FLAG),
    ),
)
SERVICE: Final = SectionSpec(
    kind='service',
    build=_service,
    options=(
        OptionSpec(
            name='kind', parser=enum_value(ServiceKind), is_required=True
        ),
        OptionSpec(name='prefill_pool', parser=NAME),
        OptionSpec(name='decode_pool', parser=NAME),
        OptionSpec(name='pool', parser=NAME),
        OptionSpec(name='depends_on', parser=NAMES),
    ),
)
ROUTE: Final = SectionSpec(
    kind='route',
    build=_route,
    options=(
        OptionSpec(
            name='service', field='service_id', parser=NAME, is_required=True
        ),
        OptionSpec(name='path', parser=PATH, is_required=True),
        OptionSpec(name='methods', parser=METHODS),
        OptionSpec(name='access', parser=enum_value(RouteAccess)),
        OptionSpec(name='repeatable', field='is_repeatable', parser=FLAG),
    ),
)
WORKSPACE: Final = SectionSpec(
    kind='workspace',
    build=_workspace,
    options=(
        OptionSpec(name='requests_per_s', parser=NUMBER, is_required=True),
        OptionSpec(name='request_burst', parser=NUMBER, is_required=True),
        OptionSpec(name='tokens_per_s', parser=NUMBER, is_required=True),
        OptionSpec(name='token_burst', parser=NUMBER, is_required=True),
        OptionSpec(name='weight', parser=NUMBER),
        OptionSpec(name='key_digests', parser=DIGESTS),
    ),
)
SECTIONS: Final[tuple[SectionSpec[Any], ...]] = (
    FLEET,
    TARGETS,
    QUEUE,
    FAILURE_DOMAIN,
    POOL,
    UPSTREAM,
    SERVICE,
    ROUTE,
    WORKSPACE,
)

__all__ = (
    'FAILURE_DOMAIN',
    'FLEET',
    'POOL',
    'QUEUE',
    'ROUTE',
    'SECTIONS',
    'SERVICE',
    'TARGETS',
    'UPSTREAM',
    'WORKSPACE',
    'FleetOptions',
)

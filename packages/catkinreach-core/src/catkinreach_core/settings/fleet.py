"""The fleet's settings: the text that operators publish, typed."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from ..ids import (
    FailureDomainId,
    PoolId,
    Revision,
    RouteId,
    ServiceId,
    UpstreamId,
    WorkspaceId,
)


class ServiceKind(Enum):
    """What stands behind a service."""

    MODEL = 'model'
    PLAIN = 'plain'


class PoolRole(Enum):
    """What the upstreams of a pool do."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    PLAIN = 'plain'


class RouteAccess(Enum):
    """Who may call a route."""

    KEYED = 'keyed'
    OPEN = 'open'


class DomainState(Enum):
    """Whether a failure domain takes new work."""

    IN_SERVICE = 'in-service'
    OUT_OF_SERVICE = 'out-of-service'


class LatencyTargets(Struct, frozen=True, kw_only=True):
    """Latency targets for 95 of 100 requests, in seconds."""

    first_token_s: float = 0.79
    between_tokens_s: float = 0.055


class QueuePolicy(Enum):
    """Who queues and places model requests.

    All but ``CELL`` are baselines for measurements.
    """

    CELL = 'cell'
    ROUND_ROBIN = 'round-robin'
    LEAST_LOAD = 'least-load'
    NO_RESERVATION = 'no-reservation'


class QueueBounds(Struct, frozen=True, kw_only=True):
    """Bounds of one cell's queue over all workspaces, and its policy."""

    policy: QueuePolicy = QueuePolicy.CELL

    max_requests: int = 400
    max_tokens: int = 400_000
    max_age_s: float = 10.0


class FailureDomain(Struct, frozen=True, kw_only=True):
    """A failure domain and whether it takes new work."""

    domain_id: FailureDomainId
    state: DomainState = DomainState.IN_SERVICE


class Pool(Struct, frozen=True, kw_only=True):
    """A group of upstreams with one role.

    Attributes:
        pool_id: Name in the fleet's text.
        role: What its upstreams do.
        model: Model that its engines should hold.
        version: Version of the model.
        cold_places: Requests that a fresh upstream runs at once.
        warmup_requests: Completed requests until it may run more.
    """

    pool_id: PoolId
    role: PoolRole
    model: str = ''
    version: str = ''
    cold_places: int = 2
    warmup_requests: int = 8


class Upstream(Struct, frozen=True, kw_only=True):
    """One upstream.

    Attributes:
        upstream_id: Name in the fleet's text.
        pool_id: Pool it belongs to.
        host: IP number.
        port: TCP port.
        domain_id: Failure domain it stands in.
        places: Requests it runs at once.
        kv_pieces: KV cache memory in pieces of 2,048 tokens.
        is_fencing: Whether it refuses orders with an old fencing number.
    """

    upstream_id: UpstreamId
    pool_id: PoolId
    host: str
    port: int
    domain_id: FailureDomainId
    places: int = 20
    kv_pieces: int = 400
    is_fencing: bool = False


class Service(Struct, frozen=True, kw_only=True):
    """A service that callers reach through routes."""

    service_id: ServiceId
    kind: ServiceKind
    prefill_pool: PoolId | None = None
    decode_pool: PoolId | None = None
    pool: PoolId | None = None
    depends_on: tuple[ServiceId, ...] = ()


class Route(Struct, frozen=True, kw_only=True):
    """A path that callers use; the longest matching prefix wins."""

    route_id: RouteId
    service_id: ServiceId
    path: str
    methods: tuple[str, ...] = ('POST',)
    access: RouteAccess = RouteAccess.KEYED
    is_repeatable: bool = True


class Workspace(Struct, frozen=True, kw_only=True):
    """A workspace with its limits over all VMs together.

    Attributes:
        workspace_id: Name in the fleet's text.
        requests_per_s: Sustained requests a second.
        request_burst: Requests above the sustained rate.
        tokens_per_s: Sustained tokens a second, prompt and output.
        token_burst: Tokens above the sustained rate.
        weight: Share in the queue relative to other workspaces.
        key_digests: Lower-case hex SHA-256 digests of the keys in force.
    """

    workspace_id: WorkspaceId
    requests_per_s: float
    request_burst: float
    tokens_per_s: float
    token_burst: float
    weight: float = 1.0
    key_digests: tuple[str, ...] = ()


class FleetSettings(Struct, frozen=True, kw_only=True):
    """One accepted revision of the fleet's text."""

    revision: Revision
    max_nodes: int = 9
    resend_window_s: float = 600.0
    weight_loads_per_minute: float = 60.0
    targets: LatencyTargets = LatencyTargets()
    queue: QueueBounds = QueueBounds()
    failure_domains: dict[FailureDomainId, FailureDomain] = {}
    pools: dict[PoolId, Pool] = {}
    upstreams: dict[UpstreamId, Upstream] = {}
    services: dict[ServiceId, Service] = {}
    routes: dict[RouteId, Route] = {}
    workspaces: dict[WorkspaceId, Workspace] = {}

    def upstreams_of(self, pool_id: PoolId | None) -> tuple[Upstream, ...]:
        """Returns the upstreams of a pool in the order of the text."""
        return tuple(
            upstream
            for upstream in self.upstreams.values()
            if upstream.pool_id == pool_id
        )

    def is_in_service(self, upstream: Upstream) -> bool:
        """Tells whether the upstream's failure domain takes new work."""
        domain = self.failure_domains.get(upstream.domain_id)
        return domain is None or domain.state is DomainState.IN_SERVICE


__all__ = (
    'DomainState',
    'FailureDomain',
    'FleetSettings',
    'LatencyTargets',
    'Pool',
    'PoolRole',
    'QueueBounds',
    'QueuePolicy',
    'Route',
    'RouteAccess',
    'Service',
    'ServiceKind',
    'Upstream',
    'Workspace',
)

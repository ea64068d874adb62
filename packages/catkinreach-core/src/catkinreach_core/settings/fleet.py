"""Typed records of the fleet settings that operators publish."""

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
    """Kind of a service: a model with its engines, or plain HTTP servers."""

    MODEL = 'model'
    PLAIN = 'plain'


class PoolRole(Enum):
    """Kind of requests that the upstreams of a pool run."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    PLAIN = 'plain'


class RouteAccess(Enum):
    """Whether callers of a route need an API key."""

    KEYED = 'keyed'
    OPEN = 'open'


class DomainState(Enum):
    """Whether a failure domain takes new work."""

    IN_SERVICE = 'in-service'
    OUT_OF_SERVICE = 'out-of-service'


class LatencyTargets(Struct, frozen=True, kw_only=True):
    """Latency targets for the 95th percentile of model requests.

    Attributes:
        first_token_s: Time from a request to the first token.
        between_tokens_s: Time between two tokens.
    """

    first_token_s: float = 0.79
    between_tokens_s: float = 0.055


class QueuePolicy(Enum):
    """How model requests are queued and placed on engines.

    ``CELL`` queues requests at the owner of the cell and reserves engines for
    them. The other policies are baselines for measurements.
    """

    CELL = 'cell'
    ROUND_ROBIN = 'round-robin'
    LEAST_LOAD = 'least-load'
    NO_RESERVATION = 'no-reservation'


class QueueBounds(Struct, frozen=True, kw_only=True):
    """Policy and bounds of the queue of a cell.

    A cell holds the queue and the engines of one model service. The bounds
    apply to all workspaces together.

    Attributes:
        policy: How requests are queued and placed.
        max_requests: Maximum number of queued requests.
        max_tokens: Maximum number of tokens of the queued requests.
        max_age_s: Maximum time that a request may be queued.
    """

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
        pool_id: Name in the fleet settings.
        role: Kind of requests that its upstreams run.
        model: Model that its engines should load.
        version: Version of the model.
        cold_places: Maximum number of concurrent requests of an upstream
            that just started.
        warmup_requests: Requests that an upstream has to complete before its
            slow start raises that maximum.
    """

    pool_id: PoolId
    role: PoolRole
    model: str = ''
    version: str = ''
    cold_places: int = 2
    warmup_requests: int = 8


class Upstream(Struct, frozen=True, kw_only=True):
    """Settings of one upstream.

    Attributes:
        upstream_id: Name in the fleet settings.
        pool_id: Pool that it belongs to.
        host: IP address.
        port: TCP port.
        domain_id: Failure domain that it runs in.
        places: Maximum number of concurrent requests.
        kv_pieces: Size of its KV cache in pieces of 2,048 tokens.
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
    """A service that callers reach through routes.

    Attributes:
        service_id: Name in the fleet settings.
        kind: Kind of the service.
        prefill_pool: Pool of prefill engines of a model service.
        decode_pool: Pool of decode engines of a model service.
        pool: Pool of upstreams of a plain service.
        depends_on: Services without which this service cannot work.
    """

    service_id: ServiceId
    kind: ServiceKind
    prefill_pool: PoolId | None = None
    decode_pool: PoolId | None = None
    pool: PoolId | None = None
    depends_on: tuple[ServiceId, ...] = ()


class Route(Struct, frozen=True, kw_only=True):
    """A path prefix of a service; the longest matching prefix wins.

    Attributes:
        route_id: Name in the fleet settings.
        service_id: Service that handles its requests.
        path: Path prefix.
        methods: Allowed HTTP methods.
        access: Whether callers need an API key.
        is_repeatable: Whether requests are idempotent, so that the router may
            retry them after a failure; other requests are orders, which run
            at most once for each idempotency key.
    """

    route_id: RouteId
    service_id: ServiceId
    path: str
    methods: tuple[str, ...] = ('POST',)
    access: RouteAccess = RouteAccess.KEYED
    is_repeatable: bool = True


class Workspace(Struct, frozen=True, kw_only=True):
    """A workspace with its limits, which hold for all VMs together.

    Attributes:
        workspace_id: Name in the fleet settings.
        requests_per_s: Sustained rate of requests.
        request_burst: Requests that may exceed the sustained rate at once.
        tokens_per_s: Sustained rate of prompt and output tokens.
        token_burst: Tokens that may exceed the sustained rate at once.
        weight: Share of the queue relative to other workspaces.
        key_digests: Lower-case hex SHA-256 digests of the valid keys.
    """

    workspace_id: WorkspaceId
    requests_per_s: float
    request_burst: float
    tokens_per_s: float
    token_burst: float
    weight: float = 1.0
    key_digests: tuple[str, ...] = ()


class FleetSettings(Struct, frozen=True, kw_only=True):
    """One accepted revision of the fleet settings.

    Attributes:
        revision: Revision of the published text.
        max_nodes: Largest number of nodes in the fleet.
        resend_window_s: Time for which a caller may resend a request under
            the same idempotency key.
        weight_loads_per_minute: Rate limit of model loads from the weight
            store for the whole fleet; cells share it equally.
        targets: Latency targets of model requests.
        queue: Bounds and policy of the queues.
        failure_domains: Failure domains by id.
        pools: Pools by id.
        upstreams: Upstreams by id.
        services: Services by id.
        routes: Routes by id.
        workspaces: Workspaces by id.
    """

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
        """Returns the upstreams of a pool in the order of the settings.

        The result is empty for ``None``.
        """
        return tuple(
            upstream
            for upstream in self.upstreams.values()
            if upstream.pool_id == pool_id
        )

    def is_in_service(self, upstream: Upstream) -> bool:
        """Returns whether the upstream's failure domain takes new work.

        A failure domain without a section takes new work.
        """
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

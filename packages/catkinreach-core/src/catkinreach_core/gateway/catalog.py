"""The accepted configuration: routes, services, workspaces, limits."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from msgspec import Struct, field

from ..ids import RouteId, ServiceId, WorkspaceId

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping


class RouteKind(Enum):
    """Which requests of a route may be retried."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


class ServiceShare(Struct, frozen=True):
    """A service and its weight in the traffic split of a route."""

    service_id: ServiceId
    weight: float


class Route(Struct, frozen=True, kw_only=True):
    """One route.

    Attributes:
        route_id: Name in the configuration.
        host: Host name in the requests' Host header.
        prefix: Prefix of the path, with a slash at both ends.
        kind: Which requests may be retried.
        shares: Services that the requests are split over.
        timeout_s: Timeout of a request; 0 for none.
        target_s: Latency target of the reply, or of a stream's first event.
        gap_target_s: Latency target between two events of a stream.
        max_attempts: Maximum number of times that a request is sent.
        priority: Priority; 0 is the most urgent.
        is_public: Whether requests need no API key.
        is_resumable: Whether a stream may resume at another upstream.
    """

    route_id: RouteId
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    target_s: float
    gap_target_s: float
    max_attempts: int
    priority: int
    is_public: bool
    is_resumable: bool

    @property
    def is_retryable(self) -> bool:
        """Returns whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT

    def choose_service(self, rng: random.Random) -> ServiceId:
        """Returns a random service, by the weights of the split."""
        if len(self.shares) == 1:
            return self.shares[0].service_id
        weights = [share.weight for share in self.shares]
        chosen = rng.choices(self.shares, weights=weights)[0]
        return chosen.service_id


class EngineTraits(Struct, frozen=True, kw_only=True):
    """Properties that all engines of a model service share.

    Attributes:
        memory_tokens: Tokens of KV cache that one engine can hold.
        token_bytes: Bytes of KV cache per token.
        link_mbps: Network bandwidth of an engine.
        handle_ttl_s: Lifetime of a prefill result that is not fetched.
        event_tokens: Tokens in one event of a stream.
        stage_switch_s: Downtime of an engine that changes its stage.
    """

    memory_tokens: int
    token_bytes: int
    link_mbps: float
    handle_ttl_s: float
    event_tokens: int
    stage_switch_s: float


class ServiceTraits(Struct, frozen=True, kw_only=True):
    """Properties of one service.

    Attributes:
        service_id: Name in the configuration.
        max_connections: Connections that one upstream accepts, from all
            nodes together.
        health_path: Path of the upstreams' health check.
        cold_per_s: Requests per second that a cold upstream can serve; 0 if
            upstreams of the service don't start cold.
        engine: Traits of model engines, ``None`` for plain services.
    """

    service_id: ServiceId
    max_connections: int
    health_path: str
    cold_per_s: float
    engine: EngineTraits | None = None


class WorkspacePolicy(Struct, frozen=True, kw_only=True):
    """Quota and priority of one workspace.

    Attributes:
        workspace_id: Name in the configuration.
        rate: Cost per second allowed over all nodes; 0 for no limit.
        burst: Cost allowed beyond the rate.
        counts_tokens: Whether the cost of a request is its number of tokens;
            otherwise it is 1.
        plain_cost: Cost of a request without a token count, if tokens are
            counted.
        priority: Priority that overrides the route's, if any.
    """

    workspace_id: WorkspaceId
    rate: float
    burst: float
    counts_tokens: bool
    plain_cost: float
    priority: int | None


class CallerLimits(Struct, frozen=True, kw_only=True):
    """Size limits and timeouts for the requests of callers."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Catalog(Struct, frozen=True, kw_only=True):
    """One version of the accepted configuration.

    Attributes:
        version: Number that increases with each change.
        routes: Routes by host, longest prefix first.
        services: Services by name.
        workspaces: Workspaces by API key.
        has_workspaces: Whether requests need an API key.
        limits: Size limits and timeouts for callers.
        prioritized_services: Services with streaming routes of several
            priorities.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[ServiceId, ServiceTraits]
    workspaces: dict[str, WorkspacePolicy]
    has_workspaces: bool
    limits: CallerLimits = field(default_factory=CallerLimits)
    prioritized_services: frozenset[ServiceId] = frozenset()

    def has_priorities(self, service_id: ServiceId) -> bool:
        """Returns whether streams of a service have several priorities."""
        return service_id in self.prioritized_services

    def match_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, if any."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def routes_by_host(routes: Iterable[Route]) -> Mapping[str, tuple[Route, ...]]:
    """Returns routes by host, the longest prefix first."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(matches, key=lambda match: -len(match.prefix)))
        for host, matches in grouped.items()
    }


def find_prioritized_services(routes: Iterable[Route]) -> frozenset[ServiceId]:
    """Returns the services whose streams have several priorities."""
    priorities: dict[ServiceId, set[int]] = {}
    for route in routes:
        if route.kind is RouteKind.STREAM:
            for share in route.shares:
                found = priorities.setdefault(share.service_id, set())
                found.add(route.priority)
    return frozenset(
        service_id for service_id, found in priorities.items() if len(found) > 1
    )


__all__ = (
    'CallerLimits',
    'Catalog',
    'EngineTraits',
    'Route',
    'RouteKind',
    'ServiceShare',
    'ServiceTraits',
    'WorkspacePolicy',
    'find_prioritized_services',
    'routes_by_host',
)

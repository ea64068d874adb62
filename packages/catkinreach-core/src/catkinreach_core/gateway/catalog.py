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
    """What may be repeated on a route."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


class ServiceShare(Struct, frozen=True):
    """A service and the weight of its part of a route's requests."""

    service_id: ServiceId
    weight: float


class Route(Struct, frozen=True, kw_only=True):
    """One route.

    Attributes:
        route_id: Name in the configuration.
        host: Host that callers name.
        prefix: Beginning of the path, with a slash at both ends.
        kind: What may be repeated.
        shares: Services that the requests are split over.
        timeout_s: Longest time that a request may be kept waiting.
        target_s: Time within which an answer, or first event, is on time.
        gap_target_s: Longest pause between events that is on time.
        max_attempts: Most upstreams that one request may be sent to.
        priority: Rank; 0 is the most urgent.
        is_public: Whether a key is needless.
        is_resumable: Whether a stream may go on at another upstream.
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
        """Tells whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT

    def choose_service(self, rng: random.Random) -> ServiceId:
        """Returns a service, by the weights of the split."""
        if len(self.shares) == 1:
            return self.shares[0].service_id
        weights = [share.weight for share in self.shares]
        chosen = rng.choices(self.shares, weights=weights)[0]
        return chosen.service_id


class EngineTraits(Struct, frozen=True, kw_only=True):
    """What all engines of a model service have in common.

    Attributes:
        memory_tokens: Tokens that fit into the memory of one engine.
        token_bytes: KV cache of one token.
        link_mbps: Rate of an engine's link.
        handle_ttl_s: Life of a prefill result that nobody takes.
        event_tokens: Tokens that one event of a stream holds.
        stage_switch_s: Time that an engine is out when its stage changes.
    """

    memory_tokens: int
    token_bytes: int
    link_mbps: float
    handle_ttl_s: float
    event_tokens: int
    stage_switch_s: float


class ServiceTraits(Struct, frozen=True, kw_only=True):
    """One service.

    Attributes:
        service_id: Name in the configuration.
        max_connections: Connections that one upstream takes from all nodes.
        cold_per_s: Requests a second that a cold upstream bears; 0 where
            upstreams of the service don't start cold.
        engine: Traits of model engines, ``None`` for plain services.
    """

    service_id: ServiceId
    max_connections: int
    cold_per_s: float
    engine: EngineTraits | None = None


class WorkspacePolicy(Struct, frozen=True, kw_only=True):
    """What one workspace may ask for.

    Attributes:
        workspace_id: Its name.
        rate: Tokens a second over all nodes; 0 for no limit.
        burst: Tokens beyond the rate.
        counts_tokens: Whether a request costs its tokens, not 1.
        plain_cost: Tokens that a request without a token count costs.
        priority: Rank that goes before the route's, if any.
    """

    workspace_id: WorkspaceId
    rate: float
    burst: float
    counts_tokens: bool
    plain_cost: float
    priority: int | None


class CallerLimits(Struct, frozen=True, kw_only=True):
    """What callers may send and how long they may take."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Catalog(Struct, frozen=True, kw_only=True):
    """One version of the configuration.

    Attributes:
        version: Grows with each change.
        routes: Routes by host, longest prefix first.
        services: Services by name.
        workspaces: Workspaces by key.
        has_workspaces: Whether requests need a key.
        limits: Bounds for callers.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[ServiceId, ServiceTraits]
    workspaces: dict[str, WorkspacePolicy]
    has_workspaces: bool
    limits: CallerLimits = field(default_factory=CallerLimits)

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
        host: tuple(sorted(known, key=lambda one: -len(one.prefix)))
        for host, known in grouped.items()
    }


__all__ = (
    'CallerLimits',
    'Catalog',
    'EngineTraits',
    'Route',
    'RouteKind',
    'ServiceShare',
    'ServiceTraits',
    'WorkspacePolicy',
    'routes_by_host',
)

"""Builds configuration documents as the platform's operators publish them."""

from __future__ import annotations

HOST = 'app.example'
KEY = 'key-one'
OTHER_API_KEY = 'key-two'
PLAIN_SERVICE = 'plain'
MODEL_SERVICE = 'model'
IDLE_TIMEOUT_MS = 2000


def make_route(name: str, kind: str, service: str, **changed: object) -> object:
    """Returns a route entry whose path prefix is the route's name.

    Args:
        name: Name of the route.
        kind: How requests are handled, such as ``idempotent``.
        service: Service that the route leads to.
        **changed: Members that replace the defaults.
    """
    document: dict[str, object] = {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout-ms': 3000,
        'target-latency-ms': 900,
        'priority': 1,
        'service': service,
        'max-attempts': 2,
        'public': False,
        'resumable': False,
        'gap-aim-ms': 300,
    }
    return {**document, **changed}


def make_limits(**changed: object) -> dict[str, object]:
    """Returns the limits for callers.

    Args:
        **changed: Members that replace the defaults.
    """
    document: dict[str, object] = {
        'max-header-bytes': 16_384,
        'max-body-bytes': 100_000,
        'header-timeout-ms': 1000,
        'idle-timeout-ms': IDLE_TIMEOUT_MS,
    }
    return {**document, **changed}


def make_config(version: int, **changed: object) -> dict[str, object]:
    """Returns a configuration that has routes of every kind.

    Args:
        version: Version in the document.
        **changed: Members that replace the defaults.
    """
    document: dict[str, object] = {
        'version': version,
        'routes': [
            make_route('read', 'idempotent', PLAIN_SERVICE),
            make_route(
                'order', 'non_idempotent', PLAIN_SERVICE, **{'max-attempts': 1}
            ),
            make_route('open', 'idempotent', PLAIN_SERVICE, public=True),
            make_route('stream', 'streaming', MODEL_SERVICE, resumable=True),
            make_route(
                'once', 'streaming', MODEL_SERVICE, **{'max-attempts': 1}
            ),
        ],
        'services': [
            {
                'name': PLAIN_SERVICE,
                'health-path': '/health',
                'max-connections': 110,
                'cold-per-s': 0.0,
            },
            {
                'name': MODEL_SERVICE,
                'health-path': '/health',
                'max-connections': 370,
                'cold-per-s': 8.0,
                'engine': {
                    'slots': 64,
                    'kv-tokens': 60_000,
                    'kv-token-bytes': 163_840,
                    'link-mbps': 1_400_000.0,
                    'stride': 11,
                    'handle-ttl-s': 0.5,
                    'stage-switch-s': 6.0,
                },
            },
        ],
        'limits': make_limits(),
        'tenants': [
            {
                'name': 'one',
                'api-keys': [KEY],
                'priority': 1,
                'unit': 'tokens',
                'plain-tokens': 200,
                'rate-per-s': 47_000,
                'burst': 47_000,
            },
            {'name': 'two', 'api-keys': [OTHER_API_KEY], 'unit': 'tokens'},
        ],
    }
    return {**document, **changed}


__all__ = (
    'HOST',
    'IDLE_TIMEOUT_MS',
    'KEY',
    'MODEL_SERVICE',
    'OTHER_API_KEY',
    'PLAIN_SERVICE',
    'make_config',
    'make_limits',
    'make_route',
)

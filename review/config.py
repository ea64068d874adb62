"""The configuration of a small deployment."""

from __future__ import annotations

HOST = 'app.example'
KEY = 'key-of-tenant-one'
PLAIN = 'bee-app'
MODEL = 'pattern-llm'
MAX_BODY_BYTES = 4_194_304


def route(name: str, kind: str, service: str, **changed: object) -> dict:
    """Returns a route whose prefix is its name."""
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout-ms': 14000,
        'target-latency-ms': 900,
        'priority': 1,
        'service': service,
        'max-attempts': 2,
        'public': False,
        'resumable': False,
        'gap-aim-ms': 300,
        **changed,
    }


def configuration(routes: list[dict]) -> dict[str, object]:
    """Returns a configuration with the limits of the site file."""
    return {
        'version': 7,
        'routes': routes,
        'services': [
            {
                'name': PLAIN,
                'health-path': '/health',
                'max-connections': 110,
                'cold-per-s': 0.0,
            },
            {
                'name': MODEL,
                'health-path': '/health',
                'max-connections': 370,
                'cold-per-s': 8.0,
                'engine': {
                    'slots': 64,
                    'kv-tokens': 66719,
                    'kv-token-bytes': 163840,
                    'link-mbps': 1400000.0,
                    'stride': 11,
                    'handle-ttl-s': 0.5,
                    'stage-switch-s': 6.0,
                    'models': [{'name': 'm'}],
                },
            },
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': MAX_BODY_BYTES,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'tenants': [{'name': 'one', 'api-keys': [KEY], 'unit': 'tokens'}],
    }

"""Modules and command-line flags of a deployment's stand-ins."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinreach_core.settings.fleet import PoolRole

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from catkinreach_core.settings.fleet import Pool, Upstream

    from .plan import BenchOptions

STANDINS_PACKAGE = 'catkinreach_standins'


def upstream_module(pool: Pool) -> str:
    """Returns the module of the stand-in that runs a pool's upstreams."""
    kind = 'plain' if pool.role is PoolRole.PLAIN else 'engine'
    return f'{STANDINS_PACKAGE}.{kind}'


def upstream_flags(
    upstream: Upstream,
    pool: Pool,
    options: BenchOptions,
    *,
    capture: Path,
    journal: Path,
) -> list[str]:
    """Returns the flags of an upstream's stand-in.

    Args:
        upstream: The upstream.
        pool: Pool of the upstream.
        options: Options of the deployment.
        capture: File to which the stand-in writes the bytes that it receives.
        journal: File to which a plain stand-in logs executions.
    """
    flags = [f'--name={upstream.upstream_id}', f'--port={upstream.port}']
    if options.has_capture:
        flags.append(f'--capture={capture}')
    if pool.role is PoolRole.PLAIN:
        return [*flags, f'--journal={journal}']
    return [
        *flags,
        f'--role={pool.role.value}',
        f'--model={pool.model}',
        f'--places={upstream.places}',
        f'--kv_pieces={upstream.kv_pieces}',
        f'--seed={options.seed}',
        f'--{"" if upstream.is_fencing else "no"}fencing',
        *options.engine_flags,
    ]


def balancer_flags(
    port: int, backends: Sequence[str], health: Sequence[str]
) -> list[str]:
    """Returns the flags of the balancer.

    Without ``health`` addresses the balancer makes no health checks.
    """
    return [
        f'--port={port}',
        f'--backends={",".join(backends)}',
        f'--health={",".join(health)}',
    ]


__all__ = (
    'STANDINS_PACKAGE',
    'balancer_flags',
    'upstream_flags',
    'upstream_module',
)

"""Placement requests, engines and cells with default values for tests."""

from __future__ import annotations

from typing import Any

from catkinreach_core.cell.cell import Cell
from catkinreach_core.cell.engine_view import EngineView
from catkinreach_core.cell.placement_request import PlacementRequest
from catkinreach_core.cell.placer import Placer
from catkinreach_core.cell.ramp import SlowStart
from catkinreach_core.ids import (
    FailureDomainId,
    PoolId,
    RequestId,
    UpstreamId,
    VmId,
    WorkspaceId,
)
from catkinreach_core.settings.fleet import QueueBounds, Upstream

COMPLETIONS_WHEN_WARM = 1000
"""More completed requests than slow start takes."""

TARGET_FIRST_TOKEN_S = 0.79


def make_request(
    number: int, *, workspace: str = 'w', **overrides: Any
) -> PlacementRequest:
    """Returns a placement request with id ``r<number>``.

    Args:
        number: Number in the request id and the digest ``d<number>``.
        workspace: Id of the workspace.
        overrides: Other fields that differ from the defaults.
    """
    defaults: dict[str, Any] = {
        'request_id': RequestId(f'r{number}'),
        'attempt': 0,
        'vm_id': VmId('vm-1'),
        'workspace_id': WorkspaceId(workspace),
        'prompt_tokens': 400,
        'max_tokens': 50,
        'digest': f'd{number}',
    }
    return PlacementRequest(**{**defaults, **overrides})


def make_engine(
    name: str,
    *,
    places: int = 4,
    kv_pieces: int = 400,
    completed: int = COMPLETIONS_WHEN_WARM,
    domain: str = 'a',
) -> EngineView:
    """Returns an engine with boot id ``<name>-boot-1``.

    Args:
        name: Id of the upstream.
        places: Decode places.
        kv_pieces: KV pieces.
        completed: Completed requests; by default slow start is over.
        domain: Id of the failure domain.
    """
    upstream = Upstream(
        upstream_id=UpstreamId(name),
        pool_id=PoolId('pool'),
        host='127.0.0.1',
        port=1,
        domain_id=FailureDomainId(domain),
        places=places,
        kv_pieces=kv_pieces,
    )
    ramp = SlowStart()
    ramp.merge_completed(completed)
    view = EngineView(upstream, ramp)
    view.update_boot(f'{name}-boot-1')
    return view


def make_cell(
    prefill: list[EngineView] | None = None,
    decode: list[EngineView] | None = None,
    *,
    bounds: QueueBounds | None = None,
) -> Cell:
    """Returns a cell with an empty queue and equal weights.

    Args:
        prefill: Prefill engines, by default one in each of two failure
            domains.
        decode: Decode engines, with the same default.
        bounds: Bounds of the queue.
    """
    return Cell(
        Placer(
            prefill or [make_engine('p1'), make_engine('p2', domain='b')],
            decode or [make_engine('d1'), make_engine('d2', domain='b')],
        ),
        bounds or QueueBounds(),
        first_token_s=TARGET_FIRST_TOKEN_S,
        weight_of=lambda _: 1.0,
    )


__all__ = ('make_cell', 'make_engine', 'make_request')

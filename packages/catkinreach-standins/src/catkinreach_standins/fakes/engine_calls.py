"""Calls of a node to one engine, without a fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinreach_core.ids import (
    FailureDomainId,
    Incarnation,
    PoolId,
    UpstreamId,
    VmId,
)
from catkinreach_core.settings.fleet import Upstream
from catkinreach_node.session.engine_answers import Holder
from catkinreach_node.session.engine_client import EngineClient

if TYPE_CHECKING:
    from catkinreach_core.settings.node import Address
    from catkinreach_node.http.client import HttpClient


def make_engine_at(address: Address) -> Upstream:
    """Returns the settings of an engine."""
    return Upstream(
        upstream_id=UpstreamId('engine'),
        pool_id=PoolId('pool'),
        host=address.host,
        port=address.port,
        domain_id=FailureDomainId('a'),
    )


def make_engine_client(client: HttpClient) -> EngineClient:
    """Returns a client of engines whose holdings are those of one node."""
    return EngineClient(client, Holder(VmId('vm-1'), Incarnation('i')))


__all__ = ('make_engine_at', 'make_engine_client')

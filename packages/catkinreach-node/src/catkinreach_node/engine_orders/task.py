"""Polls the state of engines and sends the orders that they need."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING

from loguru import logger

from catkinreach_core.documents import DocumentError, decode_json
from catkinreach_core.engine_orders.pacer import LoadPacer
from catkinreach_core.engine_orders.plan import EngineState, next_order
from catkinreach_core.ownership.shards import cell_shard
from catkinreach_core.settings.fleet import ServiceKind

from ..component import NodeComponent
from ..http.connection import ConnectError, ExchangeError
from ..session.engine_client import upstream_address

if TYPE_CHECKING:
    from collections.abc import Mapping

    from catkinreach_core.engine_orders.plan import EngineOrder
    from catkinreach_core.ids import ShardId
    from catkinreach_core.ownership.tenure import Tenure
    from catkinreach_core.settings.fleet import (
        FleetSettings,
        Service,
        Upstream,
    )

    from ..component import NodeContext

RECONCILE_INTERVAL_S = 1.0
"""Pause between two polls of the engines."""

DELAYED_LOAD_RETRY_S = 0.1
"""Pause after a poll in which the pacer delayed a load."""

CALL_TIMEOUT_S = 2.0
_HTTP_OK = 200
_HTTP_CONFLICT = 409


class EngineOrdersTask(NodeComponent):
    """Reconciles the engines of this node's cells with the settings."""

    def __init__(self, context: NodeContext) -> None:
        """Starts without owned cells."""
        self._context = context
        self._pacers: dict[ShardId, tuple[int, LoadPacer]] = {}
        self._sent_counts: Counter[str] = Counter()
        self._delayed_load_count = 0

    @property
    def name(self) -> str:
        """Returns the key of the component in the status document."""
        return 'engine_orders'

    async def run(self) -> None:
        """Reconciles the engines until cancelled."""
        while True:
            self._delayed_load_count = 0
            if self._context.state.has_settings:
                await self._reconcile(self._context.state.settings)
            await asyncio.sleep(
                DELAYED_LOAD_RETRY_S
                if self._delayed_load_count
                else RECONCILE_INTERVAL_S
            )

    async def hand_over(self) -> None:
        """Does nothing: the next owner polls the engines itself."""

    def status(self) -> Mapping[str, object]:
        """Returns the number of orders sent, by kind and HTTP status."""
        return dict(self._sent_counts)

    async def _reconcile(self, settings: FleetSettings) -> None:
        model_services = [
            service
            for service in settings.services.values()
            if service.kind is ServiceKind.MODEL
        ]
        for service in model_services:
            shard = cell_shard(service.service_id)
            tenure = self._current_tenure(shard)
            if tenure is None:
                self._pacers.pop(shard, None)
                continue
            pacer = self._pacer(tenure, settings, len(model_services))
            await self._reconcile_cell(service, settings, shard, pacer)

    def _current_tenure(self, shard: ShardId) -> Tenure | None:
        return self._context.ownership.tenure_of(shard, time.monotonic())

    def _pacer(
        self, tenure: Tenure, settings: FleetSettings, cells: int
    ) -> LoadPacer:
        term, pacer = self._pacers.get(tenure.shard, (0, None))
        if pacer is None or term != tenure.term:
            pacer = LoadPacer(
                settings.weight_loads_per_minute,
                cells,
                started_at_s=time.monotonic(),
            )
            self._pacers[tenure.shard] = (tenure.term, pacer)
        return pacer

    async def _reconcile_cell(
        self,
        service: Service,
        settings: FleetSettings,
        shard: ShardId,
        pacer: LoadPacer,
    ) -> None:
        engines = (
            *settings.upstreams_of(service.prefill_pool),
            *settings.upstreams_of(service.decode_pool),
        )
        states = await asyncio.gather(*map(self._read_state, engines))
        for engine, state in zip(engines, states, strict=True):
            if state is None:
                continue
            order = next_order(
                engine.upstream_id,
                settings.pools[engine.pool_id],
                state,
                settings.revision,
            )
            if order is not None:
                await self._send_if_allowed(engine, order, shard, pacer)

    async def _send_if_allowed(
        self,
        engine: Upstream,
        order: EngineOrder,
        shard: ShardId,
        pacer: LoadPacer,
    ) -> None:
        """Sends an order if the node owns the cell and a load may start now.

        An order that follows from older settings is dropped.
        """
        if self._current_tenure(shard) is None:
            return
        if order.fence != self._context.state.revision:
            return
        if order.kind.reads_weights and not pacer.try_start_load(
            time.monotonic()
        ):
            self._delayed_load_count += 1
            return
        await self._send_order(engine, order)

    async def _send_order(self, engine: Upstream, order: EngineOrder) -> None:
        document = {
            'kind': order.kind.value,
            'target': order.target,
            'version': order.version,
            'fence': order.fence,
        }
        status, _ = await self._call_engine(
            engine, 'POST', '/v1/orders', document
        )
        self._sent_counts[f'{order.kind.value} {status}'] += 1
        logger.info(
            'orders: {} {} {} to {}: {}.',
            order.kind.value,
            order.target,
            order.version,
            order.upstream_id,
            'stale' if status == _HTTP_CONFLICT else status,
        )

    async def _read_state(self, engine: Upstream) -> EngineState | None:
        status, body = await self._call_engine(engine, 'GET', '/v1/state')
        if status != _HTTP_OK:
            return None
        try:
            return decode_json(body, EngineState)
        except DocumentError:
            return None

    async def _call_engine(
        self,
        engine: Upstream,
        method: str,
        target: str,
        document: object = None,
    ) -> tuple[int, bytes]:
        """Returns the status and body of the response; status 0 without one."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._context.client.call_json(
                    upstream_address(engine), method, target, document
                )
        except (ConnectError, ExchangeError, TimeoutError):
            return 0, b''


__all__ = ('EngineOrdersTask',)

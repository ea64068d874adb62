"""Live attempts of this process and the engines that they use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinreach_core.ids import RequestId, attempt_id
from catkinreach_core.messages.cell import HoldingsAnswer, HoldingsQuery

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinreach_core.cell.placement_request import Granted
    from catkinreach_core.ids import Incarnation, UpstreamId, VmId

    from ..peers.transport import PeerTransport


class LiveAttempts:
    """Records which engines each live attempt of this process uses.

    Sweeps of engine holdings query it before they free anything.
    """

    def __init__(self, incarnation: Incarnation) -> None:
        """Starts without an attempt."""
        self._incarnation = incarnation
        self._engines: dict[RequestId, frozenset[UpstreamId]] = {}

    def register_handler(self, transport: PeerTransport) -> None:
        """Registers the handler for the holdings queries of other nodes."""
        transport.on_call(HoldingsQuery, self._on_query)

    def add(self, granted: Granted) -> RequestId:
        """Records an attempt; returns its id on the engines."""
        engine_request_id = attempt_id(
            granted.request.request_id, granted.request.attempt
        )
        self._engines[engine_request_id] = frozenset(
            {granted.prefill, granted.decode}
        )
        return engine_request_id

    def remove(self, engine_request_id: RequestId) -> None:
        """Removes an attempt that has ended."""
        self._engines.pop(engine_request_id, None)

    def holdings_answer(
        self, upstream_id: UpstreamId, request_ids: Iterable[RequestId]
    ) -> HoldingsAnswer:
        """Returns which of the requests still use an upstream."""
        return HoldingsAnswer(
            incarnation=self._incarnation,
            live=tuple(
                engine_request_id
                for engine_request_id in request_ids
                if upstream_id in self._engines.get(engine_request_id, ())
            ),
        )

    async def _on_query(
        self, sender: VmId, message: HoldingsQuery
    ) -> HoldingsAnswer:
        del sender
        return self.holdings_answer(message.upstream_id, message.request_ids)


__all__ = ('LiveAttempts',)

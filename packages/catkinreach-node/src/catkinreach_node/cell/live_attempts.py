"""What this node's requests use on the engines."""

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
    """The live attempts of this process and the engines that they use."""

    def __init__(self, incarnation: Incarnation) -> None:
        """Starts without a claim."""
        self._incarnation = incarnation
        self._engines: dict[RequestId, frozenset[UpstreamId]] = {}

    def serve(self, transport: PeerTransport) -> None:
        """Answers the sweeps of other nodes."""
        transport.on_call(HoldingsQuery, self._on_query)

    def add(self, granted: Granted) -> RequestId:
        """Claims the engines of an attempt; returns its id there."""
        key = attempt_id(granted.request.request_id, granted.request.attempt)
        self._engines[key] = frozenset({granted.prefill, granted.decode})
        return key

    def remove(self, key: RequestId) -> None:
        """Ends a claim."""
        self._engines.pop(key, None)

    def answer(
        self, upstream_id: UpstreamId, request_ids: Iterable[RequestId]
    ) -> HoldingsAnswer:
        """Returns which of the requests still use an upstream."""
        return HoldingsAnswer(
            incarnation=self._incarnation,
            live=tuple(
                key
                for key in request_ids
                if upstream_id in self._engines.get(key, ())
            ),
        )

    async def _on_query(
        self, sender: VmId, message: HoldingsQuery
    ) -> HoldingsAnswer:
        del sender
        return self.answer(message.upstream_id, message.request_ids)


__all__ = ('LiveAttempts',)

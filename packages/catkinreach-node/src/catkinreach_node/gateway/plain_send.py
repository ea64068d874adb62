"""A request at one upstream of a plain service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinreach_core.gateway.load_table import UpstreamLoad

from ..http.connection import ExchangeError
from .reply_wait import start_reply

if TYPE_CHECKING:
    import asyncio

    from catkinreach_core.gateway.upstream import Upstream

    from .admitted_request import AdmittedRequest
    from .exchange import Reply
    from .node import Node


class PlainSend:
    """Sends a request to one upstream and reads the whole reply.

    Until it is closed it counts towards the upstream's load.
    """

    def __init__(
        self, node: Node, admitted: AdmittedRequest, upstream: Upstream
    ) -> None:
        """Counts the work; nothing is sent yet."""
        self._node = node
        self._admitted = admitted
        self._upstream = upstream
        self._load = UpstreamLoad(running=1)
        self._replying: asyncio.Future[None] | None = None
        self._reply: Reply | None = None
        self._is_closed = False
        self.body = b''
        node.loads.begin_work(upstream.upstream_id, self._load)
        node.report_change()

    @property
    def upstream(self) -> Upstream:
        """Returns the upstream."""
        return self._upstream

    @property
    def reply(self) -> Reply:
        """Returns the reply; valid once it has been read."""
        assert self._reply is not None  # noqa: S101 - narrows the type
        return self._reply

    def start(self) -> asyncio.Future[None]:
        """Sends the request; returns the wait for the whole reply.

        The wait ends with a ``ConnectError`` if nothing was sent, and with an
        ``ExchangeError`` if the request may have run. It is cancelled if the
        send is closed.
        """
        self._replying = start_reply(self._exchange())
        return self._replying

    def close(self) -> None:
        """Ends the send; without the whole reply it closes its connection."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._replying is not None:
            self._replying.cancel()
        self._node.loads.end_work(self._upstream.upstream_id, self._load)
        self._node.report_change()

    async def _exchange(self) -> None:
        failure = await self._read_reply()
        if failure is not None:
            # An error from within would keep the partial reply in memory.
            raise ExchangeError(failure)

    async def _read_reply(self) -> str | None:
        """Reads the reply; returns why that failed."""
        admitted = self._admitted
        metadata = admitted.forward_metadata(self._upstream, self._node.clock())
        try:
            reply = await self._node.paths.exchange(
                self._upstream,
                self._node.dialect.upstream_request(admitted.request, metadata),
                admitted.metadata.request_id,
            )
            if reply.metadata.has_not_run:
                await reply.skip_refusal()
            else:
                self.body = await reply.read_all()
        except ExchangeError as error:
            return str(error)
        self._reply = reply
        return None


__all__ = ('PlainSend',)

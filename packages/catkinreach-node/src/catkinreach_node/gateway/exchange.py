"""Sends one request to one upstream and reads the head of its reply."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import h11

from ..http.client import ClientResponse
from ..http.connection import ClosedToRequestsError, ExchangeError
from ..http.messages import EVENT_STREAM_TYPE, STATUSES_WITHOUT_BODY
from .decision_log import Event
from .reply_buffer import BufferFullError

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_core.gateway.metadata import ReplyMetadata
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.ids import RequestId

    from ..http.connection import ClientConnection
    from ..http.messages import Headers, HttpRequest
    from .node import Node

STREAM_STATUS = 200
MIN_FAILURE_STATUS = 500
MAX_SKIPPED_REPLIES = 4

MAX_INTERIM_HEADS = 8
"""Interim (1xx) heads accepted before a reply."""

MAX_REPLY_BYTES = 1024 * 1024
"""Longest body of a reply that is buffered as a whole."""


REFUSAL_BODY_S = 0.25
"""Longest wait for the body of a refusal."""


@dataclass(slots=True)
class Reply:
    """A reply whose body isn't read yet; owns its connection.

    Attributes:
        node: State of the process.
        upstream: Upstream that the request was sent to.
        connection: Connection that the reply comes on.
        status: Status of the reply.
        headers: Headers of the reply.
        metadata: Metadata of the reply.
        sent_s: Monotonic time at which the request was sent.
        is_relayed: Whether a peer passes the reply on; its connection carries
            no further request.
        silence_s: Longest time without data since the head.
    """

    node: Node
    upstream: Upstream
    connection: ClientConnection
    status: int
    headers: Headers
    metadata: ReplyMetadata
    sent_s: float
    is_relayed: bool = False
    silence_s: float = field(default=0.0, init=False)
    _last_data_s: float = field(init=False)

    def __post_init__(self) -> None:
        """Begins with the arrival of the head."""
        self._last_data_s = self.node.clock()

    @property
    def is_success(self) -> bool:
        """Returns whether the upstream ran the request successfully."""
        return self.status < MIN_FAILURE_STATUS and self.metadata.is_sealed

    @property
    def is_event_stream(self) -> bool:
        """Returns whether the body is an upstream's stream of events.

        Upstreams may omit the content type.
        """
        content_type = dict(self.headers).get('content-type', EVENT_STREAM_TYPE)
        return (
            self.status == STREAM_STATUS
            and self.metadata.is_sealed
            and content_type.lower().startswith(EVENT_STREAM_TYPE)
        )

    @property
    def is_declared_stream(self) -> bool:
        """Returns whether the head says that the body is a stream."""
        names = {name for name, _ in self.headers}
        return (
            self.is_event_stream
            and 'content-type' in names
            and 'content-length' not in names
        )

    @property
    def ends_with_connection(self) -> bool:
        """Returns whether the end of the body is that of the connection."""
        names = {name for name, _ in self.headers}
        return (
            names.isdisjoint({'content-length', 'transfer-encoding'})
            and self.status not in STATUSES_WITHOUT_BODY
        )

    async def check_end(self) -> None:
        """Checks that the body ended with its connection only.

        A crash of the upstream looks the same if the end of the body is that of
        the connection.

        Raises:
            ExchangeError: if the upstream may have restarted meanwhile.
        """
        if not self.ends_with_connection:
            return
        if not await self.node.identity_check.is_same(
            self.upstream, self.sent_s, self.silence_s
        ):
            raise ExchangeError('connection ended with its upstream')

    async def next_data(self) -> tuple[bytes, bool]:
        """Returns the next data of the body, and whether the body is complete.

        Raises:
            ExchangeError: if the connection is lost.
        """
        try:
            data = await self.connection.next_data()
        except (OSError, h11.RemoteProtocolError) as error:
            raise ExchangeError('connection lost during the reply') from error
        now_s = self.node.clock()
        self.silence_s = max(self.silence_s, now_s - self._last_data_s)
        self._last_data_s = now_s
        return data

    async def read_all(self, max_bytes: int = MAX_REPLY_BYTES) -> bytes:
        """Returns the whole body and releases the connection.

        Args:
            max_bytes: Longest body that is accepted. All replies that are
                being read also share the node's reply buffer.

        Raises:
            ExchangeError: if the connection or the upstream is lost, or the
                body too long.
        """
        is_complete = False
        with self.node.reply_buffer.open_part(max_bytes) as part:
            try:
                while not is_complete:
                    data, is_complete = await self.next_data()
                    part.add(data)
            except BufferFullError as error:
                raise ExchangeError(str(error)) from error
            finally:
                if not is_complete:
                    self.abort()
            self.release()
            if not self.metadata.has_not_run:
                await self.check_end()
            return part.content()

    async def skip_refusal(self) -> None:
        """Reads the body of a refusal, whose head says all that counts.

        The connection is closed if the body doesn't come soon.
        """
        with suppress(ExchangeError, TimeoutError):
            async with asyncio.timeout(REFUSAL_BODY_S):
                await self.read_all()

    def release(self) -> None:
        """Returns the connection to the pool for reuse."""
        if self.is_relayed:
            self.connection.close()
            return
        self.node.pool.release(
            self.upstream.upstream_id,
            self.connection,
            self.metadata.idle_timeout_s,
        )

    def abort(self) -> None:
        """Closes the connection; the upstream cancels the request."""
        self.connection.close()


def ignore_sending() -> None:
    """Does nothing."""


async def exchange(
    node: Node,
    upstream: Upstream,
    request: HttpRequest,
    request_id: RequestId,
    on_sending: Callable[[], None] = ignore_sending,
) -> Reply:
    """Sends a request directly and returns the head of its reply.

    Args:
        node: State of the process.
        upstream: Upstream to send to.
        request: Request for it.
        request_id: Id that the reply must repeat.
        on_sending: Called once there is a connection, before the request is
            sent.

    Raises:
        ConnectError: nothing was sent; a ``ClosedToRequestsError`` if the
            upstream takes no requests.
        ExchangeError: the request may have run.
    """
    connection = await node.pool.acquire(upstream)
    if not node.may_still_send(upstream):
        node.pool.release_unused(upstream.upstream_id, connection)
        raise ClosedToRequestsError(f'{upstream.address} takes no requests')
    sent_s = node.clock()
    has_reply = False
    on_sending()
    try:
        await connection.send(request, str(upstream.address))
        response, metadata = await _read_head(
            node, upstream, connection, request_id
        )
        has_reply = True
    except (OSError, h11.ProtocolError) as error:
        raise ExchangeError(f'no reply from {upstream.address}') from error
    finally:
        if not has_reply:
            connection.close()
    return Reply(
        node,
        upstream,
        connection,
        response.status,
        response.headers,
        metadata,
        sent_s,
    )


async def _read_head(
    node: Node,
    upstream: Upstream,
    connection: ClientConnection,
    request_id: RequestId,
) -> tuple[ClientResponse, ReplyMetadata]:
    """Reads replies until one carries the id of the request."""
    is_first_reply = not connection.is_used
    for _ in range(MAX_SKIPPED_REPLIES):
        head = await next_final_head(connection)
        if not isinstance(head, h11.Response):
            raise ExchangeError(f'no reply from {upstream.address}')
        response = ClientResponse(connection, head)
        metadata = node.dialect.read_reply(response.status, response.headers)
        if metadata.is_reply_to(request_id, is_first_reply=is_first_reply):
            node.note_reply(upstream, metadata, request_id)
            return response, metadata
        node.log.write(
            Event.REPLY_SKIPPED,
            request=request_id,
            upstream=upstream.upstream_id,
            status=response.status,
            names=metadata.request_id,
        )
        await connection.skip_response(MAX_REPLY_BYTES)
        is_first_reply = False
    raise ExchangeError(f'only replies to other requests: {upstream.address}')


async def next_final_head(
    connection: ClientConnection,
) -> h11.Event | type[h11.PAUSED]:
    """Returns the next event that isn't an interim head.

    Raises:
        ExchangeError: if interim heads come without end.
    """
    for _ in range(MAX_INTERIM_HEADS):
        head = await connection.next_event()
        if not isinstance(head, h11.InformationalResponse):
            return head
    raise ExchangeError('too many interim responses')


__all__ = (
    'MAX_REPLY_BYTES',
    'Reply',
    'exchange',
    'ignore_sending',
    'next_final_head',
)

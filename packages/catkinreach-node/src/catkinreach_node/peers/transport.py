"""Peer transport: one-way messages and calls to other nodes by VM id.

Each pair of nodes has a connection in either direction. A node sends messages
and calls only on connections that it opened; a reply is sent on the connection
on which the call arrived.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any, TypeVar

from loguru import logger

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.messages.codec import (
    Frame,
    FrameDecoder,
    encode_frame,
)
from catkinreach_core.messages.hello import Hello, Refusal

from ..supervisor import Supervisor
from ..telemetry.metrics import ProcessMetrics

if TYPE_CHECKING:
    import ssl
    from collections.abc import Awaitable, Callable

    from catkinreach_core.ids import Incarnation, VmId
    from catkinreach_core.messages.base import PeerMessage
    from catkinreach_core.settings.node import Address

READ_SIZE_BYTES = 65_536
CONNECT_TIMEOUT_S = 0.5
RECONNECT_DELAY_S = 0.2
"""Delay before a new connection after one that failed."""

TASK_NAME = 'peers'
"""Name of the transport's tasks in log and metrics."""

MAX_OUTBOX_FRAMES = 2000
"""Frames queued for one peer; further frames are not sent."""

ReplyT = TypeVar('ReplyT', bound='PeerMessage')


class PeerUnreachableError(Exception):
    """A call got no reply; the peer may or may not have processed it."""


class PeerOutbox:
    """The connection that this node opens to one peer; owns its socket."""

    def __init__(
        self,
        address: Address,
        hello: Hello,
        on_reply: Callable[[Frame], None],
        is_still_needed: Callable[[Frame], bool],
        supervisor: Supervisor,
        tls: ssl.SSLContext | None = None,
        vm_id: VmId | None = None,
    ) -> None:
        """Sets up an unconnected outbox."""
        self._supervisor = supervisor
        self._vm_id = vm_id
        self._address = address
        self._hello = hello
        self._on_reply = on_reply
        self._is_still_needed = is_still_needed
        self._tls = tls
        self._frames: asyncio.Queue[Frame] = asyncio.Queue(MAX_OUTBOX_FRAMES)
        self._task = asyncio.create_task(self._run())
        self.sent_bytes = 0
        self.sent_frames = 0

    def put(self, frame: Frame) -> bool:
        """Queues a frame; returns False if the queue is full."""
        try:
            self._frames.put_nowait(frame)
        except asyncio.QueueFull:
            return False
        return True

    def close(self) -> None:
        """Cancels the task, which closes the connection."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            frame = await self._frames.get()
            if not self._is_still_needed(frame):
                continue
            with self._supervisor.guard(TASK_NAME):
                await self._send_while_connected(frame)

    async def _send_while_connected(self, frame: Frame) -> None:
        try:
            await self._connect_and_send(frame)
        except (OSError, TimeoutError, CatkinreachError):
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _connect_and_send(self, frame: Frame) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                self._address.host,
                self._address.port,
                ssl=self._tls,
                server_hostname=self._vm_id if self._tls else None,
            )
        reply_task = asyncio.create_task(self._read_replies(reader))
        reply_task.add_done_callback(lambda _: writer.close())
        try:
            self._write(writer, Frame(self._hello))
            while not reply_task.done():
                if self._is_still_needed(frame):
                    self._write(writer, frame)
                await writer.drain()
                frame = await self._next_frame(reply_task)
        finally:
            reply_task.cancel()
            writer.close()

    async def _next_frame(self, reply_task: asyncio.Task[None]) -> Frame:
        next_frame = asyncio.ensure_future(self._frames.get())
        try:
            await asyncio.wait(
                {next_frame, reply_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if next_frame.done():
                return next_frame.result()
            raise ConnectionResetError('peer closed the connection')
        finally:
            next_frame.cancel()

    def _write(self, writer: asyncio.StreamWriter, frame: Frame) -> None:
        """Writes a frame; one that can't be encoded is left out."""
        with self._supervisor.guard(TASK_NAME):
            encoded = encode_frame(frame)
            self.sent_bytes += len(encoded)
            self.sent_frames += 1
            writer.write(encoded)

    async def _read_replies(self, reader: asyncio.StreamReader) -> None:
        decoder = FrameDecoder()
        try:
            while chunk := await reader.read(READ_SIZE_BYTES):
                for frame in decoder.feed(chunk):
                    self._on_reply(frame)
        except (OSError, CatkinreachError) as error:
            logger.debug('peers: connection lost: {}.', type(error).__name__)


class PeerTransport:
    """Sends to and receives from the other nodes."""

    def __init__(
        self,
        vm_id: VmId,
        incarnation: Incarnation,
        address_of: Callable[[VmId], Address | None],
        *,
        tls: ssl.SSLContext | None = None,
        supervisor: Supervisor | None = None,
    ) -> None:
        """Sets up the transport; ``address_of`` looks up the VM list."""
        self._supervisor = supervisor or Supervisor(ProcessMetrics())
        self._hello = Hello(vm_id=vm_id, incarnation=incarnation)
        self._address_of = address_of
        self._tls = tls
        self._outboxes: dict[tuple[VmId, str], PeerOutbox] = {}
        self._calls: dict[int, asyncio.Future[PeerMessage]] = {}
        self._call_numbers = itertools.count(1)
        self._message_handlers: dict[type[PeerMessage], Any] = {}
        self._call_handlers: dict[type[PeerMessage], Any] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._reply_bytes = 0
        self._reply_frames = 0

    @property
    def sent_bytes(self) -> int:
        """Returns the bytes sent to peers so far."""
        return self._reply_bytes + sum(
            outbox.sent_bytes for outbox in self._outboxes.values()
        )

    @property
    def sent_frames(self) -> int:
        """Returns the frames sent to peers so far."""
        return self._reply_frames + sum(
            outbox.sent_frames for outbox in self._outboxes.values()
        )

    def on_message(
        self,
        message_type: type[ReplyT],
        handler: Callable[[VmId, ReplyT], None],
    ) -> None:
        """Registers the handler for one-way messages of a type."""
        self._message_handlers[message_type] = handler

    def on_call(
        self,
        message_type: type[ReplyT],
        handler: Callable[[VmId, ReplyT], Awaitable[PeerMessage]],
    ) -> None:
        """Registers the handler for calls of a type.

        A ``CatkinreachError`` of the handler is returned as a refusal.
        """
        self._call_handlers[message_type] = handler

    def send(self, vm_id: VmId, message: PeerMessage) -> None:
        """Sends a one-way message, which may be lost."""
        outbox = self._outbox_for(vm_id)
        if outbox is not None:
            outbox.put(Frame(message))

    async def call(
        self,
        vm_id: VmId,
        message: PeerMessage,
        reply_type: type[ReplyT],
        *,
        timeout_s: float,
    ) -> ReplyT:
        """Sends a call and returns its reply.

        Raises:
            PeerUnreachableError: no reply came in time.
            CatkinreachError: the peer refused the call.
        """
        outbox = self._outbox_for(vm_id)
        number = next(self._call_numbers)
        future: asyncio.Future[PeerMessage] = (
            asyncio.get_running_loop().create_future()
        )
        self._calls[number] = future
        try:
            if outbox is None or not outbox.put(Frame(message, number)):
                raise PeerUnreachableError(vm_id)
            async with asyncio.timeout(timeout_s):
                reply = await future
        except TimeoutError as error:
            raise PeerUnreachableError(vm_id) from error
        finally:
            del self._calls[number]
        return _checked_reply(reply, reply_type)

    async def start(
        self, address: Address, tls: ssl.SSLContext | None = None
    ) -> None:
        """Starts to listen for peers."""
        self._server = await asyncio.start_server(
            self._serve_connection, address.host, address.port, ssl=tls
        )

    def close(self) -> None:
        """Stops listening and closes every connection."""
        if self._server is not None:
            self._server.close()
        for outbox in self._outboxes.values():
            outbox.close()
        for writer in tuple(self._writers):
            writer.close()

    def _outbox_for(self, vm_id: VmId) -> PeerOutbox | None:
        address = self._address_of(vm_id)
        if address is None:
            return None
        outbox_key = (vm_id, str(address))
        if outbox_key not in self._outboxes:
            self._outboxes[outbox_key] = PeerOutbox(
                address,
                self._hello,
                self._on_reply,
                self._is_still_needed,
                self._supervisor,
                self._tls,
                vm_id,
            )
        return self._outboxes[outbox_key]

    def _is_still_needed(self, frame: Frame) -> bool:
        """Returns whether a frame is one-way or its call is still pending."""
        return not frame.call or frame.call in self._calls

    def _on_reply(self, frame: Frame) -> None:
        future = self._calls.get(-frame.call)
        if future is not None and not future.done():
            future.set_result(frame.message)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._receive_frames(reader, writer)
        except CatkinreachError as error:
            logger.warning('peers: connection refused: {}.', error.detail)
        except OSError:
            logger.debug('peers: connection lost.')
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _receive_frames(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        decoder = FrameDecoder()
        sender: VmId | None = None
        while chunk := await reader.read(READ_SIZE_BYTES):
            for frame in decoder.feed(chunk):
                if isinstance(frame.message, Hello):
                    sender = frame.message.vm_id
                    check_peer_identity(sender, writer)
                elif sender is None:
                    raise CatkinreachError(
                        ErrorKind.PEER_PROTOCOL,
                        'the first frame is not a hello',
                    )
                else:
                    self._dispatch_frame(sender, frame, writer)

    def _dispatch_frame(
        self, sender: VmId, frame: Frame, writer: asyncio.StreamWriter
    ) -> None:
        message_type = type(frame.message)
        if frame.call:
            task = asyncio.create_task(
                self._handle_guarded(sender, frame, writer)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif message_type in self._message_handlers:
            with self._supervisor.guard(TASK_NAME):
                self._message_handlers[message_type](sender, frame.message)

    async def _handle_guarded(
        self, sender: VmId, frame: Frame, writer: asyncio.StreamWriter
    ) -> None:
        with self._supervisor.guard(TASK_NAME):
            await self._handle_call(sender, frame, writer)

    async def _handle_call(
        self, sender: VmId, frame: Frame, writer: asyncio.StreamWriter
    ) -> None:
        handler = self._call_handlers.get(type(frame.message))
        try:
            if handler is None:
                raise CatkinreachError(
                    ErrorKind.PEER_PROTOCOL, 'no handler for this type of call'
                )
            reply = await handler(sender, frame.message)
        except CatkinreachError as error:
            reply = Refusal(kind=error.kind.value, detail=error.detail)
        if not writer.is_closing():
            encoded = encode_frame(Frame(reply, -frame.call))
            self._reply_bytes += len(encoded)
            self._reply_frames += 1
            writer.write(encoded)


def check_peer_identity(vm_id: VmId, writer: asyncio.StreamWriter) -> None:
    """Checks that the certificate of a TLS peer names the VM.

    Raises:
        CatkinreachError: ``PEER_PROTOCOL`` if it does not name the VM.
    """
    certificate = writer.get_extra_info('peercert')
    if certificate is None:
        return
    names = [name for _, name in certificate.get('subjectAltName', ())]
    if vm_id not in names:
        raise CatkinreachError(
            ErrorKind.PEER_PROTOCOL, f'the certificate does not name {vm_id}'
        )


def _checked_reply(reply: PeerMessage, reply_type: type[ReplyT]) -> ReplyT:
    if isinstance(reply, Refusal):
        raise CatkinreachError(_refusal_kind(reply), reply.detail)
    if not isinstance(reply, reply_type):
        raise CatkinreachError(
            ErrorKind.PEER_PROTOCOL, 'reply of an unexpected type'
        )
    return reply


def _refusal_kind(refusal: Refusal) -> ErrorKind:
    """Returns the kind of a refusal; newer peers may have others."""
    try:
        return ErrorKind(refusal.kind)
    except ValueError:
        return ErrorKind.PEER_PROTOCOL


__all__ = ('PeerTransport', 'PeerUnreachableError')

"""A client that keeps its connection, and what it sees."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .config import HOST, KEY
from .wire import STREAM_LIMIT, encode_head, read_body, read_chunks, read_head

if TYPE_CHECKING:
    from .fronts import Front
    from .record import Record

CONNECT_S = 1.0
UPLOAD_STEPS = 40
NO_FRONT_PAUSE_S = 0.25
_RUN = secrets.token_hex(3)
_numbers = itertools.count(1)


@dataclass
class Outcome:
    """How one attempt of a client ended.

    Attributes:
        request_id: Id of the attempt.
        front: Number of the front VM; ``None`` if none took a channel.
        status: Status of the answer; ``None`` without one.
        end: ``answered``, ``closed``, ``gave-up`` or ``no-front``.
        took_s: Time to the end of the answer, or until the client left.
        body: What arrived of the body.
        is_sent: Whether the whole request was sent.
        body_sent: Bytes of the body that were sent.
        was_kept: Whether the channel had carried a request before.
    """

    request_id: str
    front: int | None = None
    status: int | None = None
    end: str = 'no-front'
    took_s: float = 0.0
    body: bytes = b''
    is_sent: bool = False
    body_sent: int = 0
    was_kept: bool = False


class Client:
    """Sends one request after the other on a kept channel."""

    def __init__(self, record: Record, fronts: list[Front], name: str) -> None:
        """Starts without a channel."""
        self.record, self._fronts, self.name = record, fronts, name
        self._turn = len(name) + sum(name.encode())
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._front: Front | None = None
        self._is_kept = False

    async def call(
        self,
        method: str,
        target: str,
        deadline_s: float,
        body: bytes = b'',
        *,
        upload_s: float = 0.0,
        headers: dict[str, str] | None = None,
    ) -> Outcome:
        """Sends a request and waits for the whole answer.

        Args:
            method: HTTP method.
            target: Path with the query.
            deadline_s: Time after which the client leaves.
            body: Whole body.
            upload_s: Time over which the body is sent, in equal pieces.
            headers: Further headers.
        """
        outcome = Outcome(f'{_RUN}-{self.name}-{next(_numbers)}')
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            async with asyncio.timeout(deadline_s):
                more = {
                    **(headers or {}),
                    'Deadline-Ms': str(int(deadline_s * 1000)),
                }
                await self._exchange(
                    outcome, method, target, body, upload_s, more
                )
        except TimeoutError:
            outcome.end = 'gave-up'
        except (OSError, asyncio.IncompleteReadError, ValueError):
            outcome.end = 'closed' if outcome.front is not None else 'no-front'
        except asyncio.CancelledError:
            self.close()
            raise
        outcome.took_s = loop.time() - started_s
        if outcome.end != 'answered':
            self.close()
        if outcome.end == 'no-front':
            await asyncio.sleep(NO_FRONT_PAUSE_S)
        self.record.write(
            'client',
            request=outcome.request_id,
            target=target,
            front=outcome.front,
            kept=outcome.was_kept,
            sent=outcome.is_sent,
            bytes=outcome.body_sent,
            end=outcome.end,
            status=outcome.status,
            took_s=round(outcome.took_s, 3),
        )
        return outcome

    def close(self) -> None:
        """Closes the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = self._front = None
        self._is_kept = False

    async def _exchange(
        self,
        outcome: Outcome,
        method: str,
        target: str,
        body: bytes,
        upload_s: float,
        headers: dict[str, str],
    ) -> None:
        await self._connect()
        reader, writer = self._reader, self._writer
        outcome.front = self._front.number
        outcome.was_kept = self._is_kept
        head = {
            'Host': HOST,
            'Request-Id': outcome.request_id,
            'Authorization': f'Bearer {KEY}',
            'Content-Length': len(body),
            **headers,
        }
        writer.write(encode_head(f'{method} {target} HTTP/1.1', head))
        await _send_body(writer, outcome, body, upload_s)
        outcome.is_sent = True
        response = await read_head(reader)
        if response is None:
            raise ConnectionResetError('closed without an answer')
        outcome.status = response.status
        if response.headers.get('transfer-encoding') == 'chunked':
            async for chunk in read_chunks(reader):
                outcome.body += chunk
        else:
            outcome.body = await read_body(reader, response)
        outcome.end = 'answered'
        self._is_kept = True
        if response.headers.get('connection', '').lower() == 'close':
            self.close()

    async def _connect(self) -> None:
        """Opens a channel, unless the kept one is open still.

        It goes to a front that the balancer has in rotation.
        """
        if self._writer is not None:
            if not (self._reader.at_eof() or self._writer.is_closing()):
                return
            self.close()
        ready = [front for front in self._fronts if front.is_ready]
        fronts = ready or self._fronts
        self._turn += 1
        front = fronts[self._turn % len(fronts)]
        async with asyncio.timeout(CONNECT_S):
            self._reader, self._writer = await asyncio.open_connection(
                front.host, front.port, limit=STREAM_LIMIT
            )
        self._front = front


async def _send_body(
    writer: asyncio.StreamWriter, outcome: Outcome, body: bytes, upload_s: float
) -> None:
    """Sends a body, at once or in equal pieces over a time."""
    steps = UPLOAD_STEPS if upload_s else 1
    step = max(1, len(body) // steps)
    for start in range(0, len(body), step):
        piece = body[start : start + step]
        writer.write(piece)
        outcome.body_sent += len(piece)
        await writer.drain()
        if upload_s:
            await asyncio.sleep(upload_s / UPLOAD_STEPS)


async def stop_calls(calls: list[asyncio.Future[None]]) -> None:
    """Stops clients; what they have sent last has no outcome."""
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)


async def until(seconds: float, record: Record) -> None:
    """Waits for a time of the run."""
    with suppress(TimeoutError):
        async with asyncio.timeout(max(0.0, seconds - record.now_s)):
            await asyncio.Event().wait()

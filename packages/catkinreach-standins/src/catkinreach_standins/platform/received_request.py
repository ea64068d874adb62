"""A request that a stand-in of an upstream received."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11

if TYPE_CHECKING:
    import asyncio

READ_SIZE_BYTES = 65_536
HELD_PROMPTS_PATH = '/kv-list'
REPORT_PATH = '/report'
CHECK_PATHS = frozenset({'/health', REPORT_PATH, HELD_PROMPTS_PATH})


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request that an upstream received.

    Attributes:
        method: HTTP method.
        target: Path with the query.
        headers: Headers by their names in lower case.
        body: Whole body.
        at_s: Monotonic time of arrival.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at_s: float = 0.0

    @property
    def is_prefill(self) -> bool:
        """Returns whether the request is for the prefill stage."""
        return self.headers.get('serving-stage') == 'prefill'

    @property
    def is_check(self) -> bool:
        """Returns whether it asks for health, a report or held prompts."""
        return self.method == 'GET' and self.target in CHECK_PATHS

    @property
    def prefix_ids(self) -> tuple[str, ...]:
        """Returns the ids of the parts in the ``Prompt-Prefix`` header."""
        prefix = self.headers.get('prompt-prefix', '')
        return tuple(part.partition(':')[0] for part in prefix.split(','))

    @property
    def request_id(self) -> str:
        """Returns the ``Request-Id`` header; empty if there is none."""
        return self.headers.get('request-id', '')


async def read_request(
    protocol: h11.Connection, reader: asyncio.StreamReader
) -> ReceivedRequest | None:
    """Reads a whole request; returns ``None`` at the end of the connection."""
    head: h11.Request | None = None
    body = b''
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(READ_SIZE_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            headers = {
                name.decode('latin-1'): text.decode('latin-1')
                for name, text in head.headers
            }
            return ReceivedRequest(
                head.method.decode(),
                head.target.decode(),
                headers,
                body,
                time.monotonic(),
            )
        else:
            return None


__all__ = (
    'HELD_PROMPTS_PATH',
    'READ_SIZE_BYTES',
    'REPORT_PATH',
    'ReceivedRequest',
    'read_request',
)

"""One call under way and the stream of its answer."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any

from ..checks.records import CallEnd, CallKind, CallRecord

if TYPE_CHECKING:
    import http.client

_DATA = b'data: '


class Call:
    """One call under way; filled in by its thread."""

    def __init__(self, kind: CallKind, workspace: str) -> None:
        """Starts the record of a call that is about to be sent."""
        self._members: dict[str, Any] = {'kind': kind, 'workspace': workspace}
        self._members['sent_s'] = time.monotonic()
        self._members['end'] = CallEnd.INTERRUPTED
        self.text = ''

    def set(self, **members: Any) -> None:
        """Sets members of the record."""
        self._members.update(members)

    def add_token(self, token: str) -> None:
        """Adds a token to the answer."""
        self._members.setdefault('first_token_s', time.monotonic())
        self.text += token

    def refuse(self, body: bytes) -> None:
        """Reads the problem document of a refusal."""
        document = json.loads(body)
        self.set(
            code=document.get('code', ''), outcome=document.get('outcome', '')
        )

    def record(self) -> CallRecord:
        """Returns the record of the ended call."""
        return CallRecord(
            **{
                **self._members,
                'ended_s': time.monotonic(),
                'text': self.text,
            }
        )


def read_stream(
    call: Call, response: http.client.HTTPResponse, cancel_after: int
) -> None:
    """Reads server-sent events up to the last one or a cancel."""
    tokens = 0
    is_done = is_error = False
    while line := response.readline():
        if is_done and line.strip():
            call.set(extra_bytes=len(line))
        if line.startswith(b'event: error'):
            is_error = True
        if not line.startswith(_DATA):
            continue
        event = line.removeprefix(_DATA).strip()
        if event == b'[DONE]':
            is_done = True
            call.set(end=CallEnd.ANSWERED)
        elif is_error:
            call.refuse(event)
        else:
            tokens += _take(call, event)
        if cancel_after and tokens >= cancel_after:
            call.set(end=CallEnd.CANCELLED)
            return


def _take(call: Call, event: bytes) -> int:
    choice = json.loads(event)['choices'][0]
    token = choice.get('text') or choice.get('delta', {}).get('content')
    if not token:
        return 0
    call.add_token(token)
    return 1


__all__ = ('Call', 'read_stream')

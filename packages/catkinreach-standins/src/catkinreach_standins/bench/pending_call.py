"""Record of a running call and the reader of its streamed answer."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any

from ..checks.records import CallEnd, CallKind, CallRecord

if TYPE_CHECKING:
    import http.client

_DATA = b'data: '


class PendingCall:
    """Record of a running call, which its thread fills in."""

    def __init__(self, kind: CallKind, workspace: str) -> None:
        """Starts the record at the time of sending."""
        self._fields: dict[str, Any] = {'kind': kind, 'workspace': workspace}
        self._fields['sent_s'] = time.monotonic()
        self._fields['end'] = CallEnd.INTERRUPTED
        self.text = ''

    def set(self, **fields: Any) -> None:
        """Sets fields of the record."""
        self._fields.update(fields)

    def add_token(self, token: str) -> None:
        """Appends a token to the answer and records the first one's time."""
        self._fields.setdefault('first_token_s', time.monotonic())
        self.text += token

    def refuse(self, body: bytes) -> None:
        """Records code and outcome of a refusal's problem document."""
        document = json.loads(body)
        self.set(
            code=document.get('code', ''), outcome=document.get('outcome', '')
        )

    def record(self) -> CallRecord:
        """Returns the record; the call ends now."""
        return CallRecord(
            **{
                **self._fields,
                'ended_s': time.monotonic(),
                'text': self.text,
            }
        )


def read_stream(
    call: PendingCall, response: http.client.HTTPResponse, cancel_after: int
) -> None:
    """Records the server-sent events of an answer.

    Reads to the end of the stream, or stops after ``cancel_after`` tokens
    unless that is 0.
    """
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
            tokens += _add_event(call, event)
        if cancel_after and tokens >= cancel_after:
            call.set(end=CallEnd.CANCELLED)
            return


def _add_event(call: PendingCall, event: bytes) -> int:
    choice = json.loads(event)['choices'][0]
    token = choice.get('text') or choice.get('delta', {}).get('content')
    if not token:
        return 0
    call.add_token(token)
    return 1


__all__ = ('PendingCall', 'read_stream')

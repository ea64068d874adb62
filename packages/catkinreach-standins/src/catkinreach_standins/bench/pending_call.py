"""Collects the record of a running call and reads its streamed answer."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any

from ..checks.records import CallEnd, CallKind, CallRecord

if TYPE_CHECKING:
    import http.client

_DATA_PREFIX = b'data: '


class PendingCall:
    """Collects the record of a running call; used by one thread.

    Attributes:
        text: Text of the answer that has arrived.
    """

    def __init__(self, kind: CallKind, workspace: str) -> None:
        """Starts the record at the current time, the time of sending.

        The call counts as interrupted until another end is set.
        """
        self._record_fields: dict[str, Any] = {
            'kind': kind,
            'workspace': workspace,
        }
        self._record_fields['sent_s'] = time.monotonic()
        self._record_fields['end'] = CallEnd.INTERRUPTED
        self.text = ''

    def set_fields(self, **fields: Any) -> None:
        """Sets fields of the record."""
        self._record_fields.update(fields)

    def add_token(self, token: str) -> None:
        """Appends a token to the answer and records the first one's time."""
        self._record_fields.setdefault('first_token_s', time.monotonic())
        self.text += token

    def record_refusal(self, body: bytes) -> None:
        """Records the code and the outcome of an error response."""
        error_document = json.loads(body)
        self.set_fields(
            code=error_document.get('code', ''),
            outcome=error_document.get('outcome', ''),
        )

    def record(self) -> CallRecord:
        """Returns the record with the current time as the end of the call."""
        return CallRecord(
            **{
                **self._record_fields,
                'ended_s': time.monotonic(),
                'text': self.text,
            }
        )


def read_stream(
    call: PendingCall,
    response: http.client.HTTPResponse,
    cancel_after_tokens: int,
) -> None:
    """Records the server-sent events of an answer.

    Reads to the end of the stream, or stops after ``cancel_after_tokens``
    tokens unless that is 0.
    """
    tokens = 0
    is_done = is_error = False
    while line := response.readline():
        if is_done and line.strip():
            call.set_fields(extra_bytes=len(line))
        if line.startswith(b'event: error'):
            is_error = True
        if not line.startswith(_DATA_PREFIX):
            continue
        event = line.removeprefix(_DATA_PREFIX).strip()
        if event == b'[DONE]':
            is_done = True
            call.set_fields(end=CallEnd.ANSWERED)
        elif is_error:
            call.record_refusal(event)
        else:
            tokens += _add_event(call, event)
        if cancel_after_tokens and tokens >= cancel_after_tokens:
            call.set_fields(end=CallEnd.CANCELLED)
            return


def _add_event(call: PendingCall, event: bytes) -> int:
    """Adds the token of an event, if any; returns the number of tokens."""
    choice = json.loads(event)['choices'][0]
    token = choice.get('text') or choice.get('delta', {}).get('content')
    if not token:
        return 0
    call.add_token(token)
    return 1


__all__ = ('PendingCall', 'read_stream')

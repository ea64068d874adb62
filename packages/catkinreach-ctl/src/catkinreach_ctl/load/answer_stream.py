"""Parses a completion answer, either server-sent events or one document."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from catkinreach_core.documents import decode_document

if TYPE_CHECKING:
    from .observation import Observation

_EVENT_END = b'\n\n'
_DATA_PREFIX = b'data: '
_ERROR_PREFIX = b'event: error'
_DONE = b'[DONE]'


class Delta(msgspec.Struct, frozen=True):
    """Text of a chat event, or of a chat answer that is not streamed."""

    content: str = ''


class Choice(msgspec.Struct, frozen=True):
    """The only choice of an event or answer."""

    delta: Delta = Delta()
    message: Delta = Delta()
    text: str = ''
    finish_reason: str | None = None


class CompletionEvent(msgspec.Struct, frozen=True):
    """One event of a stream, an answer that is not streamed, or an error."""

    choices: tuple[Choice, ...] = ()
    code: str = ''


class AnswerReader:
    """Parses the body of an answer and records tokens in the observation."""

    def __init__(self, observation: Observation) -> None:
        """Creates a reader that records into an observation."""
        self._observation = observation
        self._decoder = msgspec.json.Decoder(CompletionEvent)
        self._pending = b''
        self._texts: list[str] = []
        self._last_at_s = 0.0
        self._finish_reason = ''
        self._done_count = 0
        self._error_code = ''

    @property
    def text(self) -> str:
        """Returns the text received so far."""
        return ''.join(self._texts)

    @property
    def fault(self) -> str:
        """Returns why the answer is incomplete; empty if it is complete.

        A complete stream has a finish reason, ends with exactly one
        ``[DONE]`` event and has no bytes after it.
        """
        if self._error_code:
            return self._error_code
        if not self._finish_reason or self._done_count != 1 or self._pending:
            return 'cut-short'
        return ''

    def feed(self, chunk: bytes, at_s: float) -> None:
        """Parses a chunk of a streamed body.

        Args:
            chunk: Bytes that arrived; may end inside an event.
            at_s: Arrival time, from the start of the run.

        Raises:
            DocumentError: if an event is malformed.
        """
        *events, self._pending = (self._pending + chunk).split(_EVENT_END)
        for event in events:
            self._handle_event(event, at_s)

    def read_body(self, body: bytes, at_s: float) -> None:
        """Parses the body of an answer that was not streamed.

        Raises:
            DocumentError: if the body is malformed.
        """
        answer = decode_document(self._decoder, body)
        self._observation.first_at_s = at_s
        for choice in answer.choices:
            self._texts.append(choice.message.content or choice.text)
            self._finish_reason = choice.finish_reason or ''
        self._observation.token_count = len(self.text.split())
        self._done_count = 1

    def _handle_event(self, event: bytes, at_s: float) -> None:
        _, _, document = event.partition(_DATA_PREFIX)
        if document == _DONE:
            self._done_count += 1
            return
        decoded = decode_document(self._decoder, document)
        if event.startswith(_ERROR_PREFIX):
            self._error_code = decoded.code or 'stream-error'
            return
        for choice in decoded.choices:
            self._finish_reason = choice.finish_reason or self._finish_reason
            self._append_text(choice.delta.content or choice.text, at_s)

    def _append_text(self, text: str, at_s: float) -> None:
        if not text:
            return
        observation = self._observation
        if observation.token_count:
            observation.gaps_s.append(at_s - self._last_at_s)
        else:
            observation.first_at_s = at_s
        self._last_at_s = at_s
        observation.token_count += 1
        self._texts.append(text)


__all__ = ('AnswerReader',)
